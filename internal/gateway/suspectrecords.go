package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/roster"
)

// suspectRecorder exchanges suspects with the other entries through the store while this
// entry is in contact with none of them. Otherwise each isolated entry would count the
// crashes of a request alone, and the request would crash crashLimit targets through each.
type suspectRecorder struct {
	gateway  *Gateway
	recorded map[uint64]announcedSuspect // in the record that this process wrote, by fingerprint
	exists   bool                        // this entry has a record, of this process or of the one before
}

// suspectRecordInterval is the time between exchanges. It bounds how many targets a request
// can crash through other entries before this one refuses it.
const suspectRecordInterval = 500 * time.Millisecond

func (r *suspectRecorder) String() string { return "suspect recorder" }

// Serve runs until ctx ends.
func (r *suspectRecorder) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, suspectRecordInterval)
		if r.gateway.view.Load().isolated {
			r.exchange(ctx, time.Now())
		} else if r.exists {
			r.remove(ctx)
		}
	}
	return ctx.Err()
}

// exchange reads the suspects of other entries and records those of this one if they have
// changed. It reads first: before the first record of this process it finds the one of the
// process before.
func (r *suspectRecorder) exchange(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, _, err := r.gateway.store.Suspects().List(ctx)
	if err != nil {
		r.gateway.log.WithError(err).Info("suspects not read")
		return
	}
	r.exists = slices.ContainsFunc(items, r.ownRecord)
	if r.recorded != nil {
		items = slices.DeleteFunc(items, r.ownRecord)
	}
	r.gateway.control.enqueue(ctx, suspectsListed(items))
	list := r.gateway.suspects.Export(now, maxSuspects)
	suspects := make(map[uint64]announcedSuspect, len(list))
	for _, s := range list {
		suspects[s.Fingerprint] = announcedOf(s)
	}
	missing := !r.exists && len(suspects) > 0 // never written, or lost by the store
	if !missing && maps.Equal(suspects, r.recorded) {
		return
	}
	if err := r.gateway.store.PutSuspects(ctx, now, r.gateway.self.Name, list); err != nil {
		r.gateway.log.WithError(err).Info("suspects not recorded")
		return
	}
	r.recorded, r.exists = suspects, true
}

func (r *suspectRecorder) ownRecord(it roster.Item[[]call.Suspect]) bool {
	return it.Name == r.gateway.self.Name
}

// remove deletes this entry's record.
func (r *suspectRecorder) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := r.gateway.store.DeleteSuspects(ctx, r.gateway.self.Name); err != nil {
		r.gateway.log.WithError(err).Info("record of suspects not deleted")
		return
	}
	r.recorded, r.exists = nil, false
}

// suspectsListed holds the suspects that other entries have recorded.
type suspectsListed []roster.Item[[]call.Suspect]

func (m suspectsListed) apply(now time.Time, c *control) {
	for _, it := range m {
		for _, s := range it.Value {
			if c.gateway.suspects.CrashCount(s.Fingerprint) < s.Crashes {
				c.logReceivedSuspect(s.Fingerprint, uint32(s.Crashes), it.Name)
			}
		}
		c.gateway.suspects.Merge(now, it.Name, it.Value)
	}
}
