package settings

import (
	"context"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/tree"
)

// Change contains the edits that a peer lacks, or the whole document if the
// sender's log doesn't reach back to the peer's revision. It contains neither if
// the peer is up to date.
type Change struct {
	Revision uint64   // in force at the sender
	Document []byte   // encoded by tree.Encode
	Edits    [][]byte // each encoded by tree.EncodeEdit, oldest first
}

// Since returns the changes after a revision. For revision 0 it returns the whole
// document.
func (s *Settings) Since(revision uint64) Change {
	d := s.Document()
	c := Change{Revision: d.Revision}
	if revision >= d.Revision {
		return c
	}
	edits, ok := d.EditsFrom(revision)
	if !ok {
		c.Document = tree.Encode(*d)
		return c
	}
	for _, e := range edits {
		c.Edits = append(c.Edits, tree.EncodeEdit(e))
	}
	return c
}

// ApplyChange merges a change received from a peer. It returns
// tree.ErrHistoryMismatch if the edits don't continue the document in force; the
// caller then has to request the changes since revision 0.
func (s *Settings) ApplyChange(ctx context.Context, c Change) (err error) {
	defer func() { err = errors.WithMessagef(err, "settings of a peer, revision %d", c.Revision) }()
	if len(c.Document) > 0 {
		d, err := tree.Decode(c.Document)
		if err != nil {
			return err
		}
		_, err = s.submit(ctx, d, false)
		return err
	}
	m := editsMessage{done: make(chan error, 1)}
	for _, b := range c.Edits {
		e, err := tree.DecodeEdit(b)
		if err != nil {
			return err
		}
		m.edits = append(m.edits, e)
	}
	if err := s.enqueue(ctx, m); err != nil {
		return err
	}
	select {
	case err = <-m.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
