package hemlockadmission

import "container/heap"

// order selects the parts of the service order; arrival always decides last.
type order struct {
	priority bool
	depth    bool
}

// queue holds waiting tickets in two heaps, so that the first and the last in the service order are found without a
// search. Each ticket knows its position in both.
type queue[T any] struct {
	best  ticketHeap[T]
	worst ticketHeap[T]
}

func newQueue[T any](o order) *queue[T] {
	return &queue[T]{best: ticketHeap[T]{order: o}, worst: ticketHeap[T]{order: o, worst: true}}
}

func (q *queue[T]) size() int {
	return len(q.best.tickets)
}

func (q *queue[T]) push(t *Ticket[T]) {
	heap.Push(&q.best, t)
	heap.Push(&q.worst, t)
}

func (q *queue[T]) remove(t *Ticket[T]) {
	heap.Remove(&q.best, t.best)
	heap.Remove(&q.worst, t.worst)
}

// first returns the ticket that is served next, or nil.
func (q *queue[T]) first() *Ticket[T] {
	if len(q.best.tickets) == 0 {
		return nil
	}
	return q.best.tickets[0]
}

// last returns the ticket that is served last, or nil.
func (q *queue[T]) last() *Ticket[T] {
	if len(q.worst.tickets) == 0 {
		return nil
	}
	return q.worst.tickets[0]
}

// each calls visit for all tickets in no particular order; visit must not change the queue.
func (q *queue[T]) each(visit func(*Ticket[T])) {
	for _, t := range q.best.tickets {
		visit(t)
	}
}

// ticketHeap implements heap.Interface. The two heaps of a queue differ in their direction and in the position that
// they keep in the tickets.
type ticketHeap[T any] struct {
	order order
	// worst is set for the heap whose first ticket is served last.
	worst   bool
	tickets []*Ticket[T]
}

// Len implements heap.Interface.
func (h *ticketHeap[T]) Len() int { return len(h.tickets) }

// Less implements heap.Interface.
func (h *ticketHeap[T]) Less(i, j int) bool {
	if h.worst {
		i, j = j, i
	}
	return h.tickets[i].ranksBefore(h.tickets[j], h.order)
}

// Swap implements heap.Interface.
func (h *ticketHeap[T]) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	h.place(i)
	h.place(j)
}

// place records the position of a ticket in the ticket.
func (h *ticketHeap[T]) place(i int) {
	if h.worst {
		h.tickets[i].worst = i
		return
	}
	h.tickets[i].best = i
}

// Push implements heap.Interface.
func (h *ticketHeap[T]) Push(x any) {
	h.tickets = append(h.tickets, x.(*Ticket[T]))
	h.place(len(h.tickets) - 1)
}

// Pop implements heap.Interface.
func (h *ticketHeap[T]) Pop() any {
	n := len(h.tickets) - 1
	t := h.tickets[n]
	h.tickets[n] = nil
	h.tickets = h.tickets[:n]
	return t
}
