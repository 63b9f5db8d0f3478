package tree

import "fmt"

// Conflict is the error for an edit that depends on a value or node which another
// edit has changed since the base revision.
type Conflict struct {
	Rejected       Edit
	RejectedChange Change // the conflicting change of Rejected
	Accepted       Edit   // the edit accepted since the base revision
	AcceptedChange Change // the conflicting change of Accepted
}

// Error describes both edits and their conflicting changes.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: your edit %s of revision %d would %s; edit %s by %s, revision %d, did %s",
		c.Rejected.ID, c.Rejected.Base, c.RejectedChange, c.Accepted.ID, c.Accepted.Author, c.Accepted.Revision, c.AcceptedChange)
}

// StaleBase is the error for an edit whose base revision is older than the log, so
// that conflicts cannot be detected.
type StaleBase struct {
	Base   uint64
	Oldest uint64 // oldest base revision for which conflicts can be detected
}

// Error returns a message with both revisions.
func (s *StaleBase) Error() string {
	return fmt.Sprintf("conflict: found base revision %d, expected %d or newer; read the settings again", s.Base, s.Oldest)
}

// FutureBase is the error for an edit whose base revision is newer than the
// document.
type FutureBase struct {
	Base     uint64
	Revision uint64 // of the document
}

// Error returns a message with both revisions.
func (f *FutureBase) Error() string {
	return fmt.Sprintf("found base revision %d, expected %d or older", f.Base, f.Revision)
}

// ReusedID is the error for an edit whose ID belongs to a different accepted edit.
type ReusedID struct {
	Edit Edit
}

// Error returns a message with the accepted edit.
func (r *ReusedID) Error() string {
	return fmt.Sprintf("conflict: edit id %s was used by another edit, revision %d", r.Edit.ID, r.Edit.Revision)
}

// DroppedEdit is the error for a resent edit that was accepted but later dropped
// because of a conflict between diverged histories; see MergeDiverged.
type DroppedEdit struct {
	Edit Edit
}

// Error returns a message with the dropped edit.
func (d *DroppedEdit) Error() string {
	return fmt.Sprintf("conflict: edit %s lost against another edit when the store came back older, revision %d",
		d.Edit.ID, d.Edit.Revision)
}

// String describes the change in the imperative.
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

// checkConflict returns an error if an edit accepted after e.Base changed what e
// changes or inherits. Without this check, the later of two operators would
// overwrite a value that they never saw, and the earlier would believe that their
// value is in effect.
func (d Document) checkConflict(e Edit) error {
	if e.Base > d.Revision {
		return &FutureBase{Base: e.Base, Revision: d.Revision}
	}
	if oldest := d.oldestBase(); e.Base < oldest {
		return &StaleBase{Base: e.Base, Oldest: oldest}
	}
	for _, accepted := range d.Edits {
		if accepted.Revision <= e.Base {
			continue
		}
		for _, change := range e.Changes {
			for _, acceptedChange := range accepted.Changes {
				if d.conflicts(change, acceptedChange) {
					return &Conflict{Rejected: e, RejectedChange: change, Accepted: accepted, AcceptedChange: acceptedChange}
				}
			}
		}
	}
	return nil
}

// oldestBase returns the oldest revision after which the log holds every edit.
func (d Document) oldestBase() uint64 {
	if len(d.Edits) == 0 {
		return d.Revision
	}
	return d.Edits[0].Revision - 1
}

// conflicts reports whether an accepted change alters a node or value that change
// alters or inherits, or relies on a node or value that change alters.
func (d Document) conflicts(change, accepted Change) bool {
	switch {
	case change.Path == accepted.Path && (structural(change) || structural(accepted)):
		return true
	case change.Path == accepted.Path:
		return change.Field == accepted.Field && change != accepted
	case structural(accepted) && change.Parent == accepted.Path:
		return true
	case !structural(change) && !structural(accepted) && change.Field != accepted.Field:
		return false
	case d.inherits(change.Path, accepted.Path):
		return structural(accepted) || !structural(change) && !d.overridden(change, accepted.Path)
	case d.inherits(accepted.Path, change.Path):
		return structural(change) || accepted.Op == Unset
	}
	return false
}

// overridden reports whether a node below ancestor overrides the field of change,
// so that a change of the field at ancestor does not reach the changed node. The
// value that an Unset removes does not count.
func (d Document) overridden(change Change, ancestor string) bool {
	chain, _ := d.chainToRoot(change.Path)
	for _, path := range chain {
		if path == ancestor {
			return false
		}
		if _, ok := d.Nodes[path].Values[change.Field]; ok && (path != change.Path || change.Op != Unset) {
			return true
		}
	}
	return false
}

// structural reports whether a change creates, removes or moves a node.
func structural(c Change) bool {
	return c.Op != Set && c.Op != Unset
}

// inherits reports whether a node inherits from ancestor. It follows the parents
// of existing nodes and the enclosing paths of nodes that are not in the document,
// because the change creates them or an accepted edit removed them.
func (d Document) inherits(path, ancestor string) bool {
	current := path
	for range len(d.Nodes) + maxDepth {
		if n, ok := d.Nodes[current]; ok {
			current = parentOf(current, n)
		} else {
			current = enclosingPath(current)
		}
		if current == ancestor {
			return path != ancestor
		}
		if current == "" {
			return false
		}
	}
	return false
}
