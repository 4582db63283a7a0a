package hemlockbench

import (
	"math/rand/v2"
	"time"

	"hemlockhollow/hemlockcall"
)

// simulation is one run of one case, which is a deployment, a scenario, a variant and a seed.
type simulation struct {
	deployment        Deployment
	scenario          Scenario
	variant           Variant
	loop              *loop
	random            *rand.Rand
	meter             *meter
	nodes             []*node
	zones             [][]*node
	byAddress         map[string]*node
	poisonClass       Class  // the class of the poison request
	lastFingerprint   uint64 // of the latest request; the poison request has fingerprint 1
	partitioned       bool   // the last zone is partitioned from the others
	partitionDetected bool   // the nodes on each side have removed those of the other side from their targets
}

// Run simulates one case.
func Run(deployment Deployment, scenario Scenario, variant Variant, seed uint64) Result {
	s := &simulation{deployment: deployment, scenario: scenario, variant: variant, loop: newLoop(),
		random: rand.New(rand.NewPCG(seed, 0)), byAddress: map[string]*node{}, zones: make([][]*node, len(zoneNames)),
		lastFingerprint: 100}
	s.meter = newMeter(deployment)
	for _, c := range deployment.Classes {
		if c.Path[0] == crashedService {
			s.poisonClass = c
			s.poisonClass.Name, s.poisonClass.Priority = "killer", hemlockcall.Critical
		}
	}
	for service := range deployment.Services {
		for index := range deployment.Services[service].Targets {
			n := newNode(s, service, index)
			s.nodes = append(s.nodes, n)
			s.zones[n.zone] = append(s.zones[n.zone], n)
			s.byAddress[n.address] = n
		}
	}
	s.updateTargets()
	for i := range s.deployment.Classes {
		s.scheduleArrivals(&s.deployment.Classes[i])
	}
	s.loop.every(10*time.Millisecond, func() {
		for _, n := range s.nodes {
			n.controller.RefuseLate(s.loop.clock())
		}
	})
	s.scheduleFaults()
	s.loop.runUntil(runEnd)
	return s.result()
}

// scheduleFaults schedules the faults of the scenario.
func (s *simulation) scheduleFaults() {
	const faultStart = triggerStart + 5*time.Second
	const faultEnd = faultStart + 10*time.Second
	if s.scenario.Crash {
		s.loop.after(faultStart, func() {
			for _, n := range s.nodes {
				if n.target.service == crashedService && n.target.index == 0 {
					n.crash()
				}
			}
		})
	}
	if s.scenario.ZonePartition {
		s.loop.after(faultStart, func() { s.partitioned = true })
		s.loop.after(faultStart+4*time.Second, func() { s.partitionDetected = true; s.updateTargets() })
		s.loop.after(faultEnd, func() { s.partitioned = false })
		s.loop.after(faultEnd+2*time.Second, func() { s.partitionDetected = false; s.updateTargets() })
	}
	if s.scenario.PoisonRequest {
		for at := triggerStart; at < triggerEnd; at += 500 * time.Millisecond {
			s.loop.after(at, s.sendPoison)
		}
	}
}

// updateTargets replaces the list of targets at each node, as gossip does. After a partition has been detected, a node's
// list contains only the targets on its own side.
func (s *simulation) updateTargets() {
	last := len(zoneNames) - 1
	for _, n := range s.nodes {
		var targets []hemlockcall.Target
		for _, m := range s.nodes {
			if s.partitionDetected && (n.zone == last) != (m.zone == last) {
				continue
			}
			service := s.deployment.Services[m.target.service]
			targets = append(targets, hemlockcall.Target{Address: m.address, Zone: zoneNames[m.zone],
				Service: service.Name, Slots: service.Slots, Ready: m.target.alive})
		}
		n.balancer.Replace(s.loop.clock(), targets)
	}
}

func (s *simulation) reachable(from, to *node) bool {
	last := len(zoneNames) - 1
	return !s.partitioned || (from.zone == last) == (to.zone == last)
}

func (s *simulation) latency(from, to *node) time.Duration {
	switch {
	case from == to:
		return 0
	case from.zone == to.zone:
		return s.deployment.ZoneLatency / 4
	}
	return s.deployment.ZoneLatency
}

// addresses returns the addresses of the live targets of a service in a zone, in a fixed order.
func (s *simulation) addresses(zone int, service string) []string {
	var addresses []string
	for _, n := range s.zones[zone] {
		if n.target.alive && s.deployment.Services[n.target.service].Name == service {
			addresses = append(addresses, n.address)
		}
	}
	return addresses
}
