package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
)

const (
	// sweepInterval is the interval between removals of expired records. It is a sixth
	// of the retention time, so that the store holds a sixth more records at most.
	sweepInterval = 10 * time.Minute
	// sweepDelay is the delay between two deletions. A sweep must leave the store's write
	// capacity, several hundred writes a second, to requests.
	sweepDelay = 20 * time.Millisecond
)

// Serve removes expired records until ctx ends.
func (c *Claims) Serve(ctx context.Context) error {
	for sleep(ctx, sweepInterval) {
		if !c.cfg.ShouldSweep() {
			continue
		}
		if err := c.sweep(ctx); err != nil {
			c.cfg.Log.WithError(err).Warn("claims: removing expired records failed; trying again later")
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
		r, err := decodeRecord(o.Value)
		if err != nil {
			c.cfg.Log.WithError(err).WithField("record", o.Name).Error("claims: malformed record; it is not removed")
			continue
		}
		if !r.Expired(c.cfg.Now()) {
			continue
		}
		err = c.cfg.Store.Delete(ctx, Kind, o.Name, o.Version)
		if err != nil && !store.IsConflict(err) && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if !sleep(ctx, sweepDelay) {
			return ctx.Err()
		}
	}
	return nil
}
