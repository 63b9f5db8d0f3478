package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// resource is a kind of objects in the store, which one entry reads for all.
type resource uint8

const (
	resourceConfig resource = iota
	resourceTargets
	resourceEvacuations
	resourceCount
)

var resourceLabels = [resourceCount]string{"configuration", "targets", "evacuations"}

// readSchedule is when each live entry reads a resource, by its rank. The store counts
// and charges each call, and targets write heartbeats all the time, so that a watch of them
// returns at once. A watch by each entry would cost one call per event and entry.
// Instead, an entry reads when its copy is older than the age for its rank. The reads of
// the first entry, which it announces, keep the other copies younger than that. If the
// first one is dead, cut off or refused by the store, the next one takes over.
//
// A watch without events does not prove that nothing has changed: it may have lost its
// connection or its history without an error. So a watch stays open for no longer than
// the time within which all entries must know a change.
var readSchedule = [resourceCount]struct {
	first time.Duration // age at which the entry of rank 0 reads
	step  time.Duration // additional age for each further rank
	wait  time.Duration // how long a watch stays open
}{
	// A configuration must be in force everywhere within 2 s. The first entry
	// always watches, so that the copies of the others are at most as old as one
	// watch plus the time of an announcement.
	resourceConfig: {first: 0, step: 300 * time.Millisecond, wait: time.Second},
	// All entries must know of a leaving target within 2 s as well. A watch of
	// targets returns at once, so that only the age of 800 ms limits the calls. With
	// these steps, the third entry reads in time if the first two are lost.
	resourceTargets: {first: 800 * time.Millisecond, step: 350 * time.Millisecond, wait: pollTimeout},
	// An evacuated domain must get no more requests after 5 s. Evacuations are rare,
	// so the first entry always watches, as for the configuration. If the first two
	// are lost without notice, the third one reads within 3.3 s.
	resourceEvacuations: {first: 0, step: 400 * time.Millisecond, wait: 2 * time.Second},
}

const (
	// turnCheckInterval is how often a reader checks whether it is its turn.
	turnCheckInterval = 50 * time.Millisecond
	// distantTurnCheckInterval is the same for an entry of high rank without callers.
	distantTurnCheckInterval = 5 * turnCheckInterval
	// notifiedReaders is the number of entries, first in the order of readers, that
	// get each confirmation of the store at once. The others get it by gossip.
	notifiedReaders = 4
	// pollTimeout is how long a watch stays open that doesn't wait for changes.
	pollTimeout = time.Millisecond
	// readTimeout bounds a call, in addition to the time for which its watch stays
	// open. The store answers within 4 ms; after a hundred times that the call counts as
	// failed.
	readTimeout = 400 * time.Millisecond
	// listTimeout bounds a list, which may take several pages of a slow store.
	listTimeout = 2 * time.Second
	// storeRetryDelay is the delay of the first reader after a failed call, and
	// storeRetryDelayMax bounds the longer delays of the others.
	storeRetryDelay    = 300 * time.Millisecond
	storeRetryDelayMax = 3 * time.Second
)

// due reports whether an entry of this rank reads now.
func (r resource) due(age time.Duration, rank int) bool {
	p := readSchedule[r]
	if rank == 0 {
		return age >= p.first
	}
	return age >= p.first+p.wait+tickInterval+time.Duration(rank)*p.step
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) { sleepUntilWoken(ctx, d, nil) }

