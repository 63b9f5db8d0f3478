// Package roster keeps lists of objects with the revision at which each was last
// changed. Updates may therefore arrive over several paths, repeatedly and in any
// order. The package does no I/O.
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

// Change is one event of the history: a new value, or the deletion of an object.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// Roster holds the objects of one kind, as received from the store and from other
// entries. It is not safe for concurrent use.
//
// A significant change is a deletion, a new object, or a new value for which same
// returns false. Other changes, such as heartbeats, only raise an object's revision.
type Roster[T any] struct {
	same       func(a, b T) bool
	items      map[string]Item[T]
	changedAt  map[string]Revision // of the last significant change of each item
	deletedAt  map[string]Revision // deletions, so that late updates don't bring objects back
	revision   Revision
	lastChange Revision // of the last significant change
	// floor is the newest revision up to which deletions may be missing, because they
	// were pruned or never received. ChangesSince covers only what came after it.
	floor Revision
	// epochBase is the revision of the first list in the current epoch. Objects with an
	// older revision may come from the copy that the store was restored from.
	epochBase Revision
	// revived are objects that were deleted in an older epoch and that a restore of the
	// store from a copy brought back.
	revived map[string]Revision
}

// New returns an empty roster. same reports whether two values differ only in
// insignificant parts, such as a heartbeat's counter.
func New[T any](same func(a, b T) bool) *Roster[T] {
	return &Roster[T]{
		same: same, items: make(map[string]Item[T]),
		changedAt: make(map[string]Revision), deletedAt: make(map[string]Revision),
		revived: make(map[string]Revision),
	}
}

// Revision returns the revision up to which the history is known.
func (r *Roster[T]) Revision() Revision { return r.revision }

// LastChange returns the revision of the last significant change.
func (r *Roster[T]) LastChange() Revision { return r.lastChange }

// Items returns a copy of the objects by name.
func (r *Roster[T]) Items() map[string]Item[T] { return maps.Clone(r.items) }

// AdvanceLastChange records that all significant changes up to a revision are known.
// Two rosters may record the same change at different revisions, if one of them
// received only a later update of the object. Without this call each would take the
// other to be newer forever.
func (r *Roster[T]) AdvanceLastChange(revision Revision) { r.lastChange = max(r.lastChange, revision) }

// Revived reports whether a deleted object was brought back by a restore of the store
// from a copy and has not been written since.
func (r *Roster[T]) Revived(name string) bool {
	_, ok := r.revived[name]
	return ok
}

// AnyRevived reports whether Revived is true for any object.
func (r *Roster[T]) AnyRevived() bool { return len(r.revived) > 0 }

// Len returns the number of objects.
func (r *Roster[T]) Len() int { return len(r.items) }

// ChangesSince returns the significant changes after revision since. ok is false if the
// history doesn't reach back that far, so that the whole list is needed.
func (r *Roster[T]) ChangesSince(since Revision) (changes []Change[T], ok bool) {
	if since == 0 || since < r.floor {
		return nil, false
	}
	for name, rev := range r.changedAt {
		if rev > since {
			changes = append(changes, Change[T]{Item: r.items[name]})
		}
	}
	for name, rev := range r.deletedAt {
		if rev > since {
			changes = append(changes, Change[T]{Item: Item[T]{Name: name, Revision: rev}, Deleted: true})
		}
	}
	return changes, true
}

// Get returns the object with a name.
func (r *Roster[T]) Get(name string) (it Item[T], ok bool) {
	it, ok = r.items[name]
	return it, ok
}

// Merge merges the changes up to revision at from a sender that knows the whole history
// up to it, and reports whether any was significant. If this roster knows a later part
// of the history, an unknown object in the changes was deleted since and is ignored.
func (r *Roster[T]) Merge(changes []Change[T], at Revision) (changed bool) {
	if at >= r.revision {
		return r.Apply(changes, at)
	}
	return r.Apply(slices.DeleteFunc(slices.Clone(changes), r.endedSince), at)
}

