package claims

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/claim"
)

// Kind is the kind of the record objects in the store.
const Kind = "claims"

const (
	// claimTimeout is how long a request waits for the store, which normally answers
	// in milliseconds. A caller that is asked to retry loses less time than one that
	// waits longer.
	claimTimeout = time.Second
	// callTimeout limits one call to the store, whose response may be lost. It is
	// several times the response time of a slow store.
	callTimeout = 300 * time.Millisecond
	// withdrawWait is how long a refusal waits for the removal of the record, so that
	// a caller that retries at once doesn't find its own claim.
	withdrawWait = 100 * time.Millisecond
)

// recordHolder is an attempt that claims, and then holds, the record of its key.
type recordHolder struct {
	claims             *Claims
	name               string
	record             claim.Record
	version            uint64    // of the record in the store; 0 if unknown
	lastUncertainWrite time.Time // time of the last write whose response was lost
}

// acquire creates the record and reports whether this attempt may run the request. If
// it may not, refusal is the result for the caller.
//
// A write whose response is lost may have been applied, or be applied later. The record
// holds the ID of its attempt, so a read shows whose it is. If that stays unknown until
// the timeout, the request isn't dispatched, and the record is removed if it appears.
func (h *recordHolder) acquire(ctx context.Context) (refusal claim.Result, granted bool) {
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	mayExist := false
	for {
		err := h.create(limited)
		if store.IsConflict(err) {
			if refusal, granted, err = h.resolveConflict(limited); err == nil {
				return refusal, granted
			}
		}
		if err == nil {
			return refusal, true
		}
		if !notSent(err) {
			mayExist, h.lastUncertainWrite = true, time.Now()
		}
		if !store.IsUnavailable(err) || !sleep(limited, callTimeout/10) {
			h.log(err).Warn("claim: in doubt")
			break
		}
	}
	if mayExist {
		h.settle(nil)
	}
	return claim.StoreUnreachable(), false
}

func (h *recordHolder) create(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h.version, err = h.claims.cfg.Store.Put(ctx, Kind, h.name, 0, encodeRecord(h.record))
	return err
}

// resolveConflict reads the existing record and reports whether it is this attempt's
// own. If it isn't, refusal is the result for the caller.
func (h *recordHolder) resolveConflict(ctx context.Context) (refusal claim.Result, own bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, version, err := h.read(ctx)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return refusal, false, &store.Unavailable{Cause: err} // removed meanwhile: retry the claim
	case err != nil:
		return refusal, false, err
	case found.ID == h.record.ID:
		h.version = version
		return refusal, true, nil
	}
	return claim.ResolveExisting(h.claims.cfg.Now(), found, h.record.Fingerprint), false, nil
}

func (h *recordHolder) read(ctx context.Context) (found claim.Record, version uint64, err error) {
	o, err := h.claims.cfg.Store.Get(ctx, Kind, h.name)
	if err != nil {
		return found, 0, err
	}
	found, err = decodeRecord(o.Value)
	return found, o.Version, err
}

// settle records the outcome of the run, or removes the record if kept is nil. It writes
// in the background and retries a failed write for settleTimeout at most. If it removes
// the record, it waits up to withdrawWait for that. settled is closed when the write has
// ended.
func (h *recordHolder) settle(kept *claim.Response) (settled <-chan struct{}) {
	done := make(chan struct{})
	h.claims.pendingWrites.Go(func() {
		defer close(done)
		h.settleWithRetry(kept)
	})
	if kept != nil {
		return done
	}
	select {
	case <-done:
	case <-time.After(withdrawWait):
	}
	return done
}

// Delays between the writes of settleWithRetry. Until one succeeds, resends of the key
// through other entries get in-progress or run-unknown as their reason. If it is unknown
// whether the record was created, the retries go on until it can't be created any more.
const (
	minSettleDelay = 50 * time.Millisecond
	maxSettleDelay = 5 * time.Second
	// settleTimeout is how long a failed write of an outcome is retried, so that it
	// survives an outage of the store of up to this time.
	settleTimeout = 15 * time.Minute
)

func (h *recordHolder) settleWithRetry(kept *claim.Response) {
	ctx, cancel := context.WithTimeout(h.claims.writeCtx, settleTimeout)
	defer cancel()
	delay := minSettleDelay
	for {
		err := h.writeOutcome(ctx, kept)
		if err == nil {
			return
		}
		if !sleep(ctx, delay) {
			h.log(err).Warn("claim: outcome not recorded")
			return
		}
		delay = min(2*delay, maxSettleDelay)
	}
}

// writeOutcome records the outcome, or removes the record if kept is nil. If a response
// was lost, the known version may be older than the record's; after a conflict the next
// call reads the record again.
func (h *recordHolder) writeOutcome(ctx context.Context, kept *claim.Response) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if h.version == 0 {
		if done, err := h.findRecord(ctx); done || err != nil {
			return err
		}
	}
	if kept == nil {
		err = h.claims.cfg.Store.Delete(ctx, Kind, h.name, h.version)
	} else {
		record := h.record
		record.Response = kept
		_, err = h.claims.cfg.Store.Put(ctx, Kind, h.name, h.version, encodeRecord(record))
	}
	if store.IsConflict(err) {
		h.version = 0
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// findRecord reads the version of this attempt's record and reports whether nothing is
// left to settle. A missing record may still be created by a write that the store
// applies late, and would then block the key until it expires. So findRecord fails for
// a missing record until MaxWriteDelay has passed since the last such write.
func (h *recordHolder) findRecord(ctx context.Context) (done bool, err error) {
	found, version, err := h.read(ctx)
	if errors.Is(err, store.ErrNotFound) && time.Since(h.lastUncertainWrite) >= h.claims.cfg.MaxWriteDelay {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	h.version = version
	return found.ID != h.record.ID || found.Response != nil, nil
}

func (h *recordHolder) log(err error) log.Interface {
	return h.claims.cfg.Log.WithError(err).WithFields(log.Fields{"record": h.name, "attempt": h.record.ID})
}

// notSent reports whether a failed call certainly didn't reach the store.
func notSent(err error) bool {
	var u *store.Unavailable
	return errors.As(err, &u) && u.NotSent
}

// sleep waits for d and reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
