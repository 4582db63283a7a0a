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
	best  bestFirst[T]
	worst worstFirst[T]
}

func newQueue[T any](o order) *queue[T] {
	return &queue[T]{best: bestFirst[T]{order: o}, worst: worstFirst[T]{order: o}}
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

type bestFirst[T any] struct {
	order   order
	tickets []*Ticket[T]
}

func (h *bestFirst[T]) Len() int { return len(h.tickets) }

func (h *bestFirst[T]) Less(i, j int) bool { return h.tickets[i].ranksBefore(h.tickets[j], h.order) }

func (h *bestFirst[T]) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	h.tickets[i].best, h.tickets[j].best = i, j
}

func (h *bestFirst[T]) Push(x any) {
	t := x.(*Ticket[T])
	t.best = len(h.tickets)
	h.tickets = append(h.tickets, t)
}

func (h *bestFirst[T]) Pop() any {
	n := len(h.tickets) - 1
	t := h.tickets[n]
	h.tickets[n] = nil
	h.tickets = h.tickets[:n]
	return t
}

type worstFirst[T any] struct {
	order   order
	tickets []*Ticket[T]
}

func (h *worstFirst[T]) Len() int { return len(h.tickets) }

func (h *worstFirst[T]) Less(i, j int) bool { return h.tickets[j].ranksBefore(h.tickets[i], h.order) }

func (h *worstFirst[T]) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	h.tickets[i].worst, h.tickets[j].worst = i, j
}

func (h *worstFirst[T]) Push(x any) {
	t := x.(*Ticket[T])
	t.worst = len(h.tickets)
	h.tickets = append(h.tickets, t)
}

func (h *worstFirst[T]) Pop() any {
	n := len(h.tickets) - 1
	t := h.tickets[n]
	h.tickets[n] = nil
	h.tickets = h.tickets[:n]
	return t
}
