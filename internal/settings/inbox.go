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
func (s *Settings) processInbox(ctx context.Context) error {
	for {
		select {
		case m := <-s.inbox:
			m.apply(s)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Settings) enqueue(ctx context.Context, m message) error {
	select {
	case s.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// documentMessage is a decoded document from the store or a peer. The result
// of the merge is sent to done.
type documentMessage struct {
	document  tree.Document
	fromStore bool // the document was read from the store or written to it
	done      chan tree.MergeResult
}

func (m documentMessage) apply(s *Settings) {
	result := s.merge(m.document)
	if result == tree.Diverged || m.fromStore && result == tree.Older {
		notify(s.repairNeeded)
	}
	m.done <- result
}

// merge brings a document into force if it is newer than the current one.
func (s *Settings) merge(d tree.Document) tree.MergeResult {
	next, result := tree.Merge(*s.Document(), d)
	switch result {
	case tree.FastForward:
		s.current.Store(&next)
		notify(s.changed)
	case tree.Diverged:
		s.cfg.Log.WithField("force", s.Document().Revision).WithField("found", d.Revision).
			Error("settings: histories diverged, each has an accepted edit that the other lacks")
	}
	return result
}

// submit sends a document to the goroutine that owns the current one, and waits for
// the result of the merge.
func (s *Settings) submit(ctx context.Context, d tree.Document, fromStore bool) (tree.MergeResult, error) {
	m := documentMessage{document: d, fromStore: fromStore, done: make(chan tree.MergeResult, 1)}
	if err := s.enqueue(ctx, m); err != nil {
		return tree.Same, err
	}
	select {
	case result := <-m.done:
		return result, nil
	case <-ctx.Done():
		return tree.Same, ctx.Err()
	}
}

// editsMessage contains edits that a peer sent. The error is sent to done.
type editsMessage struct {
	edits []tree.Edit
	done  chan error
}

func (m editsMessage) apply(s *Settings) {
	next, err := s.Document().Replay(m.edits)
	if err == nil && next.Revision > s.Document().Revision {
		s.current.Store(&next)
		notify(s.changed)
	}
	m.done <- err
}
