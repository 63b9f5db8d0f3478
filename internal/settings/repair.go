package settings

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Bounds of the delay before a repair of the store. It doubles with each failure.
const (
	minRepairDelay = 2 * time.Second
	maxRepairDelay = time.Minute
)

// repairStore writes the newest accepted document back to a store that was restored
// with older data or lost its data. Otherwise an entry that starts later would load
// the older document and use settings that an operator has replaced.
//
// All entries detect this at the same time. Each waits for a random delay, and the
// write is conditional, so the first entry repairs the store and the others receive
// its write from their watches.
func (s *Settings) repairStore(ctx context.Context) error {
	for {
		select {
		case <-s.repairNeeded:
		case <-ctx.Done():
			return ctx.Err()
		}
		for delay := minRepairDelay; ; delay = min(2*delay, maxRepairDelay) {
			if err := s.cfg.Wait(ctx, s.jitter(delay)); err != nil {
				return err
			}
			err := s.repairOnce(ctx)
			if err == nil {
				break
			}
			s.cfg.Log.WithError(err).Warn("settings: repair of the older document in the store failed, retrying")
		}
	}
}

// repairOnce writes the document in force to the store, unless the store's document
// is the same or newer. It merges the two if their histories diverged.
func (s *Settings) repairOnce(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "heal") }()
	o, d, result, err := s.read(ctx)
	if err != nil || result != tree.Older && result != tree.Diverged {
		return err
	}
	next := *s.Document()
	if result == tree.Diverged {
		next = s.mergeHistories(d, next)
	}
	if _, err = s.cfg.Store.Put(ctx, Kind, Name, o.Version, tree.Encode(next)); err != nil {
		return err
	}
	_, err = s.submit(ctx, next, true)
	return err
}

// mergeHistories merges two diverged histories, that of the store and the one in
// force. It appends to the one with the higher revision, and logs each accepted edit
// that is dropped because of a conflict.
func (s *Settings) mergeHistories(newer, older tree.Document) tree.Document {
	if newer.Revision < older.Revision {
		newer, older = older, newer
	}
	merged, dropped := tree.MergeDiverged(newer, older)
	for _, e := range dropped {
		s.cfg.Log.WithField("id", e.ID).WithField("author", e.Author).
			Error("settings: dropped an accepted edit that conflicts with another one; its author must repeat it")
	}
	return merged
}

// readTimeout bounds one read of the store's document.
const readTimeout = 10 * time.Second

// read gets the store's document and merges it with the one in force.
func (s *Settings) read(ctx context.Context) (o store.Object, d tree.Document, result tree.MergeResult, err error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err = s.cfg.Store.Get(limited, Kind, Name)
	if errors.Is(err, store.ErrNotFound) {
		o, err = store.Object{Kind: Kind, Name: Name}, nil
	}
	if err != nil {
		return o, d, result, err
	}
	if d, err = decodeStored(o); err != nil {
		return o, d, result, &Corrupt{Version: o.Version, Cause: err}
	}
	result, err = s.submit(ctx, d, true)
	return o, d, result, err
}
