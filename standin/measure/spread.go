package main

import (
	"fmt"
	"sync"
	"time"

	"hemlockhollow/standin/harness"
)

const spreadGroup = 50

// measureSpread publishes versions of the configuration and prints how long each takes until it is active on all nodes.
// Reading the states of the nodes, first one after the other and then concurrently, adds some milliseconds.
func measureSpread(binaries string) error {
	fmt.Println("nodes  publish ended until active on all nodes, ms (three versions)")
	for i, size := range []int{10, 30, 60, 120} {
		if err := spreadRow(binaries, spreadGroup+i, size); err != nil {
			return err
		}
	}
	return nil
}

func spreadRow(binaries string, group, size int) error {
	c, err := idleCluster(binaries, group, size)
	defer c.Stop()
	if err != nil {
		return err
	}
	files := []string{"examples/habi-tahanan/artwork.hcl", "examples/habi-tahanan/catalog.hcl", "examples/habi-tahanan/tracking.hcl"}
	fmt.Printf("%5d ", size)
	for i, file := range files {
		if _, err := c.Publish(file); err != nil {
			return err
		}
		start := time.Now()
		if err := awaitVersion(c, uint64(i+2)); err != nil {
			return err
		}
		fmt.Printf(" %6d", time.Since(start).Milliseconds())
	}
	fmt.Println()
	return nil
}

func awaitVersion(c *harness.Cluster, version uint64) error {
	for _, h := range c.Hosts {
		if _, err := c.State(h); err != nil {
			return err
		}
	}
	var wait sync.WaitGroup
	failures := make(chan error, len(c.Hosts))
	for _, h := range c.Hosts {
		wait.Go(func() {
			failures <- harness.Eventually(time.Minute, func() error {
				state, err := c.State(h)
				if err == nil && state.Configuration.Version < version {
					err = fmt.Errorf("node %d has version %d", h.Number, state.Configuration.Version)
				}
				return err
			})
		})
	}
	wait.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}
