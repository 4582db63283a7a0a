package hemlockquota

import (
	"slices"
	"time"
)

// A pool of a zone is a lender: to the pools of all zones it lends what exceeds the recent demand of its zone, for each organisation. The
// loans of other organisations do not matter, so that lent and own fractions are counted by organisation.

// firm returns the sums of the loans that last until a loan to the next level that is sent now has ended.
func (p *Pool) firm(now time.Time) map[partition]Fraction {
	needed := now.Add(levels[1].lease + levels[1].timeout)
	sums := map[partition]Fraction{}
	if now.Before(p.started.Add(levels[0].release)) {
		return sums
	}
	for key, l := range p.loans {
		if !l.reclaimed && !l.until.Before(needed) {
			sums[key.partition] += l.fraction
		}
	}
	return sums
}

// minZoneBurst is the burst in tokens below which a zone lends its whole share, and asks for each token: so few do not cover random
// arrivals in the zone, and those in the other zones cannot be used. Above it, a message between zones for each request of an
// organisation at 0.6 of its quota would cost more than the refusals that it avoids.
const minZoneBurst = 6.5

// surplus returns the part of the firm fraction that the recent demand does not need, in steps; all of it if the burst is too small for a zone.
func (a *poolAccount) surplus(now time.Time, firm Fraction) Fraction {
	needed := Of(demandMargin * a.demand.current(now, demandTime) / a.limit.PerSecond)
	step := firm / lentSteps
	if firm.Value()*a.limit.Burst < minZoneBurst {
		needed = 0
	}
	if needed < step/2 {
		needed = 0 // the last requests were seconds ago
	}
	surplus := firm.minus(needed)
	if step == 0 {
		return 0
	}
	return surplus / step * step
}

func (p *Pool) lend(now time.Time, m *Message) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	sums := p.firm(now)
	m.Request.Number, m.Request.Renews = m.sequence, m.slot.known
	if m.slot.limitsVersion != p.limitsVersion {
		m.slot.limitsVersion, m.Request.Renews = p.limitsVersion, 0 // what was lent of a former quota must not be renewed
	}
	for _, a := range p.accounts {
		if !m.slot.partition.contains(a.hash) {
			continue
		}
		if len(m.Request.Demands) >= 2*maxDemands-1 {
			m.Request.Number, m.Request.Renews = 0, 0 // loans are omitted
			break
		}
		var firm Fraction
		for of, fraction := range sums {
			if of.contains(a.hash) {
				firm += fraction
			}
		}
		p.settle(now, a)
		p.lendSurplus(now, m, a, a.surplus(now, min(firm, One)))
	}
}

// lendSurplus lends the surplus of one organisation. Tokens that no longer fit into the bucket go with the fraction, and those that fit
// again are asked for when a part of it is taken back: a burst would be lost otherwise whenever demand begins, moves or ends.
func (p *Pool) lendSurplus(now time.Time, m *Message, a *poolAccount, surplus Fraction) {
	before, level := a.lentOn.lentTo(now, m.Address), a.bucket.level
	lent := a.lentOn.available(now, surplus, m.Address)
	if lent > 0 {
		m.lends = true
		a.lentOn.lend(now, m.Address, m.sequence, lent, levels[1])
		p.settle(now, a)
		if dropped := int(level - a.bucket.level); dropped > 0 {
			m.demand(a.name).Returned += min(dropped, maxWanted)
		}
	}
	if tokens := int(before.minus(lent).Value()*a.limit.Burst + 0.5); tokens > 0 {
		if m.transfers == nil {
			m.transfers = map[string]int{}
		}
		m.transfers[a.name] = min(tokens, maxWanted)
		m.demand(a.name).Wanted += m.transfers[a.name]
	}
	if m.Request.Renews == 0 && lent > 0 || lent != a.lastLent || m.mentions(a.name) {
		m.demand(a.name).Lent = lent
	}
	a.lastLent = lent
}

func (p *Pool) deposit(now time.Time, organisation string, tokens int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	if a := p.accounts[organisation]; a != nil {
		p.settle(now, a)
		a.bucket.put(tokens)
	}
}

func (m *Message) mentions(organisation string) bool {
	return slices.ContainsFunc(m.Request.Demands, func(d Demand) bool { return d.Organisation == organisation })
}

// demand returns the part of the message about an organisation.
func (m *Message) demand(organisation string) *Demand {
	for i := range m.Request.Demands {
		if d := &m.Request.Demands[i]; d.Organisation == organisation {
			return d
		}
	}
	m.Request.Demands = append(m.Request.Demands, Demand{Organisation: organisation})
	return &m.Request.Demands[len(m.Request.Demands)-1]
}

func (p *Pool) accepted(now time.Time, m *Message) {
	p.forSlot(now, m.slot, func(a *poolAccount) { a.lentOn.accepted(m.Address, m.sequence) })
}

func (p *Pool) withdraw(now time.Time, m *Message) {
	p.forSlot(now, m.slot, func(a *poolAccount) { a.lentOn.withdraw(m.sequence) })
}

func (p *Pool) end(now time.Time, s *slot, pool string, at time.Time) {
	p.forSlot(now, s, func(a *poolAccount) { a.lentOn.end(pool, at, false) })
}

func (p *Pool) processEnded(now time.Time, pool string, at time.Time) {
	p.forSlot(now, nil, func(a *poolAccount) { a.lentOn.end(pool, at, true) })
}

// forSlot calls a function with the organisations of a slot, or all, and applies the change to their buckets.
func (p *Pool) forSlot(now time.Time, s *slot, change func(*poolAccount)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	for _, a := range p.accounts {
		if s == nil || s.partition.contains(a.hash) {
			p.settle(now, a)
			change(a)
			p.settle(now, a)
		}
	}
}

func (p *Pool) lentTo(now time.Time, s *slot, pool string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, a := range p.accounts {
		if s.partition.contains(a.hash) && a.lentOn.lentTo(now, pool) > 0 {
			return true
		}
	}
	return false
}

// own returns 0: a pool uses its own share by granting it.
func (p *Pool) own(time.Time, *slot) Fraction { return 0 }

// HasLoans reports whether the node is a pool that counts loans for all organisations of a partition.
func (p *Pool) HasLoans() bool { return p.wantsToLend() }

func (p *Pool) wantsToLend() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.sums) > 0
}
