package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"hemlockhollow/standin/harness"
)

const (
	inFlightGroup = 80
	// inFlightServiceTime is how long a request runs: at a rate of N/4 requests/s, N requests are in flight.
	inFlightServiceTime = 4 * time.Second
)

// measureInFlight prints the memory of the entry node and of the node beside a slow target, by the number of requests of
// 1 KiB in flight.
func measureInFlight(binaries string) error {
	fmt.Println("in flight  RSS MiB entry  RSS MiB served")
	for i, count := range []int{0, 100, 200, 400, 800} {
		if err := inFlightRow(binaries, inFlightGroup+i, count); err != nil {
			return err
		}
	}
	return nil
}

func inFlightRow(binaries string, group, count int) error {
	c := harness.New(binaries, group)
	defer c.Stop()
	if err := c.StartPlatform(); err != nil {
		return err
	}
	entry := &harness.Host{Zone: "zone-a", Service: "other"}
	serving := &harness.Host{Zone: "zone-a", Service: "echo",
		TargetArguments: []string{"--slots", "2000", "--service-time", inFlightServiceTime.String(), "--spread", "0"}}
	for _, h := range []*harness.Host{entry, serving} {
		if err := c.Add(h); err != nil {
			return err
		}
	}
	folder, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	file := filepath.Join(folder, "echo.hcl")
	text := `service "echo" {
  slots         = 2000
  connections   = 4000
  default-class = "slow"
  class "slow" {
    priority = "critical"
    repeat   = "safe"
    timeout  = "20s"
    retries  = 0
  }
}
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if _, err := c.Publish(file); err != nil {
		return err
	}
	if err := c.AwaitReady(time.Minute, 1, entry, serving); err != nil {
		return err
	}
	if count > 0 {
		load, err := c.Load([]*harness.Host{entry}, "--duration", "24s", "--timeout", "30s",
			"--class", fmt.Sprintf("slow:POST:/echo/{n}:%d:1024", count/4))
		if err != nil {
			return err
		}
		defer load.Kill()
	}
	time.Sleep(16 * time.Second)
	state, err := c.State(serving)
	if err != nil {
		return err
	}
	first, second, err := usageOfPair(entry, serving)
	if err != nil {
		return err
	}
	fmt.Printf("%9d  %13.1f  %14.1f\n", state.Admission.InFlight, float64(first.resident)/mebibyte,
		float64(second.resident)/mebibyte)
	return nil
}
