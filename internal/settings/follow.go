package settings

import (
	"context"
	"time"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// followStore receives the document from the store, by watch and poll.
func (s *Settings) followStore(ctx context.Context) error {
	return s.cfg.Store.Follow(ctx, store.Follow{
		Kind:     Kind,
		Name:     Name,
		Poll:     s.cfg.Poll,
		OnChange: func(o store.Object) { s.handleStored(ctx, o) },
	})
}

// handleStored merges the document that the store holds. An invalid document is
// logged and not overwritten: the current document stays in force, and the value
// may have been written by a later version of the program.
func (s *Settings) handleStored(ctx context.Context, o store.Object) {
	d, err := decodeStored(o)
	if err != nil {
		s.cfg.Log.WithError(err).WithField("version", o.Version).Error("settings: invalid document in the store, keeping the current one")
		return
	}
	_, _ = s.submit(ctx, d, true)
}

// decodeStored decodes a stored document. A missing object is the empty document.
func decodeStored(o store.Object) (tree.Document, error) {
	if o.Version == 0 {
		return tree.New(), nil
	}
	return tree.Decode(o.Value)
}

// Bounds of the delay between requests to peers until the first document is in
// force. The delay doubles, because a new site may have no document for a long time.
const (
	minBootstrapDelay = 500 * time.Millisecond
	maxBootstrapDelay = 4 * time.Second
)

// bootstrap requests the document from peers until one is in force, so that an entry
// that starts during a store outage gets its settings.
func (s *Settings) bootstrap(ctx context.Context) error {
	for delay := minBootstrapDelay; s.Document().Revision == 0; delay = min(2*delay, maxBootstrapDelay) {
		if c, err := s.cfg.Peers.Settings(ctx, 0); err == nil {
			if err := s.ApplyChange(ctx, c); err != nil {
				s.cfg.Log.WithError(err).Warn("settings: rejected the settings received from a peer")
			}
		}
		if s.Document().Revision > 0 {
			break
		}
		if err := s.cfg.Wait(ctx, s.jitter(delay)); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}
