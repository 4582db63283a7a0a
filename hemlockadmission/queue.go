package hemlockadmission

import "container/heap"

// serviceOrder selects the criteria of the service order; the order of arrival is always the last one.
type serviceOrder struct {
	priority bool // priority, rank and latency objective
	depth    bool
}

// queue holds the queued tickets in two heaps, so that the first and the last in the service order are found without a
// search. Each ticket stores its index in both.
type queue[T any] struct {
	bestFirst  ticketHeap[T]
	worstFirst ticketHeap[T]
}

func newQueue[T any](o serviceOrder) *queue[T] {
	return &queue[T]{bestFirst: ticketHeap[T]{serviceOrder: o}, worstFirst: ticketHeap[T]{serviceOrder: o, worstFirst: true}}
}

func (q *queue[T]) size() int {
	return len(q.bestFirst.tickets)
}

func (q *queue[T]) push(t *Ticket[T]) {
	heap.Push(&q.bestFirst, t)
	heap.Push(&q.worstFirst, t)
}

func (q *queue[T]) remove(t *Ticket[T]) {
	heap.Remove(&q.bestFirst, t.bestFirst)
	heap.Remove(&q.worstFirst, t.worstFirst)
}

// first returns the ticket that is served first, or nil.
func (q *queue[T]) first() *Ticket[T] {
	if len(q.bestFirst.tickets) == 0 {
		return nil
	}
	return q.bestFirst.tickets[0]
}

// last returns the ticket that is served last, or nil.
func (q *queue[T]) last() *Ticket[T] {
	if len(q.worstFirst.tickets) == 0 {
		return nil
	}
	return q.worstFirst.tickets[0]
}

// each calls visit for all tickets in no particular order; visit must not modify the queue.
func (q *queue[T]) each(visit func(*Ticket[T])) {
	for _, t := range q.bestFirst.tickets {
		visit(t)
	}
}

// ticketHeap implements heap.Interface. The two heaps of a queue differ in their order and in the index that they store in
// the tickets.
type ticketHeap[T any] struct {
	serviceOrder serviceOrder
	// worstFirst is set if the root of the heap is the ticket that is served last.
	worstFirst bool
	tickets    []*Ticket[T]
}

// Len implements heap.Interface.
func (h *ticketHeap[T]) Len() int { return len(h.tickets) }

// Less implements heap.Interface.
func (h *ticketHeap[T]) Less(i, j int) bool {
	if h.worstFirst {
		i, j = j, i
	}
	return h.tickets[i].ranksBefore(h.tickets[j], h.serviceOrder)
}

// Swap implements heap.Interface.
func (h *ticketHeap[T]) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	h.setIndex(i)
	h.setIndex(j)
}

// setIndex stores the index of a ticket in the ticket.
func (h *ticketHeap[T]) setIndex(i int) {
	if h.worstFirst {
		h.tickets[i].worstFirst = i
		return
	}
	h.tickets[i].bestFirst = i
}

// Push implements heap.Interface.
func (h *ticketHeap[T]) Push(x any) {
	h.tickets = append(h.tickets, x.(*Ticket[T]))
	h.setIndex(len(h.tickets) - 1)
}

// Pop implements heap.Interface.
func (h *ticketHeap[T]) Pop() any {
	n := len(h.tickets) - 1
	t := h.tickets[n]
	h.tickets[n] = nil
	h.tickets = h.tickets[:n]
	return t
}
