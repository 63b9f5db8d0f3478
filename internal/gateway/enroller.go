package gateway

import (
	"context"
	"time"
)

// enroller puts this entry on record and learns of the others. It enters before
// it lists: of two entries that start together, the later one to enter then
// finds the other, and its beats tell the other of it.
type enroller struct{ gateway *Gateway }

func (e *enroller) String() string { return "enroller" }

// Serve runs until ctx ends.
func (e *enroller) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := e.enroll(ctx)
		if err == nil {
			break
		}
		e.gateway.log.WithError(err).Warn("not on record")
		sleep(ctx, storeRest)
	}
	<-ctx.Done()
	return ctx.Err()
}

func (e *enroller) enroll(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	began := time.Now()
	if err := e.gateway.store.Enter(ctx, e.gateway.self); err != nil {
		return err
	}
	items, _, err := e.gateway.store.Entries().List(ctx)
	if err != nil {
		return err
	}
	e.gateway.control.tell(ctx, entriesListed{items, time.Since(began)})
	return nil
}
