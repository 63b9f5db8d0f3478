package tree

import (
	"maps"
	"slices"
	"time"
)

// Bounds of the log of edits in a document. The log is what lets a lost answer
// be found and a peer be sent edits instead of the whole document.
const (
	maxLog     = 128
	maxChanges = 2048 // of all edits in the log together, but the last is always kept
)

// Apply returns the document that an edit leads to and the edit as accepted at
// time now. An edit whose ID is in the log is not applied again: it returns d
// and the edit as it was accepted before. The error is a *Conflict, *Stale,
// *Ahead, *Reused, *Dropped, or Problems.
func (d Document) Apply(e Edit, now time.Time) (Document, Edit, error) {
	if old, ok := d.Find(e.ID); ok {
		return d, old, sameEdit(old, e)
	}
	e, err := canonical(e)
	if err != nil {
		return d, Edit{}, err
	}
	if err := d.clash(e); err != nil {
		return d, Edit{}, err
	}
	e.Time = now.UTC().Truncate(time.Millisecond)
	e.Revision = d.Revision + 1
	next, err := d.advance(e)
	if err != nil {
		return d, Edit{}, err
	}
	return next, e, nil
}

// Find returns the edit with an ID when the log still holds it.
func (d Document) Find(id string) (Edit, bool) {
	for _, e := range d.Edits {
		if e.ID == id {
			return e, true
		}
	}
	return Edit{}, false
}

// sameEdit tells a resend from another edit under the same ID.
func sameEdit(old, e Edit) error {
	if len(old.Changes) == 0 {
		return &Dropped{Edit: old}
	}
	if c, err := canonical(e); err == nil && slices.Equal(c.Changes, old.Changes) {
		return nil
	}
	return &Reused{Edit: old}
}

// canonical brings the values of an edit into canonical text.
func canonical(e Edit) (Edit, error) {
	var found Problems
	if e.ID == "" {
		found = append(found, Problem{Field: "edit id", Found: "nothing", Expected: "an id"})
	}
	if len(e.Changes) == 0 {
		found = append(found, Problem{Field: "edit changes", Found: "none", Expected: "at least one"})
	}
	e.Changes = slices.Clone(e.Changes)
	for i, c := range e.Changes {
		fixed, p := c.canonical()
		if p != nil {
			p.Path = c.Path
			found = append(found, *p)
			continue
		}
		e.Changes[i] = fixed
	}
	if len(found) > 0 {
		return e, found
	}
	return e, nil
}

func (c Change) canonical() (Change, *Problem) {
	switch c.Op {
	case Set, Unset:
	case Create, Remove, Move:
		return c, nil
	default:
		return c, &Problem{Field: "op", Found: quote(string(c.Op)), Expected: "set, unset, create, remove or move"}
	}
	f, ok := Lookup(c.Field)
	if !ok {
		return c, unknownField(c.Field)
	}
	if c.Op == Unset {
		return c, nil
	}
	value, p := f.Canon(c.Value)
	c.Value = value
	return c, p
}

// advance applies the changes of an accepted edit and logs it.
func (d Document) advance(e Edit) (Document, error) {
	next := Document{Revision: e.Revision, Nodes: maps.Clone(d.Nodes)}
	var found Problems
	for _, c := range e.Changes {
		if p := next.step(c); p != nil {
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
	next.Edits = trim(append(slices.Clone(d.Edits), e))
	return next, nil
}

func trim(log []Edit) []Edit {
	changes, kept := 0, 0
	for i := len(log) - 1; i >= 0; i-- {
		changes += len(log[i].Changes)
		if kept > 0 && (kept == maxLog || changes > maxChanges) {
			break
		}
		kept++
	}
	return log[len(log)-kept:]
}

// step changes the nodes of a document that is not yet shared.
func (d Document) step(c Change) *Problem {
	c, p := c.canonical()
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
		return &Problem{Found: "no such node", Expected: "a node of the tree", Hint: nearest(c.Path, d.paths())}
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
