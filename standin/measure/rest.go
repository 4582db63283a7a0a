package main

import (
	"fmt"
	"path/filepath"
	"time"

	"hemlockhollow/standin/harness"
)

const (
	restWarmUp = 10 * time.Second
	restTime   = 20 * time.Second
	// restGroup is the second byte of the addresses of the first cluster; each further one has the next group.
	restGroup = 60
)

// measureRest prints the resources that nodes without load use. The nodes are in five availability zones of two regions,
// each beside an idle target.
func measureRest(binaries string) error {
	fmt.Println("nodes  core %   RSS MiB  gossip B/s  messages/s")
	for i, size := range []int{10, 30, 60, 120} {
		if err := restRow(binaries, restGroup+i, size); err != nil {
			return err
		}
	}
	return nil
}

// idleCluster starts nodes in five availability zones of two regions and publishes a configuration.
func idleCluster(binaries string, group, size int) (*harness.Cluster, error) {
	c := harness.New(binaries, group)
	if err := c.StartPlatform(); err != nil {
		return c, err
	}
	for i := range size {
		zone := i % 5
		h := &harness.Host{
			Zone:          fmt.Sprintf("zone-%d", zone),
			Service:       []string{"catalogue", "orders", "studio", "counter"}[i%4],
			NodeArguments: []string{"--region", fmt.Sprintf("region-%d", zone/3)},
		}
		if err := c.Add(h); err != nil {
			return c, err
		}
	}
	files, err := filepath.Glob("examples/kilwa/*.hcl")
	if err != nil {
		return c, err
	}
	if _, err := c.Publish(files...); err != nil {
		return c, err
	}
	return c, c.AwaitReady(time.Minute, 1, c.Hosts...)
}

func restRow(binaries string, group, size int) error {
	c, err := idleCluster(binaries, group, size)
	defer c.Stop()
	if err != nil {
		return err
	}
	time.Sleep(restWarmUp)
	bytesBefore, messagesBefore, err := gossipOf(c)
	if err != nil {
		return err
	}
	before, err := usageOfNodes(c)
	if err != nil {
		return err
	}
	time.Sleep(restTime)
	after, err := usageOfNodes(c)
	if err != nil {
		return err
	}
	bytesAfter, messagesAfter, err := gossipOf(c)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	fmt.Printf("%5d  %6.2f  %8.1f  %10.0f  %10.1f\n", size, corePercent(before, after), float64(after.resident)/mebibyte,
		float64(bytesAfter-bytesBefore)/seconds, float64(messagesAfter-messagesBefore)/seconds)
	return nil
}

// gossipOf returns the bytes and messages that a node has sent as gossip, as means over all nodes.
func gossipOf(c *harness.Cluster) (bytes, messages uint64, err error) {
	for _, h := range c.Hosts {
		var state struct {
			Gossip struct{ Bytes, Messages uint64 } `json:"gossip"`
		}
		if err := c.Get("http://"+h.OperatorAddress()+"/state", &state); err != nil {
			return 0, 0, err
		}
		bytes += state.Gossip.Bytes
		messages += state.Gossip.Messages
	}
	count := uint64(len(c.Hosts))
	return bytes / count, messages / count, nil
}
