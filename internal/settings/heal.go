package settings

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Bounds of the pause before a heal. It doubles with each failure.
const (
	firstHeal = 2 * time.Second
	lastHeal  = time.Minute
)

// heal writes the newest accepted document back to a store that came back
// older or empty. Otherwise an entry that boots later would take the older one
// from the store and serve by settings that an operator had replaced.
//
// All entries see the same at once. Each waits for a random time, and the write
// is conditional, so the first one does the work and the watch tells the others.
func (s *Settings) heal(ctx context.Context) error {
	for {
		select {
		case <-s.healing:
		case <-ctx.Done():
			return ctx.Err()
		}
		for pause := firstHeal; ; pause = min(2*pause, lastHeal) {
			if err := s.cfg.Wait(ctx, s.between(pause)); err != nil {
				return err
			}
			err := s.rewrite(ctx)
			if err == nil {
				break
			}
			s.cfg.Log.WithError(err).Warn("settings: the store is still older")
		}
	}
}

// rewrite makes the store hold at least what is in force.
func (s *Settings) rewrite(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "heal") }()
	o, d, verdict, err := s.read(ctx)
	if err != nil || verdict != tree.Older && verdict != tree.Diverged {
		return err
	}
	next := *s.Document()
	if verdict == tree.Diverged {
		next = s.join(d, next)
	}
	if _, err = s.cfg.Store.Put(ctx, Kind, Name, o.Version, tree.Encode(next)); err != nil {
		return err
	}
	_, err = s.arrive(ctx, next, true)
	return err
}

// join brings the store's history and the one in force together and reports
// what that cost.
func (s *Settings) join(stored, force tree.Document) tree.Document {
	if stored.Revision < force.Revision {
		stored, force = force, stored
	}
	joined, dropped := tree.Join(stored, force)
	for _, e := range dropped {
		s.cfg.Log.WithField("id", e.ID).WithField("author", e.Author).
			Error("settings: an accepted edit lost against another one; its author must repeat it")
	}
	return joined
}

// readTimeout bounds one reading of the store's document.
const readTimeout = 10 * time.Second

// read gets the store's document and takes it.
func (s *Settings) read(ctx context.Context) (o store.Object, d tree.Document, v tree.Verdict, err error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err = s.cfg.Store.Get(limited, Kind, Name)
	if errors.Is(err, store.ErrNotFound) {
		o, err = store.Object{Kind: Kind, Name: Name}, nil
	}
	if err != nil {
		return o, d, v, err
	}
	if d, err = decode(o); err != nil {
		return o, d, v, &Corrupt{Version: o.Version, Cause: err}
	}
	v, err = s.arrive(ctx, d, true)
	return o, d, v, err
}
