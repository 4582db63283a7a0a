package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"hemlockhollow/standin/harness"
)

const (
	pathTime = 8 * time.Second
	// pathGroup is the second byte of all addresses of the cluster.
	pathGroup = 70
)

// echoService is a service whose targets do no work, so that the latency of a call is that of its path.
const echoService = `service "echo" {
  slots         = 400
  connections   = 1000
  default-class = "lookup"
  class "lookup" {
    priority = "critical"
    repeat   = "safe"
    timeout  = "5s"
    retries  = 0
  }
}
`

// measurePath sends calls of 1 KiB directly to the target and then the same calls through the entry node and the node
// beside the target, at each rate, and compares their latency.
func measurePath(binaries string) error {
	c, entry, serving, err := pathCluster(binaries)
	defer c.Stop()
	if err != nil {
		return err
	}
	fmt.Println("calls/s  direct p50/p99 ms  through p50/p99 ms  added p99 ms  core % entry  core % served  us/call")
	for _, rate := range []int{50, 100, 200, 400, 800, 1600} {
		if err := pathRow(binaries, entry, serving, rate); err != nil {
			return err
		}
	}
	return nil
}

func pathCluster(binaries string) (c *harness.Cluster, entry, serving *harness.Host, err error) {
	c = harness.New(binaries, pathGroup)
	if err = c.StartPlatform(); err != nil {
		return c, nil, nil, err
	}
	// The entry node's own target runs another service, so that every call crosses two nodes.
	entry = &harness.Host{Zone: "zone-a", Service: "other", TargetArguments: []string{"--slots", "10"}}
	serving = &harness.Host{Zone: "zone-a", Service: "echo", TargetArguments: []string{"--slots", "400", "--service-time", "1us"}}
	for _, h := range []*harness.Host{entry, serving} {
		if err = c.Add(h); err != nil {
			return c, nil, nil, err
		}
	}
	folder, err := os.MkdirTemp("", "measure")
	if err != nil {
		return c, nil, nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	file := filepath.Join(folder, "echo.hcl")
	if err = os.WriteFile(file, []byte(echoService), 0o600); err != nil {
		return c, nil, nil, err
	}
	if _, err = c.Publish(file); err != nil {
		return c, nil, nil, err
	}
	if err = c.AwaitReady(time.Minute, 1, entry, serving); err != nil {
		return c, nil, nil, err
	}
	// The concurrency limit of a target that has just started rises only under load.
	_, err = loadAt(binaries, entry.CallerAddress(), "/echo/{n}?size=1024", 400, 5*time.Second)
	return c, entry, serving, err
}

// loadAt sends calls at a rate and returns the class result.
func loadAt(binaries, address, path string, rate int, duration time.Duration) (harness.ClassResult, error) {
	p, err := harness.StartLoad(binaries, "--entries", address, "--duration", duration.String(),
		"--class", fmt.Sprintf("echo:POST:%s:%d:1024", path, rate))
	if err != nil {
		return harness.ClassResult{}, err
	}
	results, err := harness.WaitResults(p, time.Minute)
	if err != nil {
		return harness.ClassResult{}, err
	}
	return results.Classes[0], nil
}

func pathRow(binaries string, entry, serving *harness.Host, rate int) error {
	direct, err := loadAt(binaries, serving.TargetAddress(), "/{n}?size=1024", rate, pathTime)
	if err != nil {
		return err
	}
	entryBefore, servingBefore, err := usageOfPair(entry, serving)
	if err != nil {
		return err
	}
	through, err := loadAt(binaries, entry.CallerAddress(), "/echo/{n}?size=1024", rate, pathTime)
	if err != nil {
		return err
	}
	entryAfter, servingAfter, err := usageOfPair(entry, serving)
	if err != nil {
		return err
	}
	processor := entryAfter.processor - entryBefore.processor + servingAfter.processor - servingBefore.processor
	fmt.Printf("%7d  %8.2f / %6.2f  %9.2f / %6.2f  %12.2f  %12.1f  %13.1f  %7.0f", rate, direct.P50, direct.P99,
		through.P50, through.P99, through.P99-direct.P99, corePercent(entryBefore, entryAfter), corePercent(servingBefore, servingAfter),
		float64(processor.Microseconds())/float64(through.Sent))
	if through.Outcomes["whole"] != through.Sent || direct.Outcomes["whole"] != direct.Sent {
		fmt.Printf("  incomplete: %v %v, direct %v", through.Outcomes, through.Reasons, direct.Outcomes)
	}
	fmt.Println()
	return nil
}

func usageOfPair(entry, serving *harness.Host) (first, second usage, err error) {
	if first, err = usageOf(entry.Node); err != nil {
		return first, second, err
	}
	second, err = usageOf(serving.Node)
	return first, second, err
}
