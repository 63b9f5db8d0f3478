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

// Lapses keeps objects that vanished around an outage of the store or its restore from a
// copy. Records
// that aren't renewed lapse, and during an outage none can be: on its return
// the list may lack objects that are well. Taken at its word, it would leave
// nothing to send requests to.
type Lapses[T any] struct {
	items    map[string]Item[T]
	until    map[string]time.Time // by name, how long each is awaited
	returned time.Time
}

// NewLapses returns an empty keeper.
func NewLapses[T any]() *Lapses[T] {
	return &Lapses[T]{items: make(map[string]Item[T]), until: make(map[string]time.Time)}
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
	if l.returned.IsZero() || now.Sub(l.returned) >= ReturnTime {
		return false
	}
	l.keep(it, l.returned.Add(ReturnTime))
	return true
}

// Lost takes an object that is missing from a copy that the store was restored from. Its
// owner writes it again.
func (l *Lapses[T]) Lost(now time.Time, it Item[T]) { l.keep(it, now.Add(ReturnTime)) }

func (l *Lapses[T]) keep(it Item[T], until time.Time) {
	l.items[it.Name] = it
	l.until[it.Name] = until
}

// Awaiting reports whether objects that vanished are still awaited.
func (l *Lapses[T]) Awaiting(now time.Time) bool { return len(l.Kept(now)) > 0 }

// Kept returns the vanished objects that are still awaited.
func (l *Lapses[T]) Kept(now time.Time) map[string]Item[T] {
	for name, until := range l.until {
		if !now.Before(until) {
			delete(l.items, name)
			delete(l.until, name)
		}
	}
	return l.items
}
