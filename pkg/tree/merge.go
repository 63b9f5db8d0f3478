package tree

import (
	"bytes"

	"github.com/pkg/errors"
)

// Verdict is what Merge did with an incoming document.
type Verdict int

// Verdicts of Merge.
const (
	Same     Verdict = iota // nothing new
	Taken                   // newer, and holds every edit of the current one
	Older                   // older, and nothing in it is unknown
	Diverged                // each holds an edit that the other lacks: see Join
)

// Merge returns the document to have in force after a checked one came in from
// the store or a peer. The revision never goes down.
//
// A store restored from a backup returns older data, and without this the
// entries would go back to settings that an operator has replaced.
func Merge(current, incoming Document) (Document, Verdict) {
	if current.Revision == 0 {
		return newer(current, incoming)
	}
	switch {
	case len(Missing(incoming, current)) > 0 && incoming.Revision >= current.Revision:
		return current, Diverged
	case len(Missing(current, incoming)) > 0 && incoming.Revision <= current.Revision:
		return current, Diverged
	case incoming.Revision == current.Revision && !bytes.Equal(Encode(incoming), Encode(current)):
		return current, Diverged
	}
	return newer(current, incoming)
}

func newer(current, incoming Document) (Document, Verdict) {
	switch {
	case incoming.Revision > current.Revision:
		return incoming, Taken
	case incoming.Revision < current.Revision:
		return current, Older
	}
	return current, Same
}

// Missing returns the edits of other that the log of d should hold and doesn't.
func Missing(d, other Document) []Edit {
	var missing []Edit
	for _, e := range other.Edits {
		if e.Revision <= d.oldest() {
			continue
		}
		if _, ok := d.Find(e.ID); !ok {
			missing = append(missing, e)
		}
	}
	return missing
}

// Join brings two histories together that went apart, as happens when the
// store loses its newest writes and takes an edit from an entry that doesn't
// know of them. It adds the edits that a lacks to a. An edit that clashes with
// one of a is kept in the log without its changes and is returned in dropped.
func Join(a, b Document) (joined Document, dropped []Edit) {
	joined = a
	lost := Missing(a, b)
	for _, e := range lost {
		e.Revision = joined.Revision + 1
		next, err := joined.rejoin(e, b)
		if err != nil {
			dropped = append(dropped, e)
			e.Changes = nil
			next, err = joined.advance(e)
		}
		if err != nil {
			return joined, dropped
		}
		joined = next
	}
	return joined, dropped
}

// rejoin applies an edit of b unless it clashes with an edit that b lacks.
func (d Document) rejoin(e Edit, b Document) (Document, error) {
	for _, theirs := range d.Edits {
		if _, ok := b.Find(theirs.ID); ok || theirs.Revision <= b.oldest() {
			continue
		}
		for _, mine := range e.Changes {
			for _, their := range theirs.Changes {
				if d.touches(mine, their) {
					return d, &Conflict{Mine: e, Change: mine, Theirs: theirs, Their: their}
				}
			}
		}
	}
	return d.advance(e)
}

// ErrGap says that edits don't follow on a document.
var ErrGap = errors.New("edits do not follow the revision in force")

// Since returns the edits from the one that led to a revision, that one
// included, and whether the log reaches back so far. The overlap shows the
// receiver that its own history is the same: without it two histories that went
// apart would mix unnoticed, each entry with settings that nobody accepted.
func (d Document) Since(revision uint64) (edits []Edit, ok bool) {
	if revision <= d.oldest() || revision > d.Revision {
		return nil, false
	}
	for _, e := range d.Edits {
		if e.Revision >= revision {
			edits = append(edits, e)
		}
	}
	return edits, true
}

// Replay applies edits which were accepted elsewhere, skipping those that d
// already holds. The first must be one of these: see Since. Each entry that
// replays the same edits gets the same document.
func (d Document) Replay(edits []Edit) (next Document, err error) {
	defer func() { err = errors.WithMessage(err, "replay") }()
	next = d
	if len(edits) > 0 && edits[0].Revision > d.Revision {
		return d, ErrGap
	}
	for _, e := range edits {
		if e.Revision <= next.Revision {
			if old, ok := next.Find(e.ID); !ok || old.Revision != e.Revision {
				return d, ErrGap
			}
			continue
		}
		if e.Revision != next.Revision+1 {
			return d, ErrGap
		}
		if next, err = next.advance(e); err != nil {
			return d, err
		}
	}
	return next, nil
}
