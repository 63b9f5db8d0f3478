package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
)

// The store keeps the records of a few entries, through which an entry finds the others if
// no seed of the settings answers. Most entries never read or write them: when each entry
// wrote a record and listed them, 472 entries made 1,400 calls at a start.
const (
	// seedTimeout is how long an entry waits for a seed before it asks the store: a few
	// rounds.
	seedTimeout = 3 * roundPeriod
	// recordedEntries is the number of entries with a record, equal to the number of seeds
	// in the settings.
	recordedEntries = 3
	// recordCheckInterval is how often an entry checks whether it needs a record.
	recordCheckInterval = time.Second
	// recordDelay is how long an entry has to need a record before it writes one:
	// during a start, the entries that need one change all the time.
	recordDelay = 3 * time.Second
	// aloneListInterval is how often an entry that is in contact with no other lists the
	// records, to find the ones that started after it.
	aloneListInterval = 5 * time.Second
	// cleanInterval is how often the records are checked for dead entries, and for
	// entries that this part of the network has had no contact with.
	cleanInterval = deadRetention
)

// enroller keeps the records of entries in the store.
type enroller struct {
	gateway         *Gateway
	neededSince     time.Time // when this entry began to need a record; zero if it doesn't
	lastCleaned     time.Time
	lastListed      time.Time                  // last list of the records, while alone
	handledRestores uint64                     // restores of the store that have been handled
	absent          map[string]roster.Revision // records without a live entry at the last cleaning
}

func (e *enroller) String() string { return "enroller" }

// Serve runs until ctx ends.
func (e *enroller) Serve(ctx context.Context) error {
	e.lastCleaned = time.Now()
	if e.noSeedAnswered(ctx) {
		e.enroll(ctx)
	}
	for ctx.Err() == nil {
		sleep(ctx, recordCheckInterval)
		e.checkRecord(ctx, time.Now())
	}
	return ctx.Err()
}

// noSeedAnswered reports whether no seed has answered in time.
func (e *enroller) noSeedAnswered(ctx context.Context) bool {
	if len(e.gateway.otherSeeds()) == 0 {
		return true
	}
	for end := time.Now().Add(seedTimeout); time.Now().Before(end); sleep(ctx, turnCheckInterval) {
		if len(e.gateway.view.Load().live) > 1 {
			return false
		}
	}
	return true
}

// enroll writes this entry's record and lists the others, and retries until the store
// answers. It writes before it lists: of two entries that start together, the later one to
// write then finds the other and contacts it.
func (e *enroller) enroll(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		var items []roster.Item[owner.Entry]
		err := e.writeRecord(ctx)
		if err == nil {
			items, err = e.listEntries(ctx)
		}
		if err == nil {
			e.gateway.control.enqueue(ctx, entriesListed{items, time.Since(began)})
			return
		}
		e.gateway.log.WithError(err).Warn("enrolment in the store failed")
		sleep(ctx, storeRetryDelay)
	}
}

func (e *enroller) writeRecord(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err = e.gateway.store.PutEntry(ctx, e.gateway.self); err == nil {
		e.gateway.enrolled.Store(true)
	}
	return err
}

func (e *enroller) listEntries(ctx context.Context) (items []roster.Item[owner.Entry], err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, _, err = e.gateway.store.Entries().List(ctx)
	return items, err
}

// findEntries lists the records for the membership table, which contacts the entries that
// it doesn't know. ok is false if the store doesn't answer.
func (e *enroller) findEntries(ctx context.Context) (items []roster.Item[owner.Entry], ok bool) {
	items, err := e.listEntries(ctx)
	if err != nil {
		e.gateway.log.WithError(err).Info("entry records not listed")
		return nil, false
	}
	e.gateway.control.enqueue(ctx, entriesListed{items: items})
	return items, true
}

