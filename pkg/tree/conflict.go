package tree

import "fmt"

// Conflict says that what an edit touches was changed since its base revision.
type Conflict struct {
	Mine   Edit
	Change Change // of Mine
	Theirs Edit   // accepted since
	Their  Change // of Theirs
}

// Error shows both edits.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: your edit %s of revision %d would %s; edit %s by %s, revision %d, did %s",
		c.Mine.ID, c.Mine.Base, c.Change, c.Theirs.ID, c.Theirs.Author, c.Theirs.Revision, c.Their)
}

// Stale says that the log no longer reaches back to the base of an edit, so
// that conflicts can't be told.
type Stale struct {
	Base   uint64
	Oldest uint64 // oldest base that can be judged
}

// Error names both revisions.
func (s *Stale) Error() string {
	return fmt.Sprintf("conflict: found base revision %d, expected %d or newer; read the settings again", s.Base, s.Oldest)
}

// Ahead says that an edit is based on a revision which this document has not
// reached.
type Ahead struct {
	Base     uint64
	Revision uint64
}

// Error names both revisions.
func (a *Ahead) Error() string {
	return fmt.Sprintf("found base revision %d, expected %d or older", a.Base, a.Revision)
}

// Reused says that another edit was accepted under the same ID.
type Reused struct {
	Edit Edit
}

// Error names the accepted edit.
func (r *Reused) Error() string {
	return fmt.Sprintf("conflict: edit id %s was used by another edit, revision %d", r.Edit.ID, r.Edit.Revision)
}

// Dropped says that an accepted edit lost against another one when two
// histories were joined; see Join.
type Dropped struct {
	Edit Edit
}

// Error names the edit.
func (d *Dropped) Error() string {
	return fmt.Sprintf("conflict: edit %s lost against another edit when the store came back older, revision %d",
		d.Edit.ID, d.Edit.Revision)
}

// String tells the change in words.
func (c Change) String() string {
	switch c.Op {
	case Set:
		return fmt.Sprintf("set %s %s to %s", c.Path, c.Field, c.Value)
	case Unset:
		return fmt.Sprintf("unset %s %s", c.Path, c.Field)
	case Create:
		return fmt.Sprintf("create %s %s", c.Kind, c.Path)
	case Move:
		return fmt.Sprintf("move %s under %s", c.Path, c.Parent)
	}
	return fmt.Sprintf("%s %s", c.Op, c.Path)
}

// clash looks for an edit after e.Base that touched what e touches or what it
// inherits. Without it the later of two operators would overwrite a value that
// they never saw, and the earlier would believe theirs in force.
func (d Document) clash(e Edit) error {
	if e.Base > d.Revision {
		return &Ahead{Base: e.Base, Revision: d.Revision}
	}
	if oldest := d.oldest(); e.Base < oldest {
		return &Stale{Base: e.Base, Oldest: oldest}
	}
	for _, theirs := range d.Edits {
		if theirs.Revision <= e.Base {
			continue
		}
		for _, mine := range e.Changes {
			for _, their := range theirs.Changes {
				if d.touches(mine, their) {
					return &Conflict{Mine: e, Change: mine, Theirs: theirs, Their: their}
				}
			}
		}
	}
	return nil
}

// oldest returns the oldest base whose later edits the log holds in full.
func (d Document) oldest() uint64 {
	if len(d.Edits) == 0 {
		return d.Revision
	}
	return d.Edits[0].Revision - 1
}

// touches tells whether their change alters what mine touches or inherits.
func (d Document) touches(mine, their Change) bool {
	switch {
	case mine.Path == their.Path && (structural(mine) || structural(their)):
		return true
	case mine.Path == their.Path:
		return mine.Field == their.Field && mine != their
	case structural(their) && mine.Parent == their.Path:
		return true
	case !structural(mine) && !structural(their) && mine.Field != their.Field:
		return false
	case d.inherits(mine.Path, their.Path):
		return structural(their) || !structural(mine) && !d.shielded(mine, their.Path)
	case d.inherits(their.Path, mine.Path):
		return structural(mine) || their.Op == Unset
	}
	return false
}

// shielded tells whether a value below from keeps a change there from reaching
// the node that mine touches.
func (d Document) shielded(mine Change, from string) bool {
	chain, _ := d.chain(mine.Path)
	for _, p := range chain {
		if p == from {
			return false
		}
		if _, ok := d.Nodes[p].Values[mine.Field]; ok && (p != mine.Path || mine.Op != Unset) {
			return true
		}
	}
	return false
}

// structural tells whether a change is of a node itself and not of a value.
func structural(c Change) bool {
	return c.Op != Set && c.Op != Unset
}

// inherits tells whether a node lies under another one, by its parents or by
// its path alone when it is new or gone.
func (d Document) inherits(path, from string) bool {
	up := path
	for range len(d.Nodes) + maxDepth {
		if n, ok := d.Nodes[up]; ok {
			up = parentOf(up, n)
		} else {
			up = enclosing(up)
		}
		if up == from {
			return path != from
		}
		if up == "" {
			return false
		}
	}
	return false
}
