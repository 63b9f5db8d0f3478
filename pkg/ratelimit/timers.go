package ratelimit

import (
	"container/heap"
	"time"
)

// timers orders the accounts of a client by the time at which they are due, so that no call
// looks at all accounts.
type timers []*clientAccount

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	a := x.(*clientAccount)
	a.index = len(*t)
	*t = append(*t, a)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	a := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return a
}

// set changes when an account is due.
func (t *timers) set(a *clientAccount, due time.Time) {
	if !due.Equal(a.due) {
		a.due = due
		heap.Fix(t, a.index)
	}
}

// next returns when the first account is due, or the zero time.
func (t timers) next() time.Time {
	if len(t) == 0 {
		return time.Time{}
	}
	return t[0].due
}
