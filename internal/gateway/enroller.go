package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
)

// The store keeps the records of a few entries, by which the others are found
// where no seed of the settings answers. Most never call it for that: with a
// record of each and a list for each, 472 entries made 1,400 calls at a start.
const (
	// seedTime is how long an entry waits for a seed before it asks the store: a few
	// rounds.
	seedTime = 3 * roundPeriod
	// recorded is how many entries keep a record: as many as the settings have seeds.
	recorded = 3
	// recordCheck is how often an entry looks whether it has to have a record.
	recordCheck = time.Second
	// recordAfter is how long the entries on record have to be the same before one
	// more enters itself: in a start they change all the time.
	recordAfter = 3 * time.Second
	// cleanEvery is how often the records are looked through for dead ones, and for
	// entries that this part of the network has never met.
	cleanEvery = forgetAfter
)

// enroller keeps the records of entries in the store.
type enroller struct {
	gateway  *Gateway
	since    time.Time // since when this entry has to have a record
	cleaned  time.Time
	restores uint64                     // of the store that were seen to
	silent   map[string]roster.Revision // records whose entry wasn't live when they were last looked through
}

func (e *enroller) String() string { return "enroller" }

// Serve runs until ctx ends.
func (e *enroller) Serve(ctx context.Context) error {
	e.cleaned = time.Now()
	if e.unmet(ctx) {
		e.enroll(ctx)
	}
	for ctx.Err() == nil {
		sleep(ctx, recordCheck)
		e.check(ctx, time.Now())
	}
	return ctx.Err()
}

// unmet tells whether no seed has answered in time.
func (e *enroller) unmet(ctx context.Context) bool {
	if len(e.gateway.otherSeeds()) == 0 {
		return true
	}
	for end := time.Now().Add(seedTime); time.Now().Before(end); sleep(ctx, readerTick) {
		if len(e.gateway.view.Load().live) > 1 {
			return false
		}
	}
	return true
}

// enroll puts this entry on record and learns of the others, until the store
// answers. It enters before it lists: of two entries that start together, the
// later one to enter then finds the other, and tells it of itself.
func (e *enroller) enroll(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := e.enter(ctx)
		if err == nil {
			err = e.list(ctx, began)
		}
		if err == nil {
			return
		}
		e.gateway.log.WithError(err).Warn("not on record")
		sleep(ctx, storeRest)
	}
}

func (e *enroller) enter(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	if err = e.gateway.store.Enter(ctx, e.gateway.self); err == nil {
		e.gateway.recorded.Store(true)
	}
	return err
}

func (e *enroller) list(ctx context.Context, began time.Time) (err error) {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	items, _, err := e.gateway.store.Entries().List(ctx)
	if err == nil {
		e.gateway.control.tell(ctx, entriesListed{items, time.Since(began)})
	}
	return err
}

// check enters this entry where it has to have a record, and looks through the
// records where that is its part.
func (e *enroller) check(ctx context.Context, now time.Time) {
	rank := owner.Rank(e.gateway.view.Load().live, dutyRecord, e.gateway.self.Name)
	if n := e.gateway.restores.Load(); n != e.restores {
		// The record may be lost with the copy that the store was restored from. It is
		// written again at once: those that start meanwhile find nobody by it.
		e.restores = n
		e.gateway.recorded.Store(false)
		e.since = now.Add(-recordAfter)
	}
	switch {
	case rank >= recorded || e.gateway.leaving.Load():
		e.since = time.Time{}
	case e.since.IsZero():
		e.since = now
	case !e.gateway.recorded.Load() && now.Sub(e.since) >= recordAfter:
		if err := e.enter(ctx); err != nil {
			e.gateway.log.WithError(err).Info("not on record")
		}
	}
	if rank == 0 && now.Sub(e.cleaned) >= cleanEvery {
		e.cleaned = now
		e.clean(ctx)
	}
}

// clean removes the records of entries that were not live at two looks in a row,
// unless they have changed: one that started anew has entered itself again. Those
// of others that live are told to the table, which greets whom it doesn't know.
func (e *enroller) clean(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	items, _, err := e.gateway.store.Entries().List(limited)
	if err != nil {
		e.gateway.log.WithError(err).Info("records not looked through")
		return
	}
	e.gateway.control.tell(ctx, entriesListed{items: items})
	live := make(map[string]bool)
	for _, c := range e.gateway.view.Load().live {
		live[c.Name] = true
	}
	silent := make(map[string]roster.Revision)
	for _, it := range items {
		if live[it.Name] {
			continue
		}
		if rev, before := e.silent[it.Name]; !before || rev != it.Revision {
			silent[it.Name] = it.Revision
			continue
		}
		e.gateway.log.WithFields(log.Fields{"peer": it.Name, "revision": it.Revision.String()}).Info("record of a dead entry removed")
		if err := e.gateway.store.Leave(limited, it.Name, it.Revision); err != nil {
			e.gateway.log.WithError(err).WithField("peer", it.Name).Info("record not removed")
		}
	}
	e.silent = silent
}

// dutyRecord names the order of entries that have a record.
const dutyRecord = "record"

// entriesListed are the entries that the store has on record.
type entriesListed struct {
	items []roster.Item[owner.Entry]
	took  time.Duration // from the start of the enrolment; 0 where this is none
}

func (m entriesListed) apply(now time.Time, c *control) {
	seeds := c.gateway.otherSeeds()
	for _, it := range m.items {
		if it.Name != c.gateway.self.Name {
			seeds = append(seeds, it.Value.Peer)
		}
	}
	if m.took > 0 {
		c.enrolled, c.enrolling, c.ahead = now, m.took, ahead(c.gateway.self, m.items)
	}
	c.drive(now, member.Seeds{Addresses: seeds})
}
