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

// queue holds waiting requests by deadline. A request that is taken back stays
// in the heap and is passed over when it comes up.
type queue struct {
	heap heap.Heap[waiting]
	live map[uint64]struct{}
}

func (q *queue) len() int { return len(q.live) }

func (q *queue) push(w waiting) {
	q.heap.Push(w)
	q.live[w.ID] = struct{}{}
}

func (q *queue) remove(id uint64) (found bool) {
	_, found = q.live[id]
	delete(q.live, id)
	return found
}

func (q *queue) head() (w waiting, ok bool) {
	for q.heap.Len() > 0 {
		w = q.heap.Head()
		if _, ok = q.live[w.ID]; ok {
			return w, true
		}
		q.heap.Pop()
	}
	return waiting{}, false
}

func (q *queue) pop() {
	w := q.heap.Pop()
	delete(q.live, w.ID)
}
