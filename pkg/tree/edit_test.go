package tree_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/tree"
)

var acceptTime = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func set(path, field, value string) tree.Change {
	return tree.Change{Op: tree.Set, Path: path, Field: field, Value: value}
}

func unset(path, field string) tree.Change {
	return tree.Change{Op: tree.Unset, Path: path, Field: field}
}

func create(path string, k tree.Kind) tree.Change {
	return tree.Change{Op: tree.Create, Path: path, Kind: k}
}

func remove(path string) tree.Change {
	return tree.Change{Op: tree.Remove, Path: path}
}

func edit(id string, base uint64, changes ...tree.Change) tree.Edit {
	return tree.Edit{ID: id, Author: "ana", Base: base, Changes: changes}
}

// newSite returns a document of revision 1 with a group of two services, one of
// which overrides slots.
func newSite(q *qt.C) tree.Document {
	return apply(q, tree.New(), edit("first", 0,
		create("/g", tree.GroupKind), create("/g/s", tree.ServiceKind), create("/g/t", tree.ServiceKind),
		set("/g/s", "slots", "4")))
}

// apply applies edits to d in order and fails the test on an error.
func apply(q *qt.C, d tree.Document, edits ...tree.Edit) tree.Document {
	q.Helper()
	for _, e := range edits {
		next, _, err := d.Apply(e, acceptTime)
		q.Assert(err, qt.IsNil)
		d = next
	}
	return d
}

// Two operators edit revision 1, and the first edit is accepted as revision 2. The
// second edit was decided on outdated settings if the first one changed the same
// value, a value that the second one inherits, or a node that now inherits the value
// that the second one sets. It must then be rejected with a Conflict that holds both
// edits. Any other edit is applied to revision 2.
func TestConflict(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    tree.Change
		second   tree.Change
		conflict bool
	}{
		{"same value", set("/g/s", "timeout", "1s"), set("/g/s", "timeout", "3s"), true},
		{"same value, equal", set("/g/s", "timeout", "1s"), set("/g/s", "timeout", "1000ms"), false},
		{"set and unset", set("/g/s", "slots", "8"), unset("/g/s", "slots"), true},
		{"another field", set("/g/s", "slots", "8"), set("/g/s", "timeout", "3s"), false},
		{"another node", set("/g/t", "timeout", "1s"), set("/g/s", "timeout", "3s"), false},
		{"parent, then child", set("/g", "timeout", "1s"), set("/g/s", "timeout", "3s"), true},
		{"root, then child", set("/", "timeout", "1s"), set("/g/s", "timeout", "3s"), true},
		{"parent, then child that overrides", set("/g", "slots", "8"), set("/g/s", "slots", "5"), false},
		{"parent, then child that stops overriding", set("/g", "slots", "8"), unset("/g/s", "slots"), true},
		{"child, then parent", set("/g/s", "timeout", "1s"), set("/g", "timeout", "3s"), false},
		{"child stops overriding, then parent", unset("/g/s", "slots"), set("/g", "slots", "8"), true},
		{"child removed, then set", remove("/g/s"), set("/g/s", "slots", "8"), true},
		{"child removed, then parent", remove("/g/s"), set("/g", "slots", "8"), false},
		{"child set, then removed", set("/g/s", "slots", "8"), remove("/g/s"), true},
		{"created twice", create("/g/u", tree.ServiceKind), create("/g/u", tree.ServiceKind), true},
		{"created next to each other", create("/g/u", tree.ServiceKind), create("/g/v", tree.ServiceKind), false},
		{"moved to another parent, then set", tree.Change{Op: tree.Move, Path: "/g/s", Parent: "/"}, set("/g/s", "timeout", "1s"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			d := apply(q, newSite(q), edit("one", 1, c.first))
			next, _, err := d.Apply(edit("two", 1, c.second), acceptTime)
			if !c.conflict {
				q.Assert(err, qt.IsNil)
				q.Assert(next.Revision, qt.Equals, uint64(3))
				return
			}
			var conflict *tree.Conflict
			q.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
			q.Assert(conflict.Accepted.ID, qt.Equals, "one")
			q.Assert(conflict.Rejected.ID, qt.Equals, "two")
			q.Assert(tree.Encode(next), qt.DeepEquals, tree.Encode(d))
		})
	}
}

