package hemlockquota

import "time"

// lender decides what a Ledger lends. The Ledger reports what becomes of each request that lends.
type lender interface {
	// lend adds to the message what it lends, and records that from now on the pool may count it.
	lend(now time.Time, m *Message)
	// accepted records that the pool counts the request instead of the answered ones before it.
	accepted(now time.Time, m *Message)
	// withdraw records that the pool does not and will not count the request.
	withdraw(now time.Time, m *Message)
	// end records that the pool stops counting the loans of the slot at the given time, because they were reclaimed.
	end(now time.Time, s *slot, pool string, at time.Time)
	// processEnded records that the pool's process has ended, and that what it has lent on ends at the given time.
	processEnded(now time.Time, pool string, at time.Time)
	// lentTo reports whether the pool may count a loan of the slot.
	lentTo(now time.Time, s *slot, pool string) bool
	// own returns the fraction that the lender may use itself.
	own(now time.Time, s *slot) Fraction
	// deposit keeps tokens that came with a fraction that was taken back.
	deposit(now time.Time, organisation string, tokens int)
	// wantsToLend reports whether there is something to lend.
	wantsToLend() bool
}

// hostLender lends the fraction that a host owns, for the organisations of each slot to one pool.
type hostLender struct {
	// fraction is 0 while the view of the node is not settled, and while it stops.
	fraction Fraction
	// loans are those for the organisations of each slot.
	loans map[*slot]*loans
	// retired are the loans of former slots, whose organisations are divided among all present ones. Until they have ended, they count
	// for each of these.
	retired []*loans
}

func (h *hostLender) of(s *slot) *loans {
	l := h.loans[s]
	if l == nil {
		l = &loans{}
		h.loans[s] = l
	}
	return l
}

// retire replaces all slots.
func (h *hostLender) retire() {
	for _, l := range h.loans {
		h.retired = append(h.retired, l)
	}
	h.loans = map[*slot]*loans{}
}

// remaining returns what is not lent to pools of former slots.
func (h *hostLender) remaining(now time.Time) Fraction {
	var highest Fraction
	kept := h.retired[:0]
	for _, l := range h.retired {
		if total := l.total(now); total > 0 {
			highest, kept = max(highest, total), append(kept, l)
		}
	}
	h.retired = kept
	return h.fraction.minus(highest)
}

func (h *hostLender) lend(now time.Time, m *Message) {
	l := h.of(m.slot)
	fraction := l.available(now, h.remaining(now), m.Address)
	if fraction > 0 {
		m.Request.Lent, m.lends = fraction, true
		l.lend(now, m.Address, m.sequence, fraction, levels[0])
	}
}

func (h *hostLender) accepted(_ time.Time, m *Message) {
	if m.lends { // the pool keeps an earlier loan otherwise
		h.of(m.slot).accepted(m.Address, m.sequence)
	}
}

func (h *hostLender) withdraw(_ time.Time, m *Message) { h.of(m.slot).withdraw(m.sequence) }

func (h *hostLender) end(_ time.Time, s *slot, pool string, at time.Time) {
	h.of(s).end(pool, at, false)
}

func (h *hostLender) processEnded(_ time.Time, pool string, at time.Time) {
	for _, l := range h.loans {
		l.end(pool, at, true)
	}
	for _, l := range h.retired {
		l.end(pool, at, true)
	}
}

func (h *hostLender) lentTo(now time.Time, s *slot, pool string) bool {
	return h.of(s).lentTo(now, pool) > 0
}

func (h *hostLender) own(now time.Time, s *slot) Fraction {
	return h.remaining(now).minus(h.of(s).total(now))
}

// deposit does nothing: the fraction of a host changes only with the population.
func (h *hostLender) deposit(time.Time, string, int) {}

// wantsToLend is also true without a fraction: the pool may report the population, on which it depends.
func (h *hostLender) wantsToLend() bool { return true }
