package hemlockbench

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// Deployment describes one deployment (section 1.1 of the design), Kilwa or Habi Tahanan: its size, its latencies and
// its arrivals under normal load. Both have the same call graph, whose longest path is that of a page (the studio and
// the counter are called artwork and tracking at Habi Tahanan):
//
//	page     catalogue -> studio -> counter -> orders   sheddable
//	fold     catalogue -> orders                        sheddable
//	status   catalogue -> orders                        important
//	upload   studio -> orders                           important
//	lookup   counter -> orders                          critical at Kilwa, important at Habi Tahanan
//	booking  orders                                     critical, at most once
//
// A request occupies its slot at a target while a nested call runs. The work per call is computed from the arrivals, so
// that each service has 70% of its slots in use under normal load.
type Deployment struct {
	// Name is the name used on the command line.
	Name string
	// ZoneLatency is the one-way latency between zones, and CallerLatency that between callers and nodes.
	ZoneLatency   time.Duration
	CallerLatency time.Duration
	// Services are ordered from the root of the call graph to its leaf. The constants catalogue to orders are the indexes.
	Services []Service
	// Classes are the classes of customer requests.
	Classes []Class
}

// Service is one service of a deployment.
type Service struct {
	Name    string
	Targets int
	// Slots is the maximum number of requests that one target runs concurrently.
	Slots int
	// UnitWork is the time of one unit of work at an idle target; calibrate sets it.
	UnitWork time.Duration
}

// Class is one class of customer requests.
type Class struct {
	hemlockcall.Class
	// Rate is the number of arrivals per second under normal load.
	Rate float64
	// Path holds the indexes of the services that call one another for a request, and Units the units of work at each.
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

// normalUtilisation is the fraction of the slots in use under normal load.
const normalUtilisation = 0.7

// Deployments returns both deployments.
func Deployments() []Deployment {
	return []Deployment{
		newDeployment("kilwa", time.Millisecond, 8*time.Millisecond,
			[]Service{{Name: "catalogue", Targets: 5, Slots: 110}, {Name: "studio", Targets: 3, Slots: 190},
				{Name: "counter", Targets: 3, Slots: 20}, {Name: "orders", Targets: 4, Slots: 140}},
			arrivalRates{page: 80, fold: 600, status: 200, upload: 300, lookup: 80, booking: 200}, hemlockcall.Critical),
		newDeployment("habi-tahanan", 500*time.Microsecond, time.Millisecond,
			[]Service{{Name: "catalog", Targets: 5, Slots: 80}, {Name: "artwork", Targets: 3, Slots: 130},
				{Name: "tracking", Targets: 3, Slots: 30}, {Name: "orders", Targets: 4, Slots: 100}},
			arrivalRates{page: 100, fold: 500, status: 150, upload: 200, lookup: 100, booking: 150}, hemlockcall.Important),
	}
}

type arrivalRates struct{ page, fold, status, upload, lookup, booking float64 }

func newDeployment(name string, zone, caller time.Duration, services []Service, r arrivalRates,
	lookup hemlockcall.Priority) Deployment {
	class := func(name string, rate float64, p hemlockcall.Priority, timeout time.Duration, path []int,
		units ...float64) Class {
		return Class{Class: hemlockcall.Class{Service: services[path[0]].Name, Name: name, Priority: p,
			AtMostOnce: name == "booking", Timeout: timeout, RetryBudget: 2}, Rate: rate, Path: path, Units: units}
	}
	d := Deployment{Name: name, ZoneLatency: zone, CallerLatency: caller, Services: services, Classes: []Class{
		class("page", r.page, hemlockcall.Sheddable, 5*time.Second, []int{catalogue, studio, counter, orders}, 1, 1, 1, 1),
		class("fold", r.fold, hemlockcall.Sheddable, 3*time.Second, []int{catalogue, orders}, 1, 1),
		class("status", r.status, hemlockcall.Important, 3*time.Second, []int{catalogue, orders}, 1, 1),
		class("upload", r.upload, hemlockcall.Important, 10*time.Second, []int{studio, orders}, 4, 1),
		class("lookup", r.lookup, lookup, 3*time.Second, []int{counter, orders}, 1, 1),
		class("booking", r.booking, hemlockcall.Critical, 6*time.Second, []int{orders}, 2),
	}}
	d.calibrate()
	return d
}

// calibrate sets UnitWork from the leaf of the call graph upwards: the slot time that the nested calls leave of a
// service's normal utilisation, divided by its units of work.
func (d *Deployment) calibrate() {
	for s := len(d.Services) - 1; s >= 0; s-- {
		busy := normalUtilisation * float64(d.Services[s].Targets*d.Services[s].Slots)
		units := 0.0
		for _, c := range d.Classes {
			for i, step := range c.Path {
				if step == s {
					busy -= c.Rate * d.callTime(c, i+1, 1, nil).Seconds()
					units += c.Rate * c.Units[i]
				}
			}
		}
		d.Services[s].UnitWork = time.Duration(busy / units * float64(time.Second))
	}
}

// callTime returns how long a call of the class at the given step takes without load, with its nested calls. The work of
// the service with the index slowService, if not nil, is multiplied by slowFactor.
func (d *Deployment) callTime(c Class, step int, slowFactor float64, slowService *int) time.Duration {
	total := time.Duration(0)
	for i := step; i < len(c.Path); i++ {
		work := float64(d.Services[c.Path[i]].UnitWork) * c.Units[i]
		if slowService != nil && *slowService == c.Path[i] {
			work *= slowFactor
		}
		total += time.Duration(work)
		if i > 0 {
			total += d.ZoneLatency // a round trip takes two, but only about half of the calls leave the zone or the host
		}
	}
	return total
}