// endedSince reports whether a change is for an object that was deleted since, within
// the known history. The deletion itself may be unknown, since a whole list doesn't
// show the objects that were created and deleted before it. When a removed target was
// merged as a new one, it got requests until the next whole list, 2.5 s or more after
// its removal, at every entry that received the change.
func (r *Roster[T]) endedSince(c Change[T]) bool {
	_, known := r.items[c.Name]
	return !known && !c.Deleted && c.Revision <= r.revision
}

// Apply applies changes in any order, after which the history is known up to revision
// at. It reports whether any change was significant. A change that is older than the
// known state of its object has no effect.
func (r *Roster[T]) Apply(changes []Change[T], at Revision) (changed bool) {
	for _, c := range changes {
		if r.apply(c) {
			changed = true
		}
	}
	r.revision = max(r.revision, at)
	return changed
}

func (r *Roster[T]) apply(c Change[T]) (changed bool) {
	old, known := r.items[c.Name]
	if known && old.Revision >= c.Revision || r.deletedAt[c.Name] >= c.Revision {
		return false
	}
	_, revived := r.revived[c.Name]
	delete(r.revived, c.Name)
	if c.Deleted {
		delete(r.items, c.Name)
		delete(r.changedAt, c.Name)
		r.deletedAt[c.Name] = c.Revision
		changed = known
	} else {
		if deleted := r.deletedAt[c.Name]; deleted > 0 && deleted.Epoch() < c.Revision.Epoch() && c.Revision <= r.epochBase {
			r.revived[c.Name] = c.Revision
		}
		delete(r.deletedAt, c.Name)
		r.items[c.Name] = c.Item
		changed = !known || revived || !r.same(old.Value, c.Value)
	}
	if !changed {
		return false
	}
	r.lastChange = max(r.lastChange, c.Revision)
	if !c.Deleted {
		r.changedAt[c.Name] = c.Revision
	}
	return true
}

// Replace merges the whole list as of revision at and reports whether there was a
// significant change. Of a list that is older than the known history only the items
// that are newer than the known ones are merged. A newer list doesn't show the objects
// that were created and deleted before it, so ChangesSince then covers only what comes
// after the list.
func (r *Roster[T]) Replace(list []Item[T], at Revision) (changed bool) {
	changes := make([]Change[T], 0, len(list))
	listed := make(map[string]bool, len(list))
	for _, it := range list {
		listed[it.Name] = true
		changes = append(changes, Change[T]{Item: it})
	}
	restored := r.revision > 0 && at.Epoch() > r.revision.Epoch()
	if restored {
		r.epochBase = at
		clear(r.revived)
	}
	if at > r.revision {
		r.floor = max(r.floor, at)
	}
	if at >= r.revision {
		for name, it := range r.items {
			if !listed[name] && it.Revision <= at {
				changes = append(changes, Change[T]{Item: Item[T]{Name: name, Revision: at}, Deleted: true})
			}
		}
	}
	changed = r.Merge(changes, at)
	if restored {
		// A new epoch must reach all other entries, even if no object differs.
		r.lastChange = max(r.lastChange, at)
	}
	return changed || restored
}

// maxDeletions is the number of deletions that are remembered. It covers one day of a
// site with some hundred objects.
const maxDeletions = 1024

// PruneDeletions removes the older half of the deletions if there are more than
// maxDeletions. An update that is older than a pruned deletion would bring its object
// back until the next list, which a reader requests whenever it is unsure.
func (r *Roster[T]) PruneDeletions() {
	if len(r.deletedAt) <= maxDeletions {
		return
	}
	revisions := slices.Sorted(maps.Values(r.deletedAt))
	r.floor = revisions[len(revisions)/2]
	maps.DeleteFunc(r.deletedAt, func(_ string, rev Revision) bool { return rev <= r.floor })
}
