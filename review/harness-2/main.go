// Command harness-2 runs the scripted cases of the second review: project processes, with stand-ins for store, upstreams and clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a scenario, which are the exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	hostName  = "hulo84.example"
	readyTime = 20 * time.Second
)

// scenario runs a case; with trouble false it leaves out the disruption.
type scenario func(f *fleet, trouble bool) (int, error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness-2 SCENARIO BINARY RECORD")
		os.Exit(couldNot)
	}
	run := scenarios[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(couldNot)
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	watchdog := time.AfterFunc(110*time.Second, func() {
		f.note("the case takes too long")
		f.stop()
		os.Exit(couldNot)
	})
	result, err := run(f, os.Getenv("TROUBLE") != "0")
	watchdog.Stop()
	if err != nil {
		f.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = couldNot
	}
	f.note("result %d", result)
	f.stop()
	os.Exit(result)
}

// deploy starts a node with a sound upstream for each of the services, in two zones.
func deploy(f *fleet, memoryMB int, services ...string) ([]*upstream, error) {
	for i, service := range services {
		f.add(i, []string{"dar-kariakoo", "dar-msasani"}[2*i/len(services)], service)
	}
	if err := f.writeBoot(memoryMB); err != nil {
		return nil, err
	}
	f.configure(7, route{"browse", hostName, "/browse/", "safe", 5, 1.2, 1, "cat", 2}, route{"book", hostName, "/book/", "unsafe", 5, 1.2, 0, "cat", 2},
		route{"load", hostName, "/load/", "upload", 5, 1.2, 0, "cat", 2}, route{"order", hostName, "/order/", "safe", 5, 1.2, 0, "ord", 2})
	var upstreams []*upstream
	for i, n := range f.nodes {
		if err := f.start(n); err != nil {
			return nil, err
		}
		u := &upstream{id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: n.service, address: n.app, control: n.ctl, zone: n.zone,
			work: 20 * time.Millisecond, size: 1500}
		if err := startUpstream(u); err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	if err := f.awaitReady(readyTime); err != nil {
		return nil, err
	}
	// The nodes know all upstreams once requests succeed at each of them.
	for end := time.Now().Add(readyTime); ; {
		ok := 0
		for _, n := range f.nodes {
			if request(n, "GET", hostName, "/browse/1", nil, time.Second).status == 200 && request(n, "GET", hostName, "/order/1", nil, time.Second).status == 200 {
				ok++
			}
		}
		if ok == len(f.nodes) {
			return upstreams, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("requests do not succeed")
		}
		time.Sleep(200 * time.Millisecond)
	}
}
