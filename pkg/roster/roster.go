// Package roster keeps lists of objects by the revision at which each was last
// changed, so that word of them may come by several ways, twice and in any
// order. It does no I/O.
package roster

import "maps"

// Revision is a position in the history of the store that all objects share.
type Revision uint64

// Item is an object at a revision.
type Item[T any] struct {
	Name     string
	Revision Revision
	Value    T
}

// Change is one event of the history: a new value, or the end of an object.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// Roster is what is known of the objects of one kind. It has one owner.
type Roster[T any] struct {
	same  func(a, b T) bool
	items map[string]Item[T]
	gone  map[string]Revision // deletions, so that late word revives nothing
	at    Revision
	moved Revision // of the last change that matters
}

// New returns an empty roster. same tells which changes don't matter, such as
// a heartbeat's counter.
func New[T any](same func(a, b T) bool) *Roster[T] {
	return &Roster[T]{same: same, items: make(map[string]Item[T]), gone: make(map[string]Revision)}
}

// At returns the revision up to which the history is known.
func (r *Roster[T]) At() Revision { return r.at }

// Moved returns the revision of the last change that mattered.
func (r *Roster[T]) Moved() Revision { return r.moved }

// Items returns the objects by name. The map is the caller's.
func (r *Roster[T]) Items() map[string]Item[T] { return maps.Clone(r.items) }

// Get returns the object of that name.
func (r *Roster[T]) Get(name string) (it Item[T], ok bool) {
	it, ok = r.items[name]
	return it, ok
}

// Apply takes changes that lead up to revision at, and tells whether one of
// them mattered. Older word than is known of an object changes nothing.
func (r *Roster[T]) Apply(changes []Change[T], at Revision) (moved bool) {
	for _, c := range changes {
		if r.apply(c) {
			moved = true
		}
	}
	r.at = max(r.at, at)
	return moved
}

func (r *Roster[T]) apply(c Change[T]) (moved bool) {
	old, known := r.items[c.Name]
	if known && old.Revision >= c.Revision || r.gone[c.Name] >= c.Revision {
		return false
	}
	if c.Deleted {
		delete(r.items, c.Name)
		r.gone[c.Name] = c.Revision
		moved = known
	} else {
		delete(r.gone, c.Name)
		r.items[c.Name] = c.Item
		moved = !known || !r.same(old.Value, c.Value)
	}
	if moved {
		r.moved = max(r.moved, c.Revision)
	}
	return moved
}

// Replace takes the whole list as of revision at, and tells whether anything
// that matters differs. A list older than what is known is no ground to go back:
// of it only the items that are newer than known count.
func (r *Roster[T]) Replace(list []Item[T], at Revision) (moved bool) {
	changes := make([]Change[T], 0, len(list))
	listed := make(map[string]bool, len(list))
	for _, it := range list {
		listed[it.Name] = true
		changes = append(changes, Change[T]{Item: it})
	}
	if at >= r.at {
		for name, it := range r.items {
			if !listed[name] && it.Revision <= at {
				changes = append(changes, Change[T]{Item: Item[T]{Name: name, Revision: at}, Deleted: true})
			}
		}
	}
	return r.Apply(changes, at)
}

// keptGone bounds the deletions that are remembered.
const keptGone = 4096

// Forget drops deletions older than before once there are many: late word of
// them can't come any more.
func (r *Roster[T]) Forget(before Revision) {
	if len(r.gone) < keptGone {
		return
	}
	maps.DeleteFunc(r.gone, func(_ string, rev Revision) bool { return rev < before })
}
