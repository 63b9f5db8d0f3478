package roster

import "time"

// Times of an outage of the store.
const (
	// OutageAge is how old what is known gets in an outage that matters. Records
	// lapse after three heartbeats of 1.5 s, so 3 s into an outage at the soonest,
	// and what is known is at most 0.8 s old when one begins.
	OutageAge = 2 * time.Second
	// ReturnTime is how long after the store's return the records that lapsed
	// meanwhile are awaited: their owners write them again within about 2 s.
	ReturnTime = 2200 * time.Millisecond
)

// Lapses keeps objects that vanished around an outage of the store. Records
// that aren't renewed lapse, and during an outage none can be: on its return
// the list may lack objects that are well. Taken at its word, it would leave
// nothing to send requests to.
type Lapses[T any] struct {
	items    map[string]Item[T]
	returned time.Time
}

// NewLapses returns an empty keeper.
func NewLapses[T any]() *Lapses[T] {
	return &Lapses[T]{items: make(map[string]Item[T])}
}

// Heard takes that the store answered after what was known had become so old,
// and tells whether it counts as having been away.
func (l *Lapses[T]) Heard(now time.Time, age time.Duration) (away bool) {
	if age < OutageAge {
		return false
	}
	l.returned = now
	return true
}

// Removed takes an object that vanished, and tells whether it is kept.
func (l *Lapses[T]) Removed(now time.Time, it Item[T]) (kept bool) {
	if !l.open(now) {
		return false
	}
	l.items[it.Name] = it
	return true
}

func (l *Lapses[T]) open(now time.Time) bool {
	return !l.returned.IsZero() && now.Sub(l.returned) < ReturnTime
}

// Awaiting reports whether objects that vanished are still awaited.
func (l *Lapses[T]) Awaiting(now time.Time) bool {
	return len(l.items) > 0 && l.open(now)
}

// Kept returns the vanished objects that are still awaited.
func (l *Lapses[T]) Kept(now time.Time) map[string]Item[T] {
	if !l.open(now) {
		clear(l.items)
	}
	return l.items
}
