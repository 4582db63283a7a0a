package hemlockquota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// usage counts the requests of one organisation, and how many of them were refused or would have been by one bucket for all nodes.
type usage struct {
	name                     string
	limit                    Limit
	one                      bucket
	requests, refused, byOne int
}

// visit sends one request to a random node. A refused client comes back up to three times, after the stated time.
func (s *simulation) visit(u *usage, retries int) {
	n := s.nodes[s.random.Intn(len(s.nodes))]
	u.requests++
	u.one.set(s.now, One, u.limit)
	if u.one.take(1) == 0 {
		u.byOne++
	}
	s.take(n, n.host, u.name, 1, 100*time.Millisecond, func(t *Ticket) {
		if t.Outcome == Granted {
			return
		}
		u.refused++
		if retries > 0 {
			s.on(n, time.Duration(float64(max(t.Wait, time.Millisecond))*(1+s.random.Float64()/4)), func() { s.visit(u, retries-1) })
		}
	})
}

// Guards against refusals that one bucket for all nodes would not cause: of small organisations whose burst is divided among the zones, and
// of a large one whose demand begins while requests wait for the answers of pools. Requests arrive at random nodes, at 0.6 to 1.0 of the
// quotas.
func TestRefusalsAreThoseOfOneBucket(t *testing.T) {
	for _, test := range []struct {
		processing time.Duration
		// allowed is the part of the requests that may be refused beyond those by one bucket, of organisations with up to 20 requests a
		// second, up to 40, and of the largest.
		allowed [3]float64
	}{
		{20 * time.Millisecond, [3]float64{0.01, 0.03, 0.01}},
		{30 * time.Millisecond, [3]float64{0.02, 0.03, 0.01}},
	} {
		t.Run(test.processing.String(), func(t *testing.T) { checkRefusals(t, test.processing, test.allowed) })
	}
}

func checkRefusals(t *testing.T, processing time.Duration, allowed [3]float64) {
	const small, duration = 82, 10 * time.Second
	all, limits := make([]*usage, 0, small+1), map[string]Limit{}
	for i := range small + 1 {
		u := &usage{name: fmt.Sprintf("customer-%d", i), limit: Limit{428, 428}}
		if i < small {
			perSecond := 5 * math.Pow(8, float64(i)/(small-1))
			u.limit = Limit{perSecond, perSecond}
		}
		all, limits[u.name] = append(all, u), u.limit
	}
	s := newSimulation(1, 3, 27, limits)
	s.processing, s.checkInterval = processing, 50*time.Millisecond
	for _, n := range s.nodes {
		s.rank(n, 2, 0)
	}
	s.run(5 * time.Second)
	messages, entries := s.messages, s.entries
	for i, u := range all {
		u.one = bucket{at: s.now, level: u.limit.Burst}
		perSecond, after := 340.0, 3*time.Second
		if i < small {
			perSecond, after = u.limit.PerSecond*(0.6+0.4*float64(i*37%small)/small), 0
		}
		for at := after.Seconds(); at < duration.Seconds(); at += s.random.ExpFloat64() / perSecond {
			s.on(s.nodes[0], time.Duration(at*float64(time.Second)), func() { s.visit(u, 3) })
		}
	}
	s.run(duration)
	if s.failure != "" {
		t.Error(s.failure)
	}
	for i, to := range []float64{20, 41, 1000} {
		var sum usage
		for _, u := range all {
			if from := []float64{0, 20, 41}[i]; u.limit.PerSecond > from && u.limit.PerSecond <= to {
				sum.requests, sum.refused, sum.byOne = sum.requests+u.requests, sum.refused+u.refused, sum.byOne+u.byOne
			}
		}
		t.Logf("rates up to %v: %d of %d requests refused, %d by one bucket", to, sum.refused, sum.requests, sum.byOne)
		if float64(sum.refused) > float64(sum.byOne)+allowed[i]*float64(sum.requests) {
			t.Errorf("rates up to %v: more than %v of the requests refused beyond those by one bucket", to, allowed[i])
		}
	}
	t.Logf("in %v %d messages to zone pools, %d to pools of all zones with %d entries", duration, s.messages[0]-messages[0],
		s.messages[1]-messages[1], s.entries[1]-entries[1])
}
