package ratelimit

import (
	"slices"
	"time"
)

// waitQueue holds the requests on time, or the late ones, of an account at one entry.
type waitQueue struct {
	ids          []uint64  // of requests that wait for a token, the first one first
	refused      int       // by the entry itself, not reported yet
	refusedUntil time.Time // requests are refused without asking
}

func (q *waitQueue) add(id uint64) { q.ids = append(q.ids, id) }

// remove removes a request if it is in the queue.
func (q *waitQueue) remove(id uint64) {
	if n := slices.Index(q.ids, id); n >= 0 {
		q.ids = slices.Delete(q.ids, n, n+1)
	}
}

// queue returns the queue of late requests or of those on time.
func (a *clientAccount) queue(late bool) *waitQueue {
	if late {
		return &a.late
	}
	return &a.onTime
}

// waitingCount returns the number of requests that wait for a token.
func (a *clientAccount) waitingCount() int { return len(a.onTime.ids) + len(a.late.ids) }