// sleepUntilWoken is sleep that a message on wake ends as well; wake may be nil.
func sleepUntilWoken(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// readTurn tells a reader whether to read now, and from which revision.
type readTurn struct {
	due      bool
	rank     int             // of this entry in the order of readers
	age      time.Duration   // since the store last confirmed the data
	revision roster.Revision // last known one in the resource's history
	// initial is set until the data has been read for the first time.
	initial bool
	// distant is set when many others read before this entry and it has no callers.
	distant bool
	// poll is set when a watch must not wait for changes.
	poll bool
}

// pause returns how long a reader waits before it checks its turn again.
func (t readTurn) pause() time.Duration {
	if t.initial {
		return minStartStep / 2
	}
	if t.distant {
		return distantTurnCheckInterval
	}
	return turnCheckInterval
}

// turnRequest asks the control loop whether a reader reads now.
type turnRequest struct {
	resource resource
	reply    chan readTurn
}

func (m turnRequest) apply(now time.Time, c *control) {
	t := c.turnFor(now, m.resource)
	if m.resource == resourceEvacuations && c.storeUnavailable && c.turnFor(now, resourceTargets).due {
		// The store doesn't serve this entry, and its reads of the targets are enough
		// to detect when it does again. If all entries read evacuations too, a busy
		// store would get a third more calls, and each call costs money.
		t.due = false
	}
	if !c.gateway.needs(m.resource) {
		t.due, t.initial, t.distant = false, false, true
	}
	// A watch without changes confirms the known revision only when it ends. If the last
	// confirmation is old already, requests would have to wait for that.
	t.poll = c.gateway.freshness.hasCallers(now) && t.age >= readSchedule[m.resource].wait+tickInterval
	m.reply <- t
}

// turnFor returns whether this entry reads a resource now, and how.
func (c *control) turnFor(now time.Time, r resource) readTurn {
	c.live()
	rank := c.readerRank[r]
	if c.lostContactWithLive(now) {
		rank = 0
	}
	age := c.age(now, r)
	serving := c.gateway.freshness.hasCallers(now)
	t := readTurn{due: r.due(age, rank), rank: rank, age: age, revision: c.revision(r), distant: rank > notifiedReaders && !serving}
	if c.confirmed[r].IsZero() {
		t.due, t.initial = c.firstReadDue(now, rank), true
	}
	t.due = t.due || serving && !t.initial && age >= c.gateway.maxAges()[r]
	return t
}

// revision returns the last known revision in the history of a resource.
func (c *control) revision(r resource) roster.Revision {
	switch r {
	case resourceTargets:
		return c.targets.Revision()
	case resourceEvacuations:
		return c.evacuations.Revision()
	}
	return c.configRevision
}

// needs reports whether requests depend on a resource. Evacuations are neither needed nor
// read if the settings have no bound for them.
func (g *Gateway) needs(r resource) bool {
	return r != resourceEvacuations || g.bounds.Load().Evacuate > 0
}

// requestTurn asks the control loop for a reader's turn.
func (c *control) requestTurn(ctx context.Context, r resource) (t readTurn) {
	m := turnRequest{resource: r, reply: make(chan readTurn, 1)}
	c.enqueue(ctx, m)
	select {
	case t = <-m.reply:
	case <-ctx.Done():
	}
	return t
}

// reader reads one resource when it is this entry's turn.
type reader[T any] struct {
	gateway       *Gateway
	resource      resource
	client        platform.KindReader[T]
	mustList      bool // a watch has failed and may have missed changes
	listMessage   func(items []roster.Item[T], revision roster.Revision, askedAt time.Time) message
	changeMessage func(changes []roster.Change[T], revision roster.Revision, askedAt time.Time) message
}

func newTargetReader(g *Gateway) *reader[slot.Target] {
	return &reader[slot.Target]{
		gateway: g, resource: resourceTargets, client: g.store.Targets(),
		listMessage: func(items []roster.Item[slot.Target], revision roster.Revision, askedAt time.Time) message {
			return targetsListed{items, revision, askedAt}
		},
		changeMessage: func(changes []roster.Change[slot.Target], revision roster.Revision, askedAt time.Time) message {
			return targetsChanged{changes, revision, askedAt}
		},
	}
}

func newEvacuationReader(g *Gateway) *reader[slot.Evacuation] {
	return &reader[slot.Evacuation]{
		gateway: g, resource: resourceEvacuations, client: g.store.Evacuations(),
		listMessage: func(items []roster.Item[slot.Evacuation], revision roster.Revision, askedAt time.Time) message {
			return evacuationsListed{items, revision, askedAt}
		},
		changeMessage: func(changes []roster.Change[slot.Evacuation], revision roster.Revision, askedAt time.Time) message {
			return evacuationsChanged{changes, revision, askedAt}
		},
	}
}

func newConfigReader(g *Gateway) *reader[[]byte] {
	return &reader[[]byte]{
		gateway: g, resource: resourceConfig, client: g.store.Configs(),
		listMessage: func(items []roster.Item[[]byte], revision roster.Revision, askedAt time.Time) message {
			m := configRead{revision: revision, askedAt: askedAt}
			for _, it := range items {
				m.configs = append(m.configs, it.Value)
			}
			return m
		},
		changeMessage: func(changes []roster.Change[[]byte], revision roster.Revision, askedAt time.Time) message {
			m := configRead{revision: revision, askedAt: askedAt}
			for _, c := range changes {
				if !c.Deleted {
					m.configs = append(m.configs, c.Value)
				}
			}
			return m
		},
	}
}

func (r *reader[T]) String() string { return resourceLabels[r.resource] }

// Serve runs until ctx ends.
func (r *reader[T]) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		t := r.gateway.control.requestTurn(ctx, r.resource)
		if !t.due {
			sleepUntilWoken(ctx, t.pause(), r.gateway.freshness.wakeups[r.resource])
			continue
		}
		err := r.read(ctx, t)
		r.gateway.log.WithFields(log.Fields{"duty": r.String(), "rank": t.rank, "age": t.age.Milliseconds(), "from": t.revision.String()}).Debug("store read")
		r.gateway.control.enqueue(ctx, readFinished{err})
		r.gateway.instruments.storeReads[r.resource].Inc(1)
		if err != nil {
			r.gateway.instruments.failedStoreReads[r.resource].Inc(1)
			sleep(ctx, retryDelay(t.rank))
		}
	}
	return ctx.Err()
}

// retryDelay returns the delay after a failed call. It grows with the rank, so that not
// all entries call the store at once during an outage, while the first one soon detects
// that the store is back.
func retryDelay(rank int) time.Duration {
	return min(storeRetryDelay*time.Duration(1+rank), storeRetryDelayMax)
}

// read watches from the known revision. It lists the objects if no revision is known, or
// after a failed watch, which may have missed a change.
func (r *reader[T]) read(ctx context.Context, t readTurn) (err error) {
	if t.revision > 0 && !r.mustList {
		err = r.watch(ctx, t)
		if err == nil {
			return nil
		}
		r.mustList = true
		if errors.Is(err, context.DeadlineExceeded) {
			r.gateway.control.enqueue(ctx, watchTimedOut{})
		} else if !errors.Is(err, platform.ErrHistoryLost) {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	askedAt := time.Now()
	items, revision, err := r.client.List(ctx)
	if err == nil {
		r.mustList = false
		r.gateway.control.enqueue(ctx, r.listMessage(items, revision, askedAt))
	}
	return err
}

func (r *reader[T]) watch(ctx context.Context, t readTurn) (err error) {
	wait := readSchedule[r.resource].wait
	if t.poll {
		wait = pollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	askedAt := time.Now()
	changes, revision, err := r.client.Watch(ctx, t.revision, wait)
	if err != nil {
		return err
	}
	if len(changes) == 0 && time.Since(askedAt) >= wait {
		// The store answers a watch without changes when the wait is over, which
		// confirms that nothing had changed until then.
		askedAt = askedAt.Add(wait)
	}
	r.gateway.control.enqueue(ctx, r.changeMessage(changes, revision, askedAt))
	return nil
}
