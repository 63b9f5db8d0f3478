package roster

import "time"

// Times of an outage of the store.
const (
	// OutageAge is the least age of store data at the store's return for which the gap
	// counts as an outage. Records expire after three heartbeats of 1.5 s, hence 3 s into
	// an outage at the earliest, and store data is at most 0.8 s old when an outage begins.
	OutageAge = 2 * time.Second
	// RetentionTime is how long after the store's return expired records are retained.
	// Their owners write them again within about 2 s.
	RetentionTime = 2200 * time.Millisecond
)

// Vanished holds objects that vanished around an outage of the store, or in its restore
// from a copy. Records that aren't renewed expire, and none can be renewed during an
// outage. The store's list may therefore lack healthy objects when it returns. Without
// the retained ones there might be no target left to send requests to.
type Vanished[T any] struct {
	items    map[string]Item[T]
	until    map[string]time.Time // by name, the end of retention
	returned time.Time            // of the store, after the last outage
}

// NewVanished returns an empty set of vanished objects.
func NewVanished[T any]() *Vanished[T] {
	return &Vanished[T]{items: make(map[string]Item[T]), until: make(map[string]time.Time)}
}

// StoreAnswered records that the store answered. age is the age that the store data had
// by then. It reports whether the answer counts as the end of an outage.
func (v *Vanished[T]) StoreAnswered(now time.Time, age time.Duration) (outage bool) {
	if age < OutageAge {
		return false
	}
	v.returned = now
	return true
}

// RetainRemoved takes an object that vanished and reports whether it is retained.
func (v *Vanished[T]) RetainRemoved(now time.Time, it Item[T]) (retained bool) {
	if v.returned.IsZero() || now.Sub(v.returned) >= RetentionTime {
		return false
	}
	v.retain(it, v.returned.Add(RetentionTime))
	return true
}

// MissingFromCopy retains an object that is missing from the copy that the store was
// restored from. Its owner writes it again.
func (v *Vanished[T]) MissingFromCopy(now time.Time, it Item[T]) {
	v.retain(it, now.Add(RetentionTime))
}

func (v *Vanished[T]) retain(it Item[T], until time.Time) {
	v.items[it.Name] = it
	v.until[it.Name] = until
}

// AnyRetained reports whether any objects are still retained.
func (v *Vanished[T]) AnyRetained(now time.Time) bool { return len(v.Items(now)) > 0 }

// Items returns the objects that are still retained.
func (v *Vanished[T]) Items(now time.Time) map[string]Item[T] {
	for name, until := range v.until {
		if !now.Before(until) {
			delete(v.items, name)
			delete(v.until, name)
		}
	}
	return v.items
}
