// Package hemlockretry bounds extra attempts: the retry allowance of one customer request along its call tree, and
// the repeats that a customer's callers send to an entry node. It does no I/O.
package hemlockretry

import "sync"

// RequestBudget is the retry allowance of one request on one node. The entry node mints the allowance of a customer request;
// every other node opens its ledger with the share that the call brought. It is safe for concurrent use.
type RequestBudget struct {
	mutex sync.Mutex
	// remaining is never negative. It grows only by what an outstanding Share gives back.
	remaining int
	closed    bool
}

// NewRequestBudget returns a ledger with an allowance of n extra attempts; a negative n counts as zero.
func NewRequestBudget(n int) *RequestBudget {
	return &RequestBudget{remaining: max(n, 0)}
}

// Spend takes the allowance for one extra attempt and reports whether there was any.
func (l *RequestBudget) Spend() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.remaining == 0 {
		return false
	}
	l.remaining--
	return true
}

// Remaining returns the allowance that is neither spent nor shared.
func (l *RequestBudget) Remaining() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.remaining
}

// Allocate takes up to want from the allowance for an outgoing call. The call carries Size extra attempts.
func (l *RequestBudget) Allocate(want int) *Allocation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.take(want)
}

// AllocateHalf takes half of the allowance, rounded down, for an outgoing call. The calling node keeps the larger half
// because it alone can repeat a call whose answer was lost: the share of a lost answer is forfeited.
func (l *RequestBudget) AllocateHalf() *Allocation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.take(l.remaining / 2)
}

func (l *RequestBudget) take(want int) *Allocation {
	size := min(max(want, 0), l.remaining)
	l.remaining -= size
	return &Allocation{ledger: l, size: size}
}

// Close ends the ledger and returns the unused rest, which the node reports to its caller. After that nothing can be
// spent, shared or returned here: the caller may use the rest as soon as it has the report.
func (l *RequestBudget) Close() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rest := l.remaining
	l.remaining, l.closed = 0, true
	return rest
}

// Allocation is the part of a ledger that one outgoing call carries.
type Allocation struct {
	ledger *RequestBudget
	size   int
	// settled is guarded by the mutex of the ledger. It is set by the first Return.
	settled bool
}

// Attempts returns the number of extra attempts that the call carries.
func (s *Allocation) Attempts() int {
	return s.size
}

// Return gives back the unused rest that the called node reported. Only the first Return counts, so an answer that
// arrives twice adds nothing. A report of more than the share is false, and nobody knows how much of the share was
// spent: the share is forfeited, as is one that is never returned.
func (s *Allocation) Return(unused int) {
	s.ledger.mutex.Lock()
	defer s.ledger.mutex.Unlock()
	if s.settled {
		return
	}
	s.settled = true
	if !s.ledger.closed && unused > 0 && unused <= s.size {
		s.ledger.remaining += unused
	}
}

// Forfeit settles the share without giving anything back, for a call whose answer was lost. A late answer that calls
// Return afterwards adds nothing.
func (s *Allocation) Forfeit() {
	s.Return(0)
}