// The response to an edit is lost after the write took effect, and the operator
// resends the edit. Without its ID in the log, the edit would be applied twice or
// reported as a conflict with itself.
func TestResend(t *testing.T) {
	q := qt.New(t)
	d := apply(q, newSite(q), edit("one", 1, set("/g/s", "timeout", "1s")), edit("two", 2, set("/g/s", "timeout", "2s")))
	next, accepted, err := d.Apply(edit("one", 1, set("/g/s", "timeout", "1000ms")), acceptTime)
	q.Assert(err, qt.IsNil)
	q.Assert(accepted.Revision, qt.Equals, uint64(2))
	q.Assert(next.Revision, qt.Equals, uint64(3))
	_, _, err = d.Apply(edit("one", 1, set("/g/s", "timeout", "9s")), acceptTime)
	q.Assert(err, qt.ErrorMatches, "conflict: edit id one was used by another edit, revision 2")
}

// A rejected edit names the problem and leaves the document unchanged.
func TestRejectedEdits(t *testing.T) {
	for _, c := range []struct {
		name string
		edit tree.Edit
		want string
	}{
		{"no id", edit("", 1, set("/g", "slots", "1")), `edit id: found nothing, expected an id`},
		{"no changes", edit("x", 1), `edit changes: found none, expected at least one`},
		{"base newer than document", edit("x", 9, set("/g", "slots", "1")), `found base revision 9, expected 1 or older`},
		{"unknown field", edit("x", 1, set("/g", "slot", "1")), `/g slot: found unknown field, .*did you mean slots\?`},
		{"bad value", edit("x", 1, set("/g", "slots", "many")), `/g slots: found "many", expected a count .*`},
		{"no node", edit("x", 1, set("/g/z", "slots", "1")), `/g/z: found no such node, .*did you mean /g/s\?`},
		{"exists", edit("x", 1, create("/g/s", tree.PlaceKind)), `/g/s: found an existing service, expected a path that is free`},
		{"orphans", edit("x", 1, remove("/g")), `/g/s parent: found missing parent /g.*(\n.*)?`},
		{"op", edit("x", 1, tree.Change{Op: "drop", Path: "/g"}), `/g op: found "drop", expected set, unset, .*`},
		{
			"cycle", edit("x", 1, create("/h", tree.GroupKind), tree.Change{Op: tree.Move, Path: "/g", Parent: "/h"},
				tree.Change{Op: tree.Move, Path: "/h", Parent: "/g"}),
			`/g parent: found cycle /g -> /h -> /g, .*(\n.*)?`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			d := newSite(q)
			next, _, err := d.Apply(c.edit, acceptTime)
			q.Assert(err, qt.ErrorMatches, c.want)
			q.Assert(next.Revision, qt.Equals, d.Revision)
		})
	}
}

// The log is limited. An edit whose base revision is older than the log must be
// rejected, and EditsFrom must report that it cannot return all edits.
func TestStaleBase(t *testing.T) {
	q := qt.New(t)
	d := newSite(q)
	for i := range 200 {
		d = apply(q, d, edit(fmt.Sprintf("e%d", i), d.Revision, set("/g", "slots", fmt.Sprint(1+i%9))))
	}
	q.Assert(len(d.Edits) < 200, qt.IsTrue)
	_, _, err := d.Apply(edit("late", 2, set("/", "timeout", "1s")), acceptTime)
	q.Assert(err, qt.ErrorMatches, "conflict: found base revision 2, expected .* or newer; read the settings again")
	_, ok := d.EditsFrom(2)
	q.Assert(ok, qt.IsFalse)
	edits, ok := d.EditsFrom(d.Revision - 3)
	q.Assert(ok, qt.IsTrue)
	q.Assert(edits, qt.HasLen, 4)
}

// Applying the changes that Diff returns must yield the other document.
func TestApplyDiff(t *testing.T) {
	q := qt.New(t)
	d := newSite(q)
	other := apply(q, d, edit("x", 1, create("/g/u", tree.ServiceKind), remove("/g/t"),
		set("/g/u", "slots", "3"), unset("/g/s", "slots"), tree.Change{Op: tree.Move, Path: "/g/s", Parent: "/"}))
	changed := apply(q, d, edit("y", 1, d.Diff(other)...))
	q.Assert(changed.Nodes, qt.DeepEquals, other.Nodes)
	q.Assert(changed.Diff(other), qt.HasLen, 0)
}
