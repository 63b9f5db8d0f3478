// Package roster keeps lists of objects by the revision at which each was last
// changed, so that word of them may come by several ways, twice and in any
// order. It does no I/O.
package roster

import (
	"maps"
	"slices"
)

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
	told  map[string]Revision // of the last change of each item that matters
	gone  map[string]Revision // deletions, so that late word revives nothing
	at    Revision
	moved Revision // of the last change that matters
	// floor is the newest revision up to which deletions may have been forgotten,
	// or never heard of. What came after it can be told as changes.
	floor Revision
	// base is the revision of the first list of the present epoch. What has an older one
	// may come from the copy that the store was restored from.
	base Revision
	// revived are objects that had ended in an older epoch and are back through the copy.
	revived map[string]Revision
}

// New returns an empty roster. same tells which changes don't matter, such as
// a heartbeat's counter.
func New[T any](same func(a, b T) bool) *Roster[T] {
	return &Roster[T]{
		same: same, items: make(map[string]Item[T]),
		told: make(map[string]Revision), gone: make(map[string]Revision),
		revived: make(map[string]Revision),
	}
}

// At returns the revision up to which the history is known.
func (r *Roster[T]) At() Revision { return r.at }

// Moved returns the revision of the last change that mattered.
func (r *Roster[T]) Moved() Revision { return r.moved }

// Items returns the objects by name. The map is the caller's.
func (r *Roster[T]) Items() map[string]Item[T] { return maps.Clone(r.items) }

// Reached notes that all changes that matter are known up to a revision. One
// keeper may have seen a change of an object only by a later word than another
// one; without this, each would hold the other for newer for ever.
func (r *Roster[T]) Reached(moved Revision) { r.moved = max(r.moved, moved) }

// Revived reports whether an object that was known to have ended is back only since the
// store was restored from a copy: it has not been written since.
func (r *Roster[T]) Revived(name string) bool {
	_, ok := r.revived[name]
	return ok
}

// AnyRevived reports whether there is such an object.
func (r *Roster[T]) AnyRevived() bool { return len(r.revived) > 0 }

// Len returns the number of objects.
func (r *Roster[T]) Len() int { return len(r.items) }

// Since returns the changes that matter and came after revision since. ok is
// false where that reaches back too far, and only the whole list tells.
func (r *Roster[T]) Since(since Revision) (changes []Change[T], ok bool) {
	if since == 0 || since < r.floor {
		return nil, false
	}
	for name, rev := range r.told {
		if rev > since {
			changes = append(changes, Change[T]{Item: r.items[name]})
		}
	}
	for name, rev := range r.gone {
		if rev > since {
			changes = append(changes, Change[T]{Item: Item[T]{Name: name, Revision: rev}, Deleted: true})
		}
	}
	return changes, true
}

// Get returns the object of that name.
func (r *Roster[T]) Get(name string) (it Item[T], ok bool) {
	it, ok = r.items[name]
	return it, ok
}

// Told takes the changes that lead up to revision at from somebody who knows all
// that came before, and tells whether one of them mattered. Where this roster knows
// the history further than that, an object that it doesn't have is gone.
func (r *Roster[T]) Told(changes []Change[T], at Revision) (moved bool) {
	if at >= r.at {
		return r.Apply(changes, at)
	}
	return r.Apply(slices.DeleteFunc(slices.Clone(changes), r.ended), at)
}

// ended reports whether a change is of an object that came to its end since, within
// the history that is known. The end itself may never have been heard of: whoever
// takes a whole list misses what came and went before it. Taken for a new one, a
// removed target got requests until the next whole list, 2.5 s and more after its
// removal, at every entry that was told so.
func (r *Roster[T]) ended(c Change[T]) bool {
	_, known := r.items[c.Name]
	return !known && !c.Deleted && c.Revision <= r.at
}

// Apply takes single changes in any order, with the history known up to revision
// at, and tells whether one of them mattered. Older word than is known of an object
// changes nothing.
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
	_, revived := r.revived[c.Name]
	delete(r.revived, c.Name)
	if c.Deleted {
		delete(r.items, c.Name)
		delete(r.told, c.Name)
		r.gone[c.Name] = c.Revision
		moved = known
	} else {
		if ended := r.gone[c.Name]; ended > 0 && ended.Epoch() < c.Revision.Epoch() && c.Revision <= r.base {
			r.revived[c.Name] = c.Revision
		}
		delete(r.gone, c.Name)
		r.items[c.Name] = c.Item
		moved = !known || revived || !r.same(old.Value, c.Value)
	}
	if !moved {
		return false
	}
	r.moved = max(r.moved, c.Revision)
	if !c.Deleted {
		r.told[c.Name] = c.Revision
	}
	return true
}

// Replace takes the whole list as of revision at, and tells whether anything
// that matters differs. A list older than what is known is no ground to go back: of
// it only the items count that are newer than known. Of what came and went
// before a newer one this roster may not have heard, so that it can't tell the
// changes from before it to others.
func (r *Roster[T]) Replace(list []Item[T], at Revision) (moved bool) {
	changes := make([]Change[T], 0, len(list))
	listed := make(map[string]bool, len(list))
	for _, it := range list {
		listed[it.Name] = true
		changes = append(changes, Change[T]{Item: it})
	}
	restored := r.at > 0 && at.Epoch() > r.at.Epoch()
	if restored {
		r.base = at
		clear(r.revived)
	}
	if at > r.at {
		r.floor = max(r.floor, at)
	}
	if at >= r.at {
		for name, it := range r.items {
			if !listed[name] && it.Revision <= at {
				changes = append(changes, Change[T]{Item: Item[T]{Name: name, Revision: at}, Deleted: true})
			}
		}
	}
	moved = r.Told(changes, at)
	if restored {
		// All others have to hear of the new epoch, whatever differs in it.
		r.moved = max(r.moved, at)
	}
	return moved || restored
}

// keptGone is how many deletions are remembered: as many as a day of a site
// with some hundred objects brings.
const keptGone = 1024

// Forget drops the older half of the deletions once there are too many. Word of
// an object that comes so late would revive it until the next list, which a
// reader asks for whenever it is unsure.
func (r *Roster[T]) Forget() {
	if len(r.gone) <= keptGone {
		return
	}
	revisions := slices.Sorted(maps.Values(r.gone))
	r.floor = revisions[len(revisions)/2]
	maps.DeleteFunc(r.gone, func(_ string, rev Revision) bool { return rev <= r.floor })
}
