package settings

import (
	"context"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/tree"
)

// Change is what a peer lacks: edits when the sender's log reaches back, else
// the whole document. It is empty when the peer lacks nothing.
type Change struct {
	Revision uint64   // in force at the sender
	Document []byte   // as tree.Encode wrote it
	Edits    [][]byte // as tree.EncodeEdit wrote them, oldest first
}

// Since returns what an entry with a revision lacks. Revision 0 gets the whole
// document.
func (s *Settings) Since(revision uint64) Change {
	d := s.Document()
	c := Change{Revision: d.Revision}
	if revision >= d.Revision {
		return c
	}
	edits, ok := d.Since(revision)
	if !ok {
		c.Document = tree.Encode(*d)
		return c
	}
	for _, e := range edits {
		c.Edits = append(c.Edits, tree.EncodeEdit(e))
	}
	return c
}

// Offer takes what a peer sent. tree.ErrGap means that the edits don't follow
// on the document in force: ask again since 0.
func (s *Settings) Offer(ctx context.Context, c Change) (err error) {
	defer func() { err = errors.WithMessagef(err, "settings of a peer, revision %d", c.Revision) }()
	if len(c.Document) > 0 {
		d, err := tree.Decode(c.Document)
		if err != nil {
			return err
		}
		_, err = s.arrive(ctx, d, false)
		return err
	}
	r := replayed{done: make(chan error, 1)}
	for _, b := range c.Edits {
		e, err := tree.DecodeEdit(b)
		if err != nil {
			return err
		}
		r.edits = append(r.edits, e)
	}
	if err := s.tell(ctx, r); err != nil {
		return err
	}
	select {
	case err = <-r.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
