package tree

import (
	"bytes"

	"github.com/pkg/errors"
)

// MergeResult is the outcome of Merge.
type MergeResult int

// Outcomes of Merge.
const (
	Same        MergeResult = iota // the incoming document has the same revision and nothing new
	FastForward                    // the incoming document is newer and contains every edit of the current one
	Older                          // the incoming document is older and the current one contains all its edits
	Diverged                       // each document has an edit that the other lacks; see MergeDiverged
)

// Merge chooses between the current document and a valid one received from the
// store or a peer. The returned document is never older than the current one.
//
// This matters when the store is restored from a backup and returns older data:
// entries would otherwise revert to settings that an operator has replaced.
func Merge(current, incoming Document) (Document, MergeResult) {
	if current.Revision == 0 {
		return mergeLinear(current, incoming)
	}
	switch {
	case len(MissingEdits(incoming, current)) > 0 && incoming.Revision >= current.Revision:
		return current, Diverged
	case len(MissingEdits(current, incoming)) > 0 && incoming.Revision <= current.Revision:
		return current, Diverged
	case incoming.Revision == current.Revision && !bytes.Equal(Encode(incoming), Encode(current)):
		return current, Diverged
	}
	return mergeLinear(current, incoming)
}

// mergeLinear chooses between documents of the same history by revision.
func mergeLinear(current, incoming Document) (Document, MergeResult) {
	switch {
	case incoming.Revision > current.Revision:
		return incoming, FastForward
	case incoming.Revision < current.Revision:
		return current, Older
	}
	return current, Same
}

// MissingEdits returns the edits of other that d lacks. Edits older than the log of
// d are ignored.
func MissingEdits(d, other Document) []Edit {
	var missing []Edit
	for _, e := range other.Edits {
		if e.Revision <= d.oldestBase() {
			continue
		}
		if _, ok := d.FindEdit(e.ID); !ok {
			missing = append(missing, e)
		}
	}
	return missing
}

// MergeDiverged merges two diverged histories: it appends the edits of other that
// d lacks to d. Histories diverge when the store loses its latest writes and then
// accepts an edit from an entry that has not received them. An edit that conflicts
// with one of d is logged without its changes and returned in dropped.
func MergeDiverged(d, other Document) (merged Document, dropped []Edit) {
	merged = d
	missing := MissingEdits(d, other)
	for _, e := range missing {
		e.Revision = merged.Revision + 1
		next, err := merged.applyMissing(e, other)
		if err != nil {
			dropped = append(dropped, e)
			e.Changes = nil
			next, err = merged.applyAccepted(e)
		}
		if err != nil {
			return merged, dropped
		}
		merged = next
	}
	return merged, dropped
}

// applyMissing applies an edit of other to d, unless it conflicts with an edit of
// d that other lacks.
func (d Document) applyMissing(e Edit, other Document) (Document, error) {
	for _, accepted := range d.Edits {
		if _, ok := other.FindEdit(accepted.ID); ok || accepted.Revision <= other.oldestBase() {
			continue
		}
		for _, change := range e.Changes {
			for _, acceptedChange := range accepted.Changes {
				if d.conflicts(change, acceptedChange) {
					return d, &Conflict{Rejected: e, RejectedChange: change, Accepted: accepted, AcceptedChange: acceptedChange}
				}
			}
		}
	}
	return d.applyAccepted(e)
}

// ErrHistoryMismatch means that edits do not continue the history of a document.
var ErrHistoryMismatch = errors.New("edits do not continue the history of the document")

// EditsFrom returns the edits from the given revision on, including the edit that
// created it, and reports whether the log reaches back that far.
//
// The first edit lets the receiver verify that its own history is the same.
// Without it, diverged histories would mix unnoticed and entries would use
// settings that nobody accepted.
func (d Document) EditsFrom(revision uint64) (edits []Edit, ok bool) {
	if revision <= d.oldestBase() || revision > d.Revision {
		return nil, false
	}
	for _, e := range d.Edits {
		if e.Revision >= revision {
			edits = append(edits, e)
		}
	}
	return edits, true
}

// Replay applies edits that were accepted at another entry and skips those that d
// already contains. The first edit must be one that d contains; see EditsFrom.
// Replaying the same edits yields the same document at every entry.
func (d Document) Replay(edits []Edit) (next Document, err error) {
	defer func() { err = errors.WithMessage(err, "replay") }()
	next = d
	if len(edits) > 0 && edits[0].Revision > d.Revision {
		return d, ErrHistoryMismatch
	}
	for _, e := range edits {
		if e.Revision <= next.Revision {
			if logged, ok := next.FindEdit(e.ID); !ok || logged.Revision != e.Revision {
				return d, ErrHistoryMismatch
			}
			continue
		}
		if e.Revision != next.Revision+1 {
			return d, ErrHistoryMismatch
		}
		if next, err = next.applyAccepted(e); err != nil {
			return d, err
		}
	}
	return next, nil
}
