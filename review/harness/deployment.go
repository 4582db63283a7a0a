package main

import (
	"fmt"
	"time"
)

// settleTime is how long a started deployment is left alone, so that all machines are in touch (contact_s is 3).
const settleTime = 4 * time.Second

// machine is a machine with the upstream beside its node.
type machine struct {
	*node
	upstream *upstream
}

// zones are the zones of all cases.
var zones = []string{"dar-kariakoo", "dar-msasani", "dar-ubungo"}

// deploy starts one machine for each service, the first one in the first zone and so on, and waits until all are ready and in
// touch. The configuration must have been published.
func (f *fleet) deploy(services ...string) ([]machine, error) {
	var machines []machine
	for i, service := range services {
		machines = append(machines, machine{node: f.add(11+i, zones[i%len(zones)], service)})
	}
	var nodes []*node
	for i := range machines {
		m := &machines[i]
		if err := m.start(); err != nil {
			return nil, err
		}
		m.upstream = newUpstream(f.rec, fmt.Sprintf("i-%s-%d", m.service, 11+i), m.service, m.zone, m.app(), m.control())
		if err := m.upstream.listen(); err != nil {
			return nil, err
		}
		go m.upstream.beatRegularly()
		nodes = append(nodes, m.node)
	}
	if err := awaitReady(15*time.Second, nodes...); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return machines, nil
}

// safeRoute and unsafeRoute return routes whose paths begin with the prefix.
func safeRoute(prefix, service string) route {
	return route{Name: "r-" + prefix, Host: "shop.example", Prefix: "/" + prefix + "/", Kind: "safe", TimeoutS: 5, TargetLatency: 1.2,
		Priority: 1, MaxAttempts: 2, Service: service}
}

func get(path string) request {
	return request{id: newID(), method: "GET", host: "shop.example", path: path, limit: 5 * time.Second}
}
