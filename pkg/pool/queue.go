package pool

import (
	"time"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

type waiting struct {
	Arrival
	due time.Duration // deadline on the pool's clock
}

// Before orders by deadline, then by arrival.
func (w waiting) Before(o waiting) bool {
	if w.due != o.due {
		return w.due < o.due
	}
	return w.ID < o.ID
}

// queue holds waiting requests, those that are not idempotent before the rest,
// each by deadline. A request that is taken back stays in its heap and is
// passed over when it comes up.
type queue struct {
	first  heap.Heap[waiting] // not idempotent
	rest   heap.Heap[waiting]
	live   map[uint64]bool // whether it is idempotent
	firsts int
}

func (q *queue) len() int { return len(q.live) }

// ahead returns how many requests would go before a new one, if all came by
// the same deadline.
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

// head returns the next request.
func (q *queue) head() (w waiting, ok bool) {
	if w, ok = q.top(&q.first); ok {
		return w, true
	}
	return q.top(&q.rest)
}

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

// late takes out a request that is due before then.
func (q *queue) late(then time.Duration) (w waiting, ok bool) {
	for _, h := range []*heap.Heap[waiting]{&q.first, &q.rest} {
		if w, ok = q.top(h); ok && w.due < then {
			q.remove(w.ID)
			return w, true
		}
	}
	return waiting{}, false
}
