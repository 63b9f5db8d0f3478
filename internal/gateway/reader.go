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

// dataKind is a kind of store data, which one entry reads from the store for all.
type duty uint8

const (
	dutyConfig duty = iota
	dutyTargets
	dutyEvacuations
	duties
)

var dutyNames = [duties]string{"configuration", "targets", "evacuations"}

// readSchedule is when each live entry reads a resource, by its rank. Each call to the
// store is counted, and targets write heartbeats all the time, so that a watch of them
// returns at once. A watch by each entry would cost one call per event and entry.
// Instead, an entry reads when its copy is older than the age for its rank. The reads of
// the first entry, which it announces, keep the other copies younger than that. If the
// first one is dead, cut off or refused by the store, the next one takes over.
//
// A watch without events does not prove that nothing has changed: it may have lost its
// connection or its history without an error. So a watch stays open for no longer than
// the time within which all entries must know a change.
var patience = [duties]struct {
	first time.Duration // age at which the entry of rank 0 reads
	step  time.Duration // additional age for each further rank
	wait  time.Duration // how long a watch stays open
}{
	// A configuration must be in force everywhere within 2 s. The first entry
	// always watches, so that the copies of the others are at most as old as one
	// watch plus the time of an announcement.
	dutyConfig: {first: 0, step: 300 * time.Millisecond, wait: time.Second},
	// All entries must know of a leaving target within 2 s as well. A watch of
	// targets returns at once, so that only the age of 800 ms limits the calls. With
	// these steps, the third entry reads in time if the first two are lost.
	dutyTargets: {first: 800 * time.Millisecond, step: 350 * time.Millisecond, wait: briefWait},
	// An evacuated domain must get no more requests after 5 s. Evacuations are rare,
	// so the first entry always watches, as for the configuration. If the first two
	// are lost without notice, the third one reads within 3.3 s.
	dutyEvacuations: {first: 0, step: 400 * time.Millisecond, wait: 2 * time.Second},
}

const (
	// turnCheckInterval is how often a reader checks whether it is its turn.
	readerTick = 50 * time.Millisecond
	// distantTurnCheckInterval is the same for an entry of high rank without callers.
	distantTick = 5 * readerTick
	// notifiedReaders is the number of entries, first in the order of readers, that
	// get each confirmation of the store at once. The others get it by gossip.
	fastReaders = 4
	// pollTimeout is how long a watch stays open that doesn't wait for changes.
	briefWait = time.Millisecond
	// readTimeout bounds a call, in addition to the time for which its watch stays
	// open. The store answers within 4 ms; after a hundred times that the call has
	// failed.
	readTime = 400 * time.Millisecond
	// listTimeout bounds a list, which may take several pages of a slow store.
	listTime = 2 * time.Second
	// storeRetryDelay is the delay of the first reader after a failed call.
	storeRest    = 300 * time.Millisecond
	storeRestMax = 3 * time.Second
)

// due reports whether an entry of this rank reads now.
func (r duty) due(age time.Duration, rank int) bool {
	p := patience[r]
	if rank == 0 {
		return age >= p.first
	}
	return age >= p.first+p.wait+tickPeriod+time.Duration(rank)*p.step
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) { doze(ctx, d, nil) }

