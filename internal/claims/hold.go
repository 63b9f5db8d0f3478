package claims

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/claim"
)

// Kind is the kind of the records in the store.
const Kind = "claims"

const (
	// claimTime is how long a request waits for the store. It answers in
	// milliseconds; a caller that is told to come back loses less than one that
	// is held.
	claimTime = time.Second
	// writeTime bounds one write whose answer may be lost: several times as
	// long as a slow store takes.
	writeTime = 300 * time.Millisecond
	// withdrawTime is how long a refusal waits for the key to be free again: a
	// caller that comes back at once should not meet its own claim.
	withdrawTime = 100 * time.Millisecond
)

// hold is one attempt's hold on the record of its key.
type hold struct {
	claims  *Claims
	name    string
	record  claim.Record
	version uint64    // of the record in the store
	written time.Time // when the last write whose answer was lost was made
}

// take creates the record. Where it is there already, met is what the caller is
// told.
//
// A write whose answer is lost may have been done, or be done later. The record
// names its attempt, so a second look tells. Where nothing tells in time, the
// request isn't sent, and the record is removed should it turn up.
func (h *hold) take(ctx context.Context) (met claim.Result, granted bool) {
	limited, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	sent := false
	for {
		err := h.create(limited)
		if store.IsConflict(err) {
			if met, granted, err = h.look(limited); err == nil {
				return met, granted
			}
		}
		if err == nil {
			return met, true
		}
		if !untouched(err) {
			sent, h.written = true, time.Now()
		}
		if !store.IsUnavailable(err) || !pause(limited, writeTime/10) {
			h.log(err).Warn("claim: in doubt")
			break
		}
	}
	if sent {
		h.settle(nil)
	}
	return claim.Doubt(), false
}

func (h *hold) create(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	h.version, err = h.claims.cfg.Store.Put(ctx, Kind, h.name, 0, encode(h.record))
	return err
}

// look reads the record that is in the way.
func (h *hold) look(ctx context.Context) (met claim.Result, own bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	found, version, err := h.read(ctx)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return met, false, &store.Unavailable{Cause: err} // withdrawn meanwhile: claim again
	case err != nil:
		return met, false, err
	case found.ID == h.record.ID:
		h.version = version
		return met, true, nil
	}
	return claim.Meet(h.claims.cfg.Now(), found, h.record.Print), false, nil
}

func (h *hold) read(ctx context.Context) (found claim.Record, version uint64, err error) {
	o, err := h.claims.cfg.Store.Get(ctx, Kind, h.name)
	if err != nil {
		return found, 0, err
	}
	found, err = decode(o.Value)
	return found, o.Version, err
}

// settle records the outcome of the run, or frees the key where kept is nil. It
// goes on by itself while the store is away; only a withdrawal is waited for a
// moment. settled is closed when it has ended.
func (h *hold) settle(kept *claim.Answer) (settled <-chan struct{}) {
	done := make(chan struct{})
	h.claims.settling.Go(func() {
		defer close(done)
		h.deliver(kept)
	})
	if kept != nil {
		return done
	}
	select {
	case <-done:
	case <-time.After(withdrawTime):
	}
	return done
}

// Pauses between tries to settle. Until one succeeds, resends of the key are
// told that it may be running, or that its outcome is unknown. A claim in doubt
// is looked for until it can't be written any more.
const (
	settleFirst = 50 * time.Millisecond
	settleMost  = 5 * time.Second
	// settleTime is how long an outcome is kept for a store that is away.
	settleTime = 15 * time.Minute
)

func (h *hold) deliver(kept *claim.Answer) {
	ctx, cancel := context.WithTimeout(h.claims.life, settleTime)
	defer cancel()
	wait := settleFirst
	for {
		err := h.write(ctx, kept)
		if err == nil {
			return
		}
		if !pause(ctx, wait) {
			h.log(err).Warn("claim: outcome not recorded")
			return
		}
		wait = min(2*wait, settleMost)
	}
}

// write brings the record to its end. The version may be unknown, or older than
// the record's where an answer was lost, so a conflict is looked at.
func (h *hold) write(ctx context.Context, kept *claim.Answer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	if h.version == 0 {
		if done, err := h.locate(ctx); done || err != nil {
			return err
		}
	}
	if kept == nil {
		err = h.claims.cfg.Store.Delete(ctx, Kind, h.name, h.version)
	} else {
		ended := h.record
		ended.Answer = kept
		_, err = h.claims.cfg.Store.Put(ctx, Kind, h.name, h.version, encode(ended))
	}
	if store.IsConflict(err) {
		h.version = 0
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// locate finds this attempt's own record, and reports whether there is nothing
// left to settle. A record that isn't there may still come, by a write that the
// store does late; it would hold the key for as long as records are kept.
func (h *hold) locate(ctx context.Context) (done bool, err error) {
	found, version, err := h.read(ctx)
	if errors.Is(err, store.ErrNotFound) && time.Since(h.written) >= h.claims.cfg.Late {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	h.version = version
	return found.ID != h.record.ID || found.Answer != nil, nil
}

func (h *hold) log(err error) log.Interface {
	return h.claims.cfg.Log.WithError(err).WithFields(log.Fields{"record": h.name, "attempt": h.record.ID})
}

// untouched reports whether a failed call surely did not reach the store.
func untouched(err error) bool {
	var u *store.Unavailable
	return errors.As(err, &u) && u.Untouched
}

// pause tells whether d passed before ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