// checkRecord writes this entry's record if it needs one and has none, and cleans the
// records if this entry is the first in recordOrder.
func (e *enroller) checkRecord(ctx context.Context, now time.Time) {
	live := e.gateway.view.Load().live
	rank := owner.Rank(live, recordOrder, e.gateway.self.Name)
	if n := e.gateway.restores.Load(); n != e.handledRestores {
		// The copy that the store was restored from may lack the record. It is written
		// again at once, since entries that start meanwhile find no other without it.
		e.handledRestores = n
		e.gateway.enrolled.Store(false)
		e.neededSince = now.Add(-recordDelay)
	}
	switch {
	case rank >= recordedEntries || e.gateway.leaving.Load():
		e.neededSince = time.Time{}
	case e.neededSince.IsZero():
		e.neededSince = now
	case !e.gateway.enrolled.Load() && now.Sub(e.neededSince) >= recordDelay:
		if err := e.writeRecord(ctx); err != nil {
			e.gateway.log.WithError(err).Info("entry record not written")
		}
	}
	if len(live) <= 1 && !e.gateway.leaving.Load() && now.Sub(e.lastListed) >= aloneListInterval {
		e.lastListed = now
		e.findEntries(ctx)
	}
	if rank == 0 && now.Sub(e.lastCleaned) >= cleanInterval {
		e.lastCleaned = now
		e.cleanRecords(ctx)
		e.cleanSuspects(ctx)
	}
}

// cleanRecords removes the records of entries that were not live at two cleanings in a row, unless
// the record has changed: an entry that restarted has written it again. The membership table
// gets the addresses of all records, and contacts the entries that it doesn't know.
func (e *enroller) cleanRecords(ctx context.Context) {
	items, ok := e.findEntries(ctx)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	live := make(map[string]bool)
	for _, c := range e.gateway.view.Load().live {
		live[c.Name] = true
	}
	absent := make(map[string]roster.Revision)
	for _, it := range items {
		if live[it.Name] {
			continue
		}
		if rev, before := e.absent[it.Name]; !before || rev != it.Revision {
			absent[it.Name] = it.Revision
			continue
		}
		e.gateway.log.WithFields(log.Fields{"peer": it.Name, "revision": it.Revision.String()}).Info("removing the record of a dead entry")
		if err := e.gateway.store.DeleteEntry(ctx, it.Name, it.Revision); err != nil {
			e.gateway.log.WithError(err).WithField("peer", it.Name).Info("entry record not removed")
		}
	}
	e.absent = absent
}

// cleanSuspects removes the records of suspects that no entry uses any more. Their writers
// may be gone.
func (e *enroller) cleanSuspects(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, _, err := e.gateway.store.Suspects().List(ctx)
	if err != nil {
		e.gateway.log.WithError(err).Info("suspects not listed")
		return
	}
	for _, it := range items {
		if slices.ContainsFunc(it.Value, func(s call.Suspect) bool { return s.Age < suspectRecordTTL }) {
			continue
		}
		e.gateway.log.WithField("peer", it.Name).Info("removing an old record of suspects")
		if err := e.gateway.store.DeleteSuspects(ctx, it.Name); err != nil {
			e.gateway.log.WithError(err).WithField("peer", it.Name).Info("record of suspects not removed")
		}
	}
}

// suspectRecordTTL is longer than the longest quarantine and the difference of two clocks.
const suspectRecordTTL = 10 * time.Minute

// recordOrder names the order that selects the entries with a record.
const recordOrder = "record"

// entriesListed holds the entries that have a record in the store.
type entriesListed struct {
	items          []roster.Item[owner.Entry]
	enrollDuration time.Duration // duration of the enrolment; 0 if the list isn't part of one
}

func (m entriesListed) apply(now time.Time, c *control) {
	seeds := c.gateway.otherSeeds()
	c.recordsListed, c.recordedPeers = true, 0
	for _, it := range m.items {
		if it.Name != c.gateway.self.Name {
			seeds = append(seeds, it.Value.PeerAddress)
			c.recordedPeers++
		}
	}
	if m.enrollDuration > 0 {
		c.enrolledAt, c.enrollDuration, c.enrolledBefore = now, m.enrollDuration, countEnrolledBefore(c.gateway.self, m.items)
	}
	c.handleEvent(now, member.SetSeeds{Addresses: seeds})
	c.contact = c.members.Contact()
}
