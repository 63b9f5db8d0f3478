package settings

import (
	"context"

	"plumpitch.example/plumpitch/pkg/tree"
)

// message is something that the owner of the document has to know. The set is
// closed.
type message interface {
	apply(s *Settings)
}

// own runs the owner of the document. Its state outlives a restart.
func (s *Settings) own(ctx context.Context) error {
	for {
		select {
		case m := <-s.inbox:
			m.apply(s)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Settings) tell(ctx context.Context, m message) error {
	select {
	case s.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// arrival is a checked document from the store or a peer. The verdict goes to
// done.
type arrival struct {
	document tree.Document
	stored   bool // it is what the store holds
	done     chan tree.Verdict
}

func (a arrival) apply(s *Settings) {
	verdict := s.take(a.document)
	if verdict == tree.Diverged || a.stored && verdict == tree.Older {
		notify(s.healing)
	}
	a.done <- verdict
}

// take brings a document into force when it is newer.
func (s *Settings) take(d tree.Document) tree.Verdict {
	next, verdict := tree.Merge(*s.Document(), d)
	switch verdict {
	case tree.Taken:
		s.force.Store(&next)
		notify(s.changed)
	case tree.Diverged:
		s.cfg.Log.WithField("force", s.Document().Revision).WithField("found", d.Revision).
			Error("settings: two histories, each with an accepted edit that the other lacks")
	}
	return verdict
}

// arrive hands a document to the owner and waits for its verdict.
func (s *Settings) arrive(ctx context.Context, d tree.Document, stored bool) (tree.Verdict, error) {
	a := arrival{document: d, stored: stored, done: make(chan tree.Verdict, 1)}
	if err := s.tell(ctx, a); err != nil {
		return tree.Same, err
	}
	select {
	case v := <-a.done:
		return v, nil
	case <-ctx.Done():
		return tree.Same, ctx.Err()
	}
}

// replayed are edits that a peer sent. The error goes to done.
type replayed struct {
	edits []tree.Edit
	done  chan error
}

func (r replayed) apply(s *Settings) {
	next, err := s.Document().Replay(r.edits)
	if err == nil && next.Revision > s.Document().Revision {
		s.force.Store(&next)
		notify(s.changed)
	}
	r.done <- err
}
