package hemlockquota

import "time"

// Failure is why a message has no answer.
type Failure uint8

const (
	// Unanswered means that the request may have arrived.
	Unanswered Failure = iota
	// Unsent means that no connection could be opened.
	Unsent
	// ProcessEnded means that the connection was refused when it was opened: no process listens at the address, so that the pool's
	// process, and with it all loans, have ended.
	ProcessEnded
)

// Answered reports the answer to a message.
func (l *Ledger) Answered(now time.Time, m *Message, answer Answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s, p := m.slot, l.peerOf(m.Address)
	s.finished(m, answer.Number)
	p.clock, p.clockAt, p.silent = answer.Clock, now, false
	if answer.Population > 0 {
		l.reported, l.reportedAt = answer.Population, now
	}
	if !answer.Accepted {
		l.lender.withdraw(now, m)
		l.askAgain(m)
		if m.Request.Clock != 0 {
			p.ignored++
		}
		if p.ignored >= maxIgnored {
			p.silent = true
		}
		return
	}
	p.ignored = 0
	if !m.Request.DemandsOnly {
		l.lender.accepted(now, m)
	}
	if m.Request.Reclaimed {
		l.lender.end(now, s, m.Address, now.Add(l.terms().release))
		s.reclaimed = true
	}
	grants := make(map[string]Grant, len(answer.Grants))
	for _, g := range answer.Grants {
		grants[g.Organisation] = g
	}
	for _, d := range m.Request.Demands {
		a := l.accounts[d.Organisation]
		if g, ok := grants[d.Organisation]; a != nil && a.slot == s && d.Wanted > 0 {
			l.distribute(now, m, a, d, g, ok)
		}
	}
}

// distribute gives granted tokens to the tickets that the message asked for, and keeps the others.
func (l *Ledger) distribute(now time.Time, m *Message, a *account, d Demand, g Grant, known bool) {
	tokens := min(g.Granted, d.Wanted)
	late := now.Sub(m.sentAt) >= l.terms().hold
	if late { // this process was suspended
		a.returned = min(a.returned+tokens, maxWanted)
		tokens, known = 0, false
	}
	if known && g.Granted < d.Wanted-m.transfers[a.name] {
		a.roomAt = now.Add(g.Wait)
		a.deniedUntil = now.Add(min(g.Wait, maxDenial))
	}
	var later []*Ticket
	for _, t := range a.waiting {
		if t.sequence != m.sequence {
			later = append(later, t)
			continue
		}
		n := min(tokens, t.wanted-t.Tokens)
		tokens -= n
		t.Tokens += n
		switch {
		case t.Tokens > 0:
			l.counts.Granted += uint64(t.Tokens)
			t.resolve(Granted, t.Tokens, g.Wait)
		case known:
			l.exhausted(t, g.Wait)
		default:
			l.unavailable(t)
		}
	}
	a.waiting = later
	if n := min(tokens, m.transfers[a.name]); n > 0 {
		tokens -= n
		l.lender.deposit(now, a.name, n)
	}
	if tokens > 0 {
		a.stock = append(a.stock, stocked{count: tokens, since: m.sentAt, pool: m.Address})
	}
}

// Failed reports that a message has no answer.
func (l *Ledger) Failed(now time.Time, m *Message, failure Failure) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s, p := m.slot, l.peerOf(m.Address)
	s.finished(m, 0)
	if failure != Unanswered {
		l.lender.withdraw(now, m)
	}
	if failure == ProcessEnded {
		// What the pool has lent on still counts for a moment.
		l.lender.processEnded(now, m.Address, now.Add(l.terms().release))
		l.avoid(now, m.Address, endedAvoidance)
		l.moveAway(s, m.Address)
		l.askAgain(m)
		return
	}
	if !p.silent {
		l.change(Change{From: m.Address, To: m.Address, Partition: s.partition.index})
	}
	p.silent = true
	if l.lender.lentTo(now, s, m.Address) {
		l.refuseWaiting(s)
		return
	}
	l.avoid(now, m.Address, silentAvoidance)
	l.askAgain(m)
}

// moveAway makes a slot choose another pool at once: its pool has ended, so that there is nothing to reclaim from it.
func (l *Ledger) moveAway(s *slot, address string) {
	if s.pool == address {
		l.change(Change{From: address, Partition: s.partition.index})
		s.pool = ""
	}
}

// askAgain lets the next message of the slot ask for what this one could not.
func (l *Ledger) askAgain(m *Message) {
	for _, a := range m.slot.accounts {
		if len(a.waiting) > 0 {
			m.slot.ask(a)
		}
	}
}

// SlotState is the state of one partition at a Ledger.
type SlotState struct {
	Partition int    `json:"partition"`
	Pool      string `json:"pool"`
	// Lent is set while the pool may count a loan, and Own is the fraction that the node uses itself.
	Lent   bool    `json:"lent"`
	Own    float64 `json:"own-fraction"`
	Silent bool    `json:"silent"`
}

// LedgerState is the state of a Ledger, for operators.
type LedgerState struct {
	Fraction   float64     `json:"fraction"`
	Population int         `json:"population"`
	Slots      []SlotState `json:"partitions"`
	Counts     Counts      `json:"counts"`
	// Unavailable is the number of requests that no pool has answered.
	Unavailable uint64 `json:"unavailable"`
	// Stock is the number of unused tokens by organisation.
	Stock map[string]int `json:"stock,omitempty"`
}

// Snapshot returns the state of the ledger.
func (l *Ledger) Snapshot(now time.Time) LedgerState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := LedgerState{Population: l.population, Counts: l.counts, Unavailable: l.unavailableCount, Stock: map[string]int{}}
	if l.host != nil {
		state.Fraction = l.fraction(now).Value()
	}
	for _, s := range l.slots {
		state.Slots = append(state.Slots, SlotState{Partition: s.partition.index, Pool: s.pool, Own: s.own.Value(),
			Lent: s.pool != "" && l.lender.lentTo(now, s, s.pool), Silent: s.pool != "" && l.peerOf(s.pool).silent})
		for _, a := range s.accounts {
			if stock := a.stockCount(now, l.terms().hold); stock > 0 {
				state.Stock[a.name] = stock
			}
		}
	}
	return state
}
