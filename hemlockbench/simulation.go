package hemlockbench

import (
	"math/rand/v2"
	"time"

	"hemlockhollow/hemlockcall"
)

// simulation is one run of one case: a house, a scenario, a variant and a seed.
type simulation struct {
	house       Deployment
	scenario    Scenario
	variant     Variant
	loop        *loop
	random      *rand.Rand
	meter       *meter
	nodes       []*node
	zones       [][]*node
	byAddress   map[string]*node
	killer      Class // the class of the request that crashes targets
	fingerprint uint64
	cut         bool // the last zone is cut off
	known       bool // the cut is known to the members
}

// Run carries out one case.
func Run(house Deployment, scenario Scenario, variant Variant, seed uint64) Result {
	s := &simulation{house: house, scenario: scenario, variant: variant, loop: newLoop(),
		random: rand.New(rand.NewPCG(seed, 0)), byAddress: map[string]*node{}, zones: make([][]*node, len(zoneNames)),
		fingerprint: 100}
	s.meter = newMeter(house)
	for _, c := range house.Classes {
		if c.Path[0] == crashed {
			s.killer = c
			s.killer.Name, s.killer.Priority = "killer", hemlockcall.Critical
		}
	}
	for service := range house.Services {
		for index := range house.Services[service].Targets {
			n := newNode(s, service, index)
			s.nodes = append(s.nodes, n)
			s.zones[n.zone] = append(s.zones[n.zone], n)
			s.byAddress[n.address] = n
		}
	}
	s.announce()
	for i := range s.house.Classes {
		s.arrivals(&s.house.Classes[i])
	}
	s.loop.every(10*time.Millisecond, func() {
		for _, n := range s.nodes {
			n.controller.RefuseLate(s.loop.clock())
		}
	})
	s.schedule()
	s.loop.runUntil(runEnd)
	return s.result()
}

// schedule sets up the faults of the scenario.
func (s *simulation) schedule() {
	const faultStart = triggerStart + 5*time.Second
	const faultEnd = faultStart + 10*time.Second
	if s.scenario.Crash {
		s.loop.after(faultStart, func() {
			for _, n := range s.nodes {
				if n.target.service == crashed && n.target.index == 0 {
					n.crash()
				}
			}
		})
	}
	if s.scenario.ZoneCut {
		s.loop.after(faultStart, func() { s.cut = true })
		s.loop.after(faultStart+4*time.Second, func() { s.known = true; s.announce() })
		s.loop.after(faultEnd, func() { s.cut = false })
		s.loop.after(faultEnd+2*time.Second, func() { s.known = false; s.announce() })
	}
	if s.scenario.PoisonRequest {
		for at := triggerStart; at < triggerEnd; at += 500 * time.Millisecond {
			s.loop.after(at, s.sendKiller)
		}
	}
}

// announce gives each node the targets that the members know, as gossip does.
func (s *simulation) announce() {
	last := len(zoneNames) - 1
	for _, n := range s.nodes {
		var targets []hemlockcall.Target
		for _, m := range s.nodes {
			if s.known && (n.zone == last) != (m.zone == last) {
				continue
			}
			service := s.house.Services[m.target.service]
			targets = append(targets, hemlockcall.Target{Address: m.address, Zone: zoneNames[m.zone],
				Service: service.Name, Slots: service.Slots, Ready: m.target.alive})
		}
		n.table.Replace(s.loop.clock(), targets)
	}
}

func (s *simulation) reachable(from, to *node) bool {
	last := len(zoneNames) - 1
	return !s.cut || (from.zone == last) == (to.zone == last)
}

func (s *simulation) latency(from, to *node) time.Duration {
	switch {
	case from == to:
		return 0
	case from.zone == to.zone:
		return s.house.ZoneLatency / 4
	}
	return s.house.ZoneLatency
}

// addresses returns the nodes of a service in a zone, in a fixed order.
func (s *simulation) addresses(zone int, service string) []string {
	var addresses []string
	for _, n := range s.zones[zone] {
		if n.target.alive && s.house.Services[n.target.service].Name == service {
			addresses = append(addresses, n.address)
		}
	}
	return addresses
}
