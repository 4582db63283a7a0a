package hemlockadmission

// The indexes in account.flows.
const (
	regularFlow = iota
	suspectFlow
	flowCount
)

// flow is the tickets of an organisation in one queue. In a heap of flows, it is ordered by its first or last ticket.
type flow[T any] struct {
	tickets queue[*Ticket[T]]
	indexes indexes
}

// heapIndexes implements element.
func (f *flow[T]) heapIndexes() *indexes {
	return &f.indexes
}

// ranksBefore implements element.
func (f *flow[T]) ranksBefore(o *flow[T], order serviceOrder) bool {
	if order.last {
		return f.tickets.last().ranksBefore(o.tickets.last(), order)
	}
	return f.tickets.first().ranksBefore(o.tickets.first(), order)
}

// fairQueue holds queued tickets. Those of an organisation are in a queue of their own, because their position relative to
// those of other organisations changes with the levels of the account: then only the flow moves, not each ticket.
type fairQueue[T any] struct {
	serviceOrder serviceOrder
	flow         int // regularFlow or suspectFlow
	count        int // of tickets
	// unowned holds the tickets without an organisation.
	unowned queue[*Ticket[T]]
	// flows holds the flows that are not empty.
	flows queue[*flow[T]]
}

func newFairQueue[T any](o serviceOrder, flowIndex int) *fairQueue[T] {
	return &fairQueue[T]{serviceOrder: o, flow: flowIndex, unowned: newQueue[*Ticket[T]](o), flows: newQueue[*flow[T]](o)}
}

func (q *fairQueue[T]) size() int {
	return q.count
}

func (q *fairQueue[T]) push(t *Ticket[T]) {
	q.count++
	if t.account == nil {
		q.unowned.push(t)
		return
	}
	f := &t.account.flows[q.flow]
	f.tickets.push(t)
	if f.tickets.size() == 1 {
		q.flows.push(f)
	} else {
		q.flows.fix(f)
	}
}

// remove removes a ticket. The caller then takes it out of its account and calls fix.
func (q *fairQueue[T]) remove(t *Ticket[T]) {
	q.count--
	if t.account == nil {
		q.unowned.remove(t)
		return
	}
	f := &t.account.flows[q.flow]
	if f.tickets.size() == 1 {
		q.flows.remove(f)
	}
	f.tickets.remove(t)
}

// fix restores the order after the levels of an account or the tickets of its flow have changed.
func (q *fairQueue[T]) fix(a *account[T]) {
	if f := &a.flows[q.flow]; f.tickets.size() > 0 {
		q.flows.fix(f)
	}
}

// first returns the ticket that is served first, or nil.
func (q *fairQueue[T]) first() *Ticket[T] {
	first := q.unowned.first()
	if f := q.flows.first(); f != nil {
		if t := f.tickets.first(); first == nil || t.ranksBefore(first, q.serviceOrder) {
			return t
		}
	}
	return first
}

// last returns the ticket that is served last, or nil.
func (q *fairQueue[T]) last() *Ticket[T] {
	last := q.unowned.last()
	if f := q.flows.last(); f != nil {
		if t := f.tickets.last(); last == nil || last.ranksBefore(t, q.serviceOrder.forLast()) {
			return t
		}
	}
	return last
}

// each calls visit for all tickets in no particular order; visit must not modify the queue.
func (q *fairQueue[T]) each(visit func(*Ticket[T])) {
	q.unowned.each(visit)
	q.flows.each(func(f *flow[T]) { f.tickets.each(visit) })
}
