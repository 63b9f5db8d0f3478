package tree

import (
	"maps"
	"slices"
	"time"
)

// Limits of the log of edits in a document. The log serves to recognize a resent
// edit whose response was lost, to detect conflicts, and to send a peer only the
// edits that it lacks instead of the whole document.
const (
	maxLogEdits   = 128
	maxLogChanges = 2048 // total of all edits in the log; the latest edit is kept even if it exceeds this
)

// Apply returns the document with an edit applied, and the edit as accepted at
// time now. If the log already holds an edit with the same ID, Apply returns d
// and the logged edit. An error is of type *Conflict, *StaleBase, *FutureBase,
// *ReusedID, *DroppedEdit or Problems.
func (d Document) Apply(e Edit, now time.Time) (Document, Edit, error) {
	if logged, ok := d.FindEdit(e.ID); ok {
		return d, logged, checkResend(logged, e)
	}
	e, err := canonicalizeEdit(e)
	if err != nil {
		return d, Edit{}, err
	}
	if err := d.checkConflict(e); err != nil {
		return d, Edit{}, err
	}
	e.Time = now.UTC().Truncate(time.Millisecond)
	e.Revision = d.Revision + 1
	next, err := d.applyAccepted(e)
	if err != nil {
		return d, Edit{}, err
	}
	return next, e, nil
}

// FindEdit returns the edit with an ID, if the log still holds it.
func (d Document) FindEdit(id string) (Edit, bool) {
	for _, e := range d.Edits {
		if e.ID == id {
			return e, true
		}
	}
	return Edit{}, false
}

// checkResend returns an error unless e is a resend of the logged edit with the
// same ID. A logged edit without changes was dropped by MergeDiverged.
func checkResend(logged, e Edit) error {
	if len(logged.Changes) == 0 {
		return &DroppedEdit{Edit: logged}
	}
	if resent, err := canonicalizeEdit(e); err == nil && slices.Equal(resent.Changes, logged.Changes) {
		return nil
	}
	return &ReusedID{Edit: logged}
}

// canonicalizeEdit validates an edit and converts its values to canonical text.
func canonicalizeEdit(e Edit) (Edit, error) {
	var found Problems
	if e.ID == "" {
		found = append(found, Problem{Field: "edit id", Found: "nothing", Expected: "an id"})
	}
	if len(e.Changes) == 0 {
		found = append(found, Problem{Field: "edit changes", Found: "none", Expected: "at least one"})
	}
	e.Changes = slices.Clone(e.Changes)
	for i, c := range e.Changes {
		canonical, p := c.canonicalize()
		if p != nil {
			p.Path = c.Path
			found = append(found, *p)
			continue
		}
		e.Changes[i] = canonical
	}
	if len(found) > 0 {
		return e, found
	}
	return e, nil
}

// canonicalize validates the operation and field of a change and converts its
// value to canonical text.
func (c Change) canonicalize() (Change, *Problem) {
	switch c.Op {
	case Set, Unset:
	case Create, Remove, Move:
		return c, nil
	default:
		return c, &Problem{Field: "op", Found: quote(string(c.Op)), Expected: "set, unset, create, remove or move"}
	}
	f, ok := Lookup(c.Field)
	if !ok {
		return c, unknownFieldProblem(c.Field)
	}
	if c.Op == Unset {
		return c, nil
	}
	value, p := f.Canonicalize(c.Value)
	c.Value = value
	return c, p
}

// applyAccepted applies the changes of an accepted edit, checks the result and
// appends the edit to the log.
func (d Document) applyAccepted(e Edit) (Document, error) {
	next := Document{Revision: e.Revision, Nodes: maps.Clone(d.Nodes)}
	var found Problems
	for _, c := range e.Changes {
		if p := next.applyChange(c); p != nil {
			p.Path = c.Path
			found = append(found, *p)
		}
	}
	if len(found) > 0 {
		return d, found
	}
	if found = next.Check(); len(found) > 0 {
		return d, found
	}
	next.Edits = trimLog(append(slices.Clone(d.Edits), e))
	return next, nil
}

// trimLog returns the latest edits that fit within maxLogEdits and
// maxLogChanges.
func trimLog(log []Edit) []Edit {
	changes, edits := 0, 0
	for i := len(log) - 1; i >= 0; i-- {
		changes += len(log[i].Changes)
		if edits > 0 && (edits == maxLogEdits || changes > maxLogChanges) {
			break
		}
		edits++
	}
	return log[len(log)-edits:]
}

// applyChange applies a change to the nodes of d in place. No other document may
// share the map d.Nodes. The Values of a node may be shared, because they are cloned
// before they are changed.
func (d Document) applyChange(c Change) *Problem {
	c, p := c.canonicalize()
	if p != nil {
		return p
	}
	n, ok := d.Nodes[c.Path]
	if c.Op == Create {
		if ok {
			return &Problem{Found: "an existing " + string(n.Kind), Expected: "a path that is free"}
		}
		d.Nodes[c.Path] = Node{Kind: c.Kind, Parent: c.Parent}
		return nil
	}
	if !ok {
		return &Problem{Found: "no such node", Expected: "a node of the tree", Hint: closestName(c.Path, d.paths())}
	}
	switch c.Op {
	case Remove:
		delete(d.Nodes, c.Path)
		return nil
	case Move:
		n.Parent = c.Parent
	case Set:
		n.Values = maps.Clone(n.Values)
		if n.Values == nil {
			n.Values = map[string]string{}
		}
		n.Values[c.Field] = c.Value
	case Unset:
		n.Values = maps.Clone(n.Values)
		delete(n.Values, c.Field)
	}
	d.Nodes[c.Path] = n
	return nil
}
