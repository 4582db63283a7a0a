package hemlockadmission

// serviceOrder selects the criteria of the service order; the order of arrival is always the last one.
type serviceOrder struct {
	priority bool // priority, rank and latency objective
	depth    bool
	// last is set where the last request is searched for. The requests that an organisation has queued then count like slot time that
	// it has received, so that an organisation that fills the queue loses its own requests.
	last bool
}

func (o serviceOrder) forLast() serviceOrder {
	o.last = true
	return o
}

// element is what a queue holds: a ticket, or the tickets of an organisation.
type element[E any] interface {
	// ranksBefore reports whether the element is served before o.
	ranksBefore(o E, order serviceOrder) bool
	// heapIndexes returns where the element stores its indexes in the two heaps of its queue.
	heapIndexes() *indexes
}

// indexes are the indexes of an element in the heaps of its queue.
type indexes struct {
	bestFirst, worstFirst int
}

// queue holds elements in two heaps, so that the first and the last in the service order are found without a search.
type queue[E element[E]] struct {
	bestFirst  indexedHeap[E]
	worstFirst indexedHeap[E]
}

func newQueue[E element[E]](o serviceOrder) queue[E] {
	return queue[E]{bestFirst: indexedHeap[E]{serviceOrder: o}, worstFirst: indexedHeap[E]{serviceOrder: o.forLast()}}
}

func (q *queue[E]) size() int {
	return len(q.bestFirst.elements)
}

func (q *queue[E]) push(e E) {
	q.bestFirst.push(e)
	q.worstFirst.push(e)
}

func (q *queue[E]) remove(e E) {
	stored := e.heapIndexes()
	q.bestFirst.remove(stored.bestFirst)
	q.worstFirst.remove(stored.worstFirst)
}

// fix restores the order after the position of an element has changed.
func (q *queue[E]) fix(e E) {
	stored := e.heapIndexes()
	q.bestFirst.fix(stored.bestFirst)
	q.worstFirst.fix(stored.worstFirst)
}

// first returns the element that is served first, or the zero value.
func (q *queue[E]) first() E {
	return q.bestFirst.root()
}

// last returns the element that is served last, or the zero value.
func (q *queue[E]) last() E {
	return q.worstFirst.root()
}

// each calls visit for all elements in no particular order; visit must not modify the queue.
func (q *queue[E]) each(visit func(E)) {
	for _, e := range q.bestFirst.elements {
		visit(e)
	}
}

// indexedHeap is a binary heap. The two heaps of a queue differ in their order and in the index that they store in the
// elements. It is written out because container/heap would call each comparison through an interface, and compare twice as
// often when it moves an element.
type indexedHeap[E element[E]] struct {
	// serviceOrder has the field last set if the root of the heap is the element that is served last.
	serviceOrder serviceOrder
	elements     []E
}

// root returns the element at the root, or the zero value.
func (h *indexedHeap[E]) root() (e E) {
	if len(h.elements) > 0 {
		return h.elements[0]
	}
	return e
}

func (h *indexedHeap[E]) push(e E) {
	h.elements = append(h.elements, e)
	h.up(len(h.elements) - 1)
}

func (h *indexedHeap[E]) remove(i int) {
	var none E
	n := len(h.elements) - 1
	moved := h.elements[n]
	h.elements[n] = none
	h.elements = h.elements[:n]
	if i < n {
		h.elements[i] = moved
		h.fix(i)
	}
}

// fix restores the order after the position of the element with the given index has changed.
func (h *indexedHeap[E]) fix(i int) {
	if h.up(i) == i {
		h.down(i)
	}
}

// up moves an element towards the root until its parent goes before it, and returns its new index.
func (h *indexedHeap[E]) up(i int) int {
	e := h.elements[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.goesBefore(e, h.elements[parent]) {
			break
		}
		h.place(i, h.elements[parent])
		i = parent
	}
	h.place(i, e)
	return i
}

// down moves an element away from the root until it goes before its children.
func (h *indexedHeap[E]) down(i int) {
	e := h.elements[i]
	for {
		child := 2*i + 1
		if child >= len(h.elements) {
			break
		}
		if right := child + 1; right < len(h.elements) && h.goesBefore(h.elements[right], h.elements[child]) {
			child = right
		}
		if !h.goesBefore(h.elements[child], e) {
			break
		}
		h.place(i, h.elements[child])
		i = child
	}
	h.place(i, e)
}

// goesBefore reports whether e is nearer to the root than o.
func (h *indexedHeap[E]) goesBefore(e, o E) bool {
	if h.serviceOrder.last {
		return o.ranksBefore(e, h.serviceOrder)
	}
	return e.ranksBefore(o, h.serviceOrder)
}

// place stores an element at an index, and the index in the element.
func (h *indexedHeap[E]) place(i int, e E) {
	h.elements[i] = e
	if h.serviceOrder.last {
		e.heapIndexes().worstFirst = i
		return
	}
	e.heapIndexes().bestFirst = i
}
