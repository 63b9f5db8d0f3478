package settings

import (
	"context"

	"plumpitch.example/plumpitch/pkg/tree"
)

// message is a message to the goroutine that owns the document. All message types
// are defined in this file.
type message interface {
	apply(s *Settings)
}

// processInbox applies messages to the document until ctx is done. The document is
// kept when a supervisor restarts the worker.
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

// documentMessage is a decoded document from the store or a peer. The merge verdict
// is sent to done.
type arrival struct {
	document tree.Document
	stored   bool // the document was read from the store or written to it
	done     chan tree.Verdict
}

func (m arrival) apply(s *Settings) {
	verdict := s.take(m.document)
	if verdict == tree.Diverged || m.stored && verdict == tree.Older {
		notify(s.healing)
	}
	m.done <- verdict
}

// merge brings a document into force if it is newer than the current one.
func (s *Settings) take(d tree.Document) tree.Verdict {
	next, verdict := tree.Merge(*s.Document(), d)
	switch verdict {
	case tree.Taken:
		s.force.Store(&next)
		notify(s.changed)
	case tree.Diverged:
		s.cfg.Log.WithField("force", s.Document().Revision).WithField("found", d.Revision).
			Error("settings: histories diverged, each has an accepted edit that the other lacks")
	}
	return verdict
}

// submit sends a document to the goroutine that owns the current one, and waits for
// the merge verdict.
func (s *Settings) arrive(ctx context.Context, d tree.Document, fromStore bool) (tree.Verdict, error) {
	m := arrival{document: d, stored: fromStore, done: make(chan tree.Verdict, 1)}
	if err := s.tell(ctx, m); err != nil {
		return tree.Same, err
	}
	select {
	case v := <-m.done:
		return v, nil
	case <-ctx.Done():
		return tree.Same, ctx.Err()
	}
}

// editsMessage contains edits that a peer sent. The error is sent to done.
type replayed struct {
	edits []tree.Edit
	done  chan error
}

func (m replayed) apply(s *Settings) {
	next, err := s.Document().Replay(m.edits)
	if err == nil && next.Revision > s.Document().Revision {
		s.force.Store(&next)
		notify(s.changed)
	}
	m.done <- err
}
