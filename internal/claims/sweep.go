package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
)

const (
	// sweepPeriod is how often expired records are removed: a sixth of the time
	// for which they are kept, so that the store holds that much more at most.
	sweepPeriod = 10 * time.Minute
	// sweepGap is the pause between two removals. A sweep must leave the store's
	// writes, several hundred a second, to requests.
	sweepGap = 20 * time.Millisecond
)

// Serve removes expired records until ctx ends.
func (c *Claims) Serve(ctx context.Context) error {
	for pause(ctx, sweepPeriod) {
		if !c.cfg.Sweeps() {
			continue
		}
		if err := c.sweep(ctx); err != nil {
			c.cfg.Log.WithError(err).Warn("claims: expired records stay for now")
		}
	}
	return ctx.Err()
}

func (c *Claims) String() string { return "claims" }

func (c *Claims) sweep(ctx context.Context) error {
	objects, _, err := c.cfg.Store.List(ctx, Kind)
	if err != nil {
		return err
	}
	for _, o := range objects {
		r, err := decode(o.Value)
		if err != nil {
			c.cfg.Log.WithError(err).WithField("record", o.Name).Error("claims: record not understood, it stays")
			continue
		}
		if !r.Expired(c.cfg.Now()) {
			continue
		}
		err = c.cfg.Store.Delete(ctx, Kind, o.Name, o.Version)
		if err != nil && !store.IsConflict(err) && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if !pause(ctx, sweepGap) {
			return ctx.Err()
		}
	}
	return nil
}
