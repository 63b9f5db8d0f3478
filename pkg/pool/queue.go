package pool

import (
	"time"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

// queuedRequest is a request in the queue.
type waiting struct {
	Arrival
	due time.Duration // deadline on the pool's clock
}

// Before orders by deadline, then by ID, the order of arrival.
func (w waiting) Before(o waiting) bool {
	if w.due != o.due {
		return w.due < o.due
	}
	return w.ID < o.ID
}

// queue is a priority queue: requests that are not idempotent come first, and each group
// is ordered by deadline. A removed request stays in its heap and is skipped when it
// reaches the top.
type queue struct {
	first  heap.Heap[waiting]
	rest   heap.Heap[waiting]
	live   map[uint64]bool // by ID, whether the request is idempotent
	firsts int
}

func (q *queue) len() int { return len(q.live) }

// countAhead returns the number of requests that precede a new one with the same deadline.
func (q *queue) ahead(idempotent bool) int {
	if idempotent {
		return len(q.live)
	}
	return q.firsts
}

func (q *queue) push(w waiting) {
	q.live[w.ID] = w.Idempotent
	if w.Idempotent {
		q.rest.Push(w)
		return
	}
	q.firsts++
	q.first.Push(w)
}

func (q *queue) remove(id uint64) (found bool) {
	idempotent, found := q.live[id]
	if found && !idempotent {
		q.firsts--
	}
	delete(q.live, id)
	return found
}

// head returns the next request without removing it.
func (q *queue) head() (w waiting, ok bool) {
	if w, ok = q.top(&q.first); ok {
		return w, true
	}
	return q.top(&q.rest)
}

// peek returns the first request of h that was not removed.
func (q *queue) top(h *heap.Heap[waiting]) (w waiting, ok bool) {
	for h.Len() > 0 {
		w = h.Head()
		if _, ok = q.live[w.ID]; ok {
			return w, true
		}
		h.Pop()
	}
	return waiting{}, false
}

// popLate removes and returns a request that is due before limit.
func (q *queue) late(limit time.Duration) (w waiting, ok bool) {
	for _, h := range []*heap.Heap[waiting]{&q.first, &q.rest} {
		if w, ok = q.top(h); ok && w.due < limit {
			q.remove(w.ID)
			return w, true
		}
	}
	return waiting{}, false
}
