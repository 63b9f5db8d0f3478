package settings

import (
	"context"
	"time"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// follow takes the document from the store, by watch and poll.
func (s *Settings) follow(ctx context.Context) error {
	return s.cfg.Store.Follow(ctx, store.Follow{
		Kind: Kind,
		Name: Name,
		Poll: s.cfg.Poll,
		Took: func(o store.Object) { s.saw(ctx, o) },
	})
}

// saw takes what the store holds. A value that is no valid document is
// reported and left alone: the good one stays in force, and the value may be of
// a later version of the program.
func (s *Settings) saw(ctx context.Context, o store.Object) {
	d, err := decode(o)
	if err != nil {
		s.cfg.Log.WithError(err).WithField("version", o.Version).Error("settings: the store's value is refused")
		return
	}
	_, _ = s.arrive(ctx, d, true)
}

// decode reads a stored document; an object that doesn't exist is the empty one.
func decode(o store.Object) (tree.Document, error) {
	if o.Version == 0 {
		return tree.New(), nil
	}
	return tree.Decode(o.Value)
}

// Bounds of the pause between questions to peers until the first document is
// in force. It doubles, since a new site has none for long.
const (
	firstBoot = 500 * time.Millisecond
	lastBoot  = 4 * time.Second
)

// boot asks peers for the document until one is in force, so that a VM which
// starts during an outage of the store gets its settings.
func (s *Settings) boot(ctx context.Context) error {
	for pause := firstBoot; s.Document().Revision == 0; pause = min(2*pause, lastBoot) {
		if c, err := s.cfg.Peers.Settings(ctx, 0); err == nil {
			if err := s.Offer(ctx, c); err != nil {
				s.cfg.Log.WithError(err).Warn("settings: a peer's document is refused")
			}
		}
		if s.Document().Revision > 0 {
			break
		}
		if err := s.cfg.Wait(ctx, s.between(pause)); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}
