package hemlockquota

import (
	"testing"
	"time"

	"hemlockhollow/hemlockmember"
)

// Guards against a customer that loses its quota to requests that have not run.
func TestRequestsThatDoNotRunCostNoTokens(t *testing.T) {
	s := newSimulation(1, 3, 3, map[string]Limit{"customer": {PerSecond: 1, Burst: 36}})
	s.run(40 * time.Second) // the burst has accumulated
	s.demand("customer", 5, s.nodes, 30*time.Second, 1)
	s.run(30 * time.Second)
	// Without returned tokens, 66 are available for 150 requests.
	if s.refused[Granted] < 130 {
		t.Errorf("outcomes %v, nearly all granted expected", s.refused)
	}
}

// Guards against a customer that is told that its quota is exceeded, or that waits, while the pool does not answer; and against a pool
// whose end or freeze costs the customer more than the time until its loans have ended.
func TestPoolThatFails(t *testing.T) {
	for name, test := range map[string]struct {
		fail func(*simulation, *node)
		// pause is how long requests may be refused.
		pause time.Duration
	}{
		"frozen":   {func(s *simulation, n *node) { n.frozenUntil = s.now.Add(time.Minute) }, 2 * time.Second},
		"ended":    {func(_ *simulation, n *node) { n.dead = true }, time.Second},
		"isolated": {func(s *simulation, n *node) { s.cut = func(a, b *node) bool { return (a == n) != (b == n) } }, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 1, 8, map[string]Limit{"customer": {PerSecond: 50, Burst: 50}})
			s.run(4 * time.Second)
			pool := s.nodes[0]
			if !pool.zonePool.HasLoans() {
				t.Fatal("the first node is not the pool")
			}
			test.fail(s, pool)
			s.demand("customer", 40, s.nodes[1:], 6*time.Second, 0)
			begin := s.now
			s.run(time.Second)
			if s.refused[Exhausted] > s.refused[Unavailable]+5 {
				t.Errorf("outcomes %v after a second", s.refused)
			}
			s.run(5 * time.Second)
			served := s.within("customer", begin.Add(test.pause), s.now)
			if want := 0.8 * 40 * (6*time.Second - test.pause).Seconds(); float64(served) < want {
				t.Errorf("%d requests served after %v, at least %.0f expected; outcomes %v", served, test.pause, want, s.refused)
			}
		})
	}
}

// Guards against a zone that takes the share of a partitioned one, and against a share that is lost because a host has left.
func TestPopulation(t *testing.T) {
	var p Population
	members := []hemlockmember.Member{{Address: "a", State: hemlockmember.Ready}, {Address: "b", State: hemlockmember.Joining},
		{Address: "c", State: hemlockmember.Leaving}, {Address: "d", State: hemlockmember.Dead}}
	leaving := p.Observe(members)
	members[2].State = hemlockmember.Dead
	afterwards := p.Observe(members)
	members[2].Incarnation++ // it came back, and died
	if back := p.Observe(members); leaving != 3 || afterwards != 3 || back != 4 {
		t.Errorf("%d nodes while one leaves, %d after its end, %d after it came back and died; want 3, 3 and 4", leaving, afterwards, back)
	}
}
