package hemlockbench

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// Deployment is the size of one house (section 1.1 of the design) with its arrivals in normal time. Both houses have one
// call graph, whose deepest chain is page -> catalogue -> studio or artwork -> counter or tracking -> orders:
//
//	page     catalogue -> studio -> counter -> orders   sheddable
//	fold     catalogue -> orders                        sheddable
//	status   catalogue -> orders                        important
//	upload   studio -> orders                           important
//	lookup   counter -> orders                          critical at Kilwa, important at Habi Tahanan
//	booking  orders                                     critical, at most once
//
// A target holds its slot while a nested call runs. The work per call is computed from the arrivals, so that each
// service has 70% of its slots taken in normal time.
type Deployment struct {
	// Name is the name used on the command line.
	Name string
	// ZoneLatency is the one-way latency between zones, and CallerLatency that between callers and nodes.
	ZoneLatency   time.Duration
	CallerLatency time.Duration
	// Services are ordered from the entry of the call graph to its leaf; the indexes catalogue to orders name them.
	Services []Service
	// Classes are the classes of customer requests.
	Classes []Class
}

// Service is one service of a house.
type Service struct {
	Name    string
	Targets int
	Slots   int
	// UnitWork is the time of one unit of work at a target without load; filled in by calibrate.
	UnitWork time.Duration
}

// Class is one class of customer requests.
type Class struct {
	hemlockcall.Class
	// Rate is the arrivals per second in normal time.
	Rate float64
	// Path holds the services of the call chain, by index, and Units the units of work at each.
	Path  []int
	Units []float64
}

// The services by index, by their names at Kilwa.
const (
	catalogue = iota
	studio
	counter
	orders
)

// normalUse is the part of the slots that is taken in normal time.
const normalUse = 0.7

// Deployments returns the settings of both houses.
func Deployments() []Deployment {
	return []Deployment{
		newHouse("kilwa", time.Millisecond, 8*time.Millisecond,
			[]Service{{Name: "catalogue", Targets: 5, Slots: 110}, {Name: "studio", Targets: 3, Slots: 190},
				{Name: "counter", Targets: 3, Slots: 20}, {Name: "orders", Targets: 4, Slots: 140}},
			rates{page: 80, fold: 600, status: 200, upload: 300, lookup: 80, booking: 200}, hemlockcall.Critical),
		newHouse("habi-tahanan", 500*time.Microsecond, time.Millisecond,
			[]Service{{Name: "catalog", Targets: 5, Slots: 80}, {Name: "artwork", Targets: 3, Slots: 130},
				{Name: "tracking", Targets: 3, Slots: 30}, {Name: "orders", Targets: 4, Slots: 100}},
			rates{page: 100, fold: 500, status: 150, upload: 200, lookup: 100, booking: 150}, hemlockcall.Important),
	}
}

type rates struct{ page, fold, status, upload, lookup, booking float64 }

func newHouse(name string, zone, caller time.Duration, services []Service, r rates, lookup hemlockcall.Priority) Deployment {
	class := func(name string, rate float64, p hemlockcall.Priority, timeout time.Duration, path []int,
		units ...float64) Class {
		return Class{Class: hemlockcall.Class{Service: services[path[0]].Name, Name: name, Priority: p,
			AtMostOnce: name == "booking", Timeout: timeout, RetryBudget: 2}, Rate: rate, Path: path, Units: units}
	}
	h := Deployment{Name: name, ZoneLatency: zone, CallerLatency: caller, Services: services, Classes: []Class{
		class("page", r.page, hemlockcall.Sheddable, 5*time.Second, []int{catalogue, studio, counter, orders}, 1, 1, 1, 1),
		class("fold", r.fold, hemlockcall.Sheddable, 3*time.Second, []int{catalogue, orders}, 1, 1),
		class("status", r.status, hemlockcall.Important, 3*time.Second, []int{catalogue, orders}, 1, 1),
		class("upload", r.upload, hemlockcall.Important, 10*time.Second, []int{studio, orders}, 4, 1),
		class("lookup", r.lookup, lookup, 3*time.Second, []int{counter, orders}, 1, 1),
		class("booking", r.booking, hemlockcall.Critical, 6*time.Second, []int{orders}, 2),
	}}
	h.calibrate()
	return h
}

// calibrate computes the work from the leaf upwards: what is left of a service's normal use after the nested calls.
func (h *Deployment) calibrate() {
	for s := len(h.Services) - 1; s >= 0; s-- {
		busy := normalUse * float64(h.Services[s].Targets*h.Services[s].Slots)
		units := 0.0
		for _, c := range h.Classes {
			for i, step := range c.Path {
				if step == s {
					busy -= c.Rate * h.hold(c, i+1, 1, nil).Seconds()
					units += c.Rate * c.Units[i]
				}
			}
		}
		h.Services[s].UnitWork = time.Duration(busy / units * float64(time.Second))
	}
}

// hold returns how long a call of the class at the given step takes without load, with its nested calls. Slow
// multiplies the work of the service with the given index.
func (h *Deployment) hold(c Class, step int, slow float64, slowService *int) time.Duration {
	total := time.Duration(0)
	for i := step; i < len(c.Path); i++ {
		work := float64(h.Services[c.Path[i]].UnitWork) * c.Units[i]
		if slowService != nil && *slowService == c.Path[i] {
			work *= slow
		}
		total += time.Duration(work)
		if i > 0 {
			total += h.ZoneLatency // about half of the calls leave the zone or the host
		}
	}
	return total
}