// sleepUntilWoken is sleep that a message on wake ends as well; wake may be nil.
func doze(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// readTurn tells a reader whether to read now, and from which revision.
type turn struct {
	due  bool
	rank int             // of this entry in the order of readers
	age  time.Duration   // since the store last confirmed the data
	at   roster.Revision // last known one of the history
	// initial is set before the data was first read.
	fresh bool
	// distant is set when many others read before this entry and it has no callers.
	distant bool
	// poll is set when a watch must not wait for changes.
	brief bool
}

// pause returns how long a reader waits before it checks its turn again.
func (t turn) pause() time.Duration {
	if t.fresh {
		return beginStep / 2
	}
	if t.distant {
		return distantTick
	}
	return readerTick
}

// turnRequest asks the control loop whether a reader reads now.
type turnAsked struct {
	duty   duty
	answer chan turn
}

func (m turnAsked) apply(now time.Time, c *control) {
	t := c.turnOf(now, m.duty)
	if m.duty == dutyEvacuations && c.shut && c.turnOf(now, dutyTargets).due {
		// The store doesn't serve this entry, whose reads of the targets detect the
		// store's return. If all entries read evacuations too, a busy store would get
		// a third more calls, and each call costs money.
		t.due = false
	}
	if !c.gateway.needs(m.duty) {
		t.due, t.fresh, t.distant = false, false, true
	}
	// A watch without changes confirms the known revision only when it ends. If that
	// is old already, requests would wait for the end of the watch.
	t.brief = c.gateway.freshness.hasCallers(now) && t.age >= patience[m.duty].wait+tickPeriod
	m.answer <- t
}

// turnFor returns whether this entry reads a resource now, and how.
func (c *control) turnOf(now time.Time, r duty) turn {
	c.live()
	rank := c.rank[r]
	if c.alone(now) {
		rank = 0
	}
	age := c.age(now, r)
	serving := c.gateway.freshness.hasCallers(now)
	t := turn{due: r.due(age, rank), rank: rank, age: age, at: c.at(r), distant: rank > fastReaders && !serving}
	if c.confirmed[r].IsZero() {
		t.due, t.fresh = c.begins(now, rank), true
	}
	t.due = t.due || serving && !t.fresh && age >= c.gateway.maxAges()[r]
	return t
}

// revision returns the last known revision in the history of a resource.
func (c *control) at(r duty) roster.Revision {
	switch r {
	case dutyTargets:
		return c.targets.Revision()
	case dutyEvacuations:
		return c.evacuations.Revision()
	}
	return c.configAt
}

// needs reports whether requests depend on a resource. Evacuations are neither needed nor
// read if the settings have no bound for them.
func (g *Gateway) needs(r duty) bool {
	return r != dutyEvacuations || g.bounds.Load().Evacuate > 0
}

// requestTurn asks the control loop for a reader's turn.
func (c *control) turn(ctx context.Context, r duty) (t turn) {
	m := turnAsked{duty: r, answer: make(chan turn, 1)}
	c.tell(ctx, m)
	select {
	case t = <-m.answer:
	case <-ctx.Done():
	}
	return t
}

// reader reads one resource when it is this entry's turn.
type reader[T any] struct {
	gateway *Gateway
	duty    duty
	kind    platform.Kind[T]
	unsure  bool // a watch has failed and may have missed changes
	listed  func(items []roster.Item[T], revision roster.Revision, askedAt time.Time) message
	changed func(changes []roster.Change[T], revision roster.Revision, askedAt time.Time) message
}

func newTargetReader(g *Gateway) *reader[slot.Target] {
	return &reader[slot.Target]{
		gateway: g, duty: dutyTargets, kind: g.store.Targets(),
		listed: func(items []roster.Item[slot.Target], revision roster.Revision, askedAt time.Time) message {
			return targetsListed{items, revision, askedAt}
		},
		changed: func(changes []roster.Change[slot.Target], revision roster.Revision, askedAt time.Time) message {
			return targetsChanged{changes, revision, askedAt}
		},
	}
}

func newEvacuationReader(g *Gateway) *reader[slot.Evacuation] {
	return &reader[slot.Evacuation]{
		gateway: g, duty: dutyEvacuations, kind: g.store.Evacuations(),
		listed: func(items []roster.Item[slot.Evacuation], revision roster.Revision, askedAt time.Time) message {
			return evacuationsListed{items, revision, askedAt}
		},
		changed: func(changes []roster.Change[slot.Evacuation], revision roster.Revision, askedAt time.Time) message {
			return evacuationsChanged{changes, revision, askedAt}
		},
	}
}

func newConfigReader(g *Gateway) *reader[[]byte] {
	return &reader[[]byte]{
		gateway: g, duty: dutyConfig, kind: g.store.Configs(),
		listed: func(items []roster.Item[[]byte], revision roster.Revision, askedAt time.Time) message {
			m := configRead{at: revision, asked: askedAt}
			for _, it := range items {
				m.raw = append(m.raw, it.Value)
			}
			return m
		},
		changed: func(changes []roster.Change[[]byte], revision roster.Revision, askedAt time.Time) message {
			m := configRead{at: revision, asked: askedAt}
			for _, c := range changes {
				if !c.Deleted {
					m.raw = append(m.raw, c.Value)
				}
			}
			return m
		},
	}
}

func (r *reader[T]) String() string { return dutyNames[r.duty] }

// Serve runs until ctx ends.
func (r *reader[T]) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		t := r.gateway.control.turn(ctx, r.duty)
		if !t.due {
			doze(ctx, t.pause(), r.gateway.freshness.wakeups[r.duty])
			continue
		}
		err := r.read(ctx, t)
		r.gateway.log.WithFields(log.Fields{"duty": r.String(), "rank": t.rank, "age": t.age.Milliseconds(), "from": t.at.String()}).Debug("store read")
		r.gateway.control.tell(ctx, storeAnswered{err})
		r.gateway.instruments.storeReads[r.duty].Inc(1)
		if err != nil {
			r.gateway.instruments.failedStoreReads[r.duty].Inc(1)
			sleep(ctx, rest(t.rank))
		}
	}
	return ctx.Err()
}

// retryDelay returns the delay after a failed call. It grows with the rank, so that not
// all entries call the store at once during an outage, while the first one soon detects
// that the store is back.
func rest(rank int) time.Duration {
	return min(storeRest*time.Duration(1+rank), storeRestMax)
}

// read watches from the known revision. It lists the objects if no revision is known or
// a watch has failed, which may have missed a change.
func (r *reader[T]) read(ctx context.Context, t turn) (err error) {
	if t.at > 0 && !r.unsure {
		err = r.watch(ctx, t)
		if err == nil {
			return nil
		}
		r.unsure = true
		if errors.Is(err, context.DeadlineExceeded) {
			r.gateway.control.tell(ctx, callFailed{})
		} else if !errors.Is(err, platform.ErrHistory) {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	askedAt := time.Now()
	items, revision, err := r.kind.List(ctx)
	if err == nil {
		r.unsure = false
		r.gateway.control.tell(ctx, r.listed(items, revision, askedAt))
	}
	return err
}

func (r *reader[T]) watch(ctx context.Context, t turn) (err error) {
	wait := patience[r.duty].wait
	if t.brief {
		wait = briefWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTime)
	defer cancel()
	askedAt := time.Now()
	changes, revision, err := r.kind.Watch(ctx, t.at, wait)
	if err != nil {
		return err
	}
	if len(changes) == 0 && time.Since(askedAt) >= wait {
		// The store answers a watch without changes when the wait is over, which
		// confirms that nothing had changed until then.
		askedAt = askedAt.Add(wait)
	}
	r.gateway.control.tell(ctx, r.changed(changes, revision, askedAt))
	return nil
}
