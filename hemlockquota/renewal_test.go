package hemlockquota

import (
	"testing"
	"time"
)

// Guards against loans between zones that a pool renews although the sender has not recorded them as lent: they would be counted twice.
func TestOnlyKnownLoansAreRenewed(t *testing.T) {
	start, limits := time.Unix(1000, 0), map[string]Limit{"a": {1, 1}, "b": {1, 1}}
	for name, test := range map[string]struct {
		between  func(*Pool, Request)
		renews   uint64
		after    time.Duration
		accepted bool
	}{
		"last number":       {func(*Pool, Request) {}, 7, 400 * time.Millisecond, true},
		"other number":      {func(*Pool, Request) {}, 6, 0, false},
		"ended loans":       {func(*Pool, Request) {}, 7, 500 * time.Millisecond, false},
		"demands between":   {func(p *Pool, r Request) { r.DemandsOnly = true; p.Receive(start, r) }, 7, 0, true},
		"probe between":     {func(p *Pool, r Request) { r.Number = 0; p.Receive(start, r) }, 7, 0, false},
		"reclaimed":         {func(p *Pool, r Request) { r.Reclaimed = true; p.Receive(start, r) }, 7, 0, false},
		"division between":  {func(p *Pool, r Request) { r.Partitions = 2; p.Receive(start, r) }, 7, 0, false},
		"new organisations": {func(p *Pool, _ Request) { p.SetLimits(start, map[string]Limit{"a": {1, 1}, "c": {1, 1}}) }, 7, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(1, start.Add(-time.Minute), 1)
			p.SetLimits(start, limits)
			r := Request{From: "zone", Level: 1, Partitions: 1, Clock: p.clock(start), Lease: time.Second, Number: 7,
				Demands: []Demand{{Organisation: "a", Lent: One / 4}, {Organisation: "b", Lent: One / 4}}}
			if answer, _ := p.Receive(start, r); answer.Number != 7 {
				t.Fatalf("%+v", answer)
			}
			test.between(p, Request{From: "zone", Level: 1, Partitions: 1, Clock: r.Clock, Lease: time.Second, Number: 8})
			now := start.Add(test.after)
			r.Clock, r.Number, r.Renews, r.Demands = p.clock(now), 9, test.renews, []Demand{{Organisation: "b"}}
			if answer, _ := p.Receive(now, r); answer.Accepted != test.accepted {
				t.Fatalf("%+v", answer)
			}
			p.expire(now)
			if a, b := p.accounts["a"].sum, p.accounts["b"]; test.accepted && (a != One/4 || b.sum != 0) {
				t.Errorf("%v of a and %v of b are counted", a.Value(), b.sum.Value())
			}
		})
	}
}

// Guards against a loan of a former quota that is renewed: the sender counts that of a new quota of the same name as its own.
func TestChangedLimitsEndTheRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(0, now, 1)
	s := &slot{partition: partition{0, 1}, known: 5}
	for i, renews := range []uint64{5, 5, 0, 5} {
		switch i {
		case 0:
			s.limitsVersion = p.limitsVersion
		case 2:
			p.SetLimits(now, map[string]Limit{"a": {1, 1}})
		}
		m := &Message{slot: s, sequence: 6}
		p.lend(now, m)
		if m.Request.Renews != renews {
			t.Errorf("request %d renews %d, want %d", i, m.Request.Renews, renews)
		}
	}
}
