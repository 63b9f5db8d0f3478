package pool

import "time"

type waiting struct {
	Arrival
	due time.Duration // deadline on the pool's clock
	at  time.Duration
}

func (w waiting) before(o waiting) bool {
	if w.due != o.due {
		return w.due < o.due
	}
	return w.ID < o.ID
}

type ordered[T any] interface{ before(T) bool }

// heap is a binary heap of values, least first.
type heap[T ordered[T]] struct{ items []T }

func (h *heap[T]) push(v T) {
	h.items = append(h.items, v)
	for i := len(h.items) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.items[i].before(h.items[up]) {
			return
		}
		h.items[i], h.items[up] = h.items[up], h.items[i]
		i = up
	}
}

func (h *heap[T]) pop() (v T) {
	v = h.items[0]
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	h.items = h.items[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h.items[c].before(h.items[least]) {
				least = c
			}
		}
		if least == i {
			return v
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}

// queue holds waiting requests by deadline. A request that is taken back stays
// in the heap and is passed over when it comes up.
type queue struct {
	heap heap[waiting]
	live map[uint64]struct{}
}

func (q *queue) len() int { return len(q.live) }

func (q *queue) push(w waiting) {
	q.heap.push(w)
	q.live[w.ID] = struct{}{}
}

func (q *queue) remove(id uint64) (found bool) {
	_, found = q.live[id]
	delete(q.live, id)
	return found
}

func (q *queue) head() (w waiting, ok bool) {
	for len(q.heap.items) > 0 {
		w = q.heap.items[0]
		if _, ok = q.live[w.ID]; ok {
			return w, true
		}
		q.heap.pop()
	}
	return waiting{}, false
}

func (q *queue) pop() {
	w := q.heap.pop()
	delete(q.live, w.ID)
}
