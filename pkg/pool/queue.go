package pool

import (
	"time"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

// queuedRequest is a request in the queue.
type queuedRequest struct {
	Arrival
	due time.Duration // deadline on the pool's clock
}

// Before orders by deadline, then by ID, the order of arrival.
func (w queuedRequest) Before(o queuedRequest) bool {
	if w.due != o.due {
		return w.due < o.due
	}
	return w.ID < o.ID
}

// queue is a priority queue: requests that are not idempotent come first, and each group
// is ordered by deadline. A removed request stays in its heap and is skipped when it
// reaches the top.
type queue struct {
	nonIdempotent      heap.Heap[queuedRequest]
	idempotent         heap.Heap[queuedRequest]
	queued             map[uint64]bool // by ID, whether the request is idempotent
	nonIdempotentCount int
}

func (q *queue) len() int { return len(q.queued) }

// countAhead returns the number of queued requests that precede a new one if all of them
// have the same deadline.
func (q *queue) countAhead(idempotent bool) int {
	if idempotent {
		return len(q.queued)
	}
	return q.nonIdempotentCount
}

func (q *queue) push(w queuedRequest) {
	q.queued[w.ID] = w.Idempotent
	if w.Idempotent {
		q.idempotent.Push(w)
		return
	}
	q.nonIdempotentCount++
	q.nonIdempotent.Push(w)
}

func (q *queue) remove(id uint64) (found bool) {
	idempotent, found := q.queued[id]
	if found && !idempotent {
		q.nonIdempotentCount--
	}
	delete(q.queued, id)
	return found
}

// head returns the next request without removing it.
func (q *queue) head() (w queuedRequest, ok bool) {
	if w, ok = q.peek(&q.nonIdempotent); ok {
		return w, true
	}
	return q.peek(&q.idempotent)
}

// peek returns the first request of h that was not removed.
func (q *queue) peek(h *heap.Heap[queuedRequest]) (w queuedRequest, ok bool) {
	for h.Len() > 0 {
		w = h.Min()
		if _, ok = q.queued[w.ID]; ok {
			return w, true
		}
		h.Pop()
	}
	return queuedRequest{}, false
}

// popLate removes and returns a request that is due before limit.
func (q *queue) popLate(limit time.Duration) (w queuedRequest, ok bool) {
	for _, h := range []*heap.Heap[queuedRequest]{&q.nonIdempotent, &q.idempotent} {
		if w, ok = q.peek(h); ok && w.due < limit {
			q.remove(w.ID)
			return w, true
		}
	}
	return queuedRequest{}, false
}
