// Package hemlockretry limits retries by budgets. RequestBudget limits the retries in one call tree, which is a customer
// request with all nested calls that its run makes. CallerRetryBudget limits the retries that callers send to an entry node.
// ServiceRetryBudget limits the retries that nodes send to a service. The package does no I/O.
package hemlockretry

import "sync"

// RequestBudget is the retry budget of one request on one node. The entry node creates the budget of a customer request; any
// other node starts with the allocation that the call carries. It is safe for concurrent use.
type RequestBudget struct {
	mutex sync.Mutex
	// remaining is never negative. It grows only by what an outstanding Allocation returns.
	remaining int
	closed    bool
}

// NewRequestBudget returns a budget for a number of retries; a negative number counts as zero.
func NewRequestBudget(retries int) *RequestBudget {
	return &RequestBudget{remaining: max(retries, 0)}
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *RequestBudget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Remaining returns the number of retries that are neither spent nor allocated.
func (b *RequestBudget) Remaining() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.remaining
}

// Allocate takes at most the given number of retries from the budget for an outgoing call; a negative number counts as zero.
// Allocation.Retries is the number that the call carries.
func (b *RequestBudget) Allocate(maxRetries int) *Allocation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.allocate(maxRetries)
}

// AllocateHalf takes half of the budget, rounded down, for an outgoing call. The calling node keeps the larger half because
// only it can retry a call whose response was lost: the allocation of such a call is forfeited.
func (b *RequestBudget) AllocateHalf() *Allocation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.allocate(b.remaining / 2)
}

// allocate is called with the lock held.
func (b *RequestBudget) allocate(maxRetries int) *Allocation {
	retries := min(max(maxRetries, 0), b.remaining)
	b.remaining -= retries
	return &Allocation{budget: b, retries: retries}
}

// Close closes the budget and returns the number of unused retries, which this node reports to the calling node. After that,
// no retries can be spent, allocated or returned here, because the calling node may use the reported ones immediately. A
// second Close returns 0.
func (b *RequestBudget) Close() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	unused := b.remaining
	b.remaining, b.closed = 0, true
	return unused
}

// Allocation is the part of a RequestBudget that one outgoing call carries to the called node.
type Allocation struct {
	budget  *RequestBudget
	retries int
	// settled is set by the first Return. It is guarded by the mutex of the budget.
	settled bool
}

// Retries returns the number of retries that the call carries.
func (a *Allocation) Retries() int {
	return a.retries
}

// Return gives the number of unused retries that the called node reported back to the budget, unless the budget is closed.
// Only the first Return has an effect, so that a duplicate response adds nothing. A report of more retries than were
// allocated is false, and the number of spent ones is unknown. The allocation is then forfeited, as is one that is never
// returned.
func (a *Allocation) Return(unused int) {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.settled {
		return
	}
	a.settled = true
	if !a.budget.closed && unused > 0 && unused <= a.retries {
		a.budget.remaining += unused
	}
}

// Forfeit settles the allocation without returning any retries, for a call whose response was lost. If Return is called
// later for a late response, it adds nothing.
func (a *Allocation) Forfeit() {
	a.Return(0)
}
