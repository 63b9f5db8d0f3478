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

// duty is something that one entry reads from the store for all.
type duty uint8

const (
	dutyConfig duty = iota
	dutyTargets
	dutyEvacuations
	duties
)

var dutyNames = [duties]string{"configuration", "targets", "evacuations"}

// The store counts each call, and targets write their heartbeats to it all the
// time, so that a watch of them is answered at once. A watch by each entry
// would cost a call an event and entry. So the live entries have an order, and
// each reads when what it knows is older than its place in the order says: the
// first one keeps the others from ever having to. Where the first is dead, cut
// off or turned away by the store, the next one's turn comes by itself.
//
// A watch that hears nothing is no proof that nothing has changed: it may have
// lost its connection or its history without a word. So none stays open for
// longer than it may take until a change is known everywhere.
var patience = [duties]struct {
	first time.Duration // age at which the first entry reads
	step  time.Duration // how much later each further one takes over
	wait  time.Duration // how long a watch stays open
}{
	// A configuration has 2 s until it is in force everywhere. The first entry
	// always watches, and what the others know is then at most as old as one
	// watch and the time in which word spreads.
	dutyConfig: {first: 0, step: 300 * time.Millisecond, wait: time.Second},
	// A leaving target has to be known within 2 s as well. Its watch is
	// answered at once, so the pause is what bounds the calls: with the steps
	// below, the third entry is in time where the first two are lost.
	dutyTargets: {first: 800 * time.Millisecond, step: 350 * time.Millisecond, wait: briefWait},
	// An evacuation has 5 s until its domain gets no more requests, and comes
	// seldom: the first entry always watches, as for the configuration. With the
	// first two lost without a word, the third one reads within 3.3 s.
	dutyEvacuations: {first: 0, step: 400 * time.Millisecond, wait: 2 * time.Second},
}

const (
	// readerTick is how often an entry looks whether it is its turn.
	readerTick = 50 * time.Millisecond
	// distantTick is the same for one that many others read before.
	distantTick = 5 * readerTick
	// fastReaders is how many of the first in the order are told at once of each
	// answer of the store. The others hear of it within their rounds.
	fastReaders = 4
	// briefWait is how long a watch stays open that only asks what has changed.
	briefWait = time.Millisecond
	// readTime bounds a call beside the time for which its watch stays open:
	// the store answers within 4 ms, and is taken for lost when it doesn't
	// within a hundred times that.
	readTime = 400 * time.Millisecond
	// listTime bounds a list, which may take several pages of a slow store.
	listTime = 2 * time.Second
	// storeRest is the first entry's pause after a call that failed.
	storeRest    = 300 * time.Millisecond
	storeRestMax = 3 * time.Second
)

// due tells whether an entry with that place in the order reads now.
func (d duty) due(age time.Duration, rank int) bool {
	p := patience[d]
	if rank == 0 {
		return age >= p.first
	}
	return age >= p.first+p.wait+tickPeriod+time.Duration(rank)*p.step
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) { doze(ctx, d, nil) }

// doze is sleep that a message on wake ends as well; on a nil channel none comes.
func doze(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// turn is what a reader has to know of the control loop's state.
type turn struct {
	due  bool
	rank int             // this entry's place in the order
	age  time.Duration   // of what is known
	at   roster.Revision // up to which the history is known
	// fresh says that nothing is known yet.
	fresh bool
	// distant says that many others read before this entry, and that it has no
	// callers.
	distant bool
	// brief says that a watch is not to wait for changes.
	brief bool
}

// pause is how long a reader waits before it asks again.
func (t turn) pause() time.Duration {
	if t.fresh {
		return beginStep / 2
	}
	if t.distant {
		return distantTick
	}
	return readerTick
}

// turnAsked is a reader's question.
type turnAsked struct {
	duty   duty
	answer chan turn
}

func (m turnAsked) apply(now time.Time, c *control) {
	t := c.turnOf(now, m.duty)
	if m.duty == dutyEvacuations && c.shut && c.turnOf(now, dutyTargets).due {
		// The store fails this entry, which goes on asking it for the targets and so
		// finds out when it is back. Asked for the marks as well by all entries, a busy
		// store would get a third more calls, each of them priced.
		t.due = false
	}
	if !c.gateway.needs(m.duty) {
		t.due, t.fresh, t.distant = false, false, true
	}
	// A watch that hears of no change confirms what is known only at its end. Where
	// that is old already, requests would wait for it.
	t.brief = c.gateway.freshness.serving(now) && t.age >= patience[m.duty].wait+tickPeriod
	m.answer <- t
}

// turnOf tells whether it is this entry's turn to read a kind.
func (c *control) turnOf(now time.Time, d duty) turn {
	c.live()
	rank := c.rank[d]
	if c.alone(now) {
		rank = 0
	}
	age := c.age(now, d)
	serving := c.gateway.freshness.serving(now)
	t := turn{due: d.due(age, rank), rank: rank, age: age, at: c.at(d), distant: rank > fastReaders && !serving}
	if c.confirmed[d].IsZero() {
		t.due, t.fresh = c.begins(now, rank), true
	}
	t.due = t.due || serving && !t.fresh && age >= c.gateway.stale()[d]
	return t
}

// at is the revision up to which the history of a kind is known.
func (c *control) at(d duty) roster.Revision {
	switch d {
	case dutyTargets:
		return c.targets.At()
	case dutyEvacuations:
		return c.evacuations.At()
	}
	return c.configAt
}

// needs tells whether requests are served by a kind of knowledge. Where the settings
// name no bound for evacuations, none is asked for, and nothing is read of them.
func (g *Gateway) needs(d duty) bool {
	return d != dutyEvacuations || g.bounds.Load().Evacuate > 0
}

// turn asks the control loop.
func (c *control) turn(ctx context.Context, d duty) (t turn) {
	q := turnAsked{duty: d, answer: make(chan turn, 1)}
	c.tell(ctx, q)
	select {
	case t = <-q.answer:
	case <-ctx.Done():
	}
	return t
}

// reader reads one kind of objects when it is this entry's turn.
type reader[T any] struct {
	gateway *Gateway
	duty    duty
	kind    platform.Kind[T]
	unsure  bool // a watch has failed, so that only a list tells what is
	listed  func(items []roster.Item[T], at roster.Revision, asked time.Time) message
	changed func(changes []roster.Change[T], at roster.Revision, asked time.Time) message
}

func newTargetReader(g *Gateway) *reader[slot.Target] {
	return &reader[slot.Target]{
		gateway: g, duty: dutyTargets, kind: g.store.Targets(),
		listed: func(items []roster.Item[slot.Target], at roster.Revision, asked time.Time) message {
			return targetsListed{items, at, asked}
		},
		changed: func(changes []roster.Change[slot.Target], at roster.Revision, asked time.Time) message {
			return targetsChanged{changes, at, asked}
		},
	}
}

func newEvacuationReader(g *Gateway) *reader[slot.Evacuation] {
	return &reader[slot.Evacuation]{
		gateway: g, duty: dutyEvacuations, kind: g.store.Evacuations(),
		listed: func(items []roster.Item[slot.Evacuation], at roster.Revision, asked time.Time) message {
			return evacuationsListed{items, at, asked}
		},
		changed: func(changes []roster.Change[slot.Evacuation], at roster.Revision, asked time.Time) message {
			return evacuationsChanged{changes, at, asked}
		},
	}
}

func newConfigReader(g *Gateway) *reader[[]byte] {
	return &reader[[]byte]{
		gateway: g, duty: dutyConfig, kind: g.store.Configs(),
		listed: func(items []roster.Item[[]byte], at roster.Revision, asked time.Time) message {
			m := configRead{at: at, asked: asked}
			for _, it := range items {
				m.raw = append(m.raw, it.Value)
			}
			return m
		},
		changed: func(changes []roster.Change[[]byte], at roster.Revision, asked time.Time) message {
			m := configRead{at: at, asked: asked}
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
			doze(ctx, t.pause(), r.gateway.freshness.wanted[r.duty])
			continue
		}
		err := r.read(ctx, t)
		r.gateway.log.WithFields(log.Fields{"duty": r.String(), "rank": t.rank, "age": t.age.Milliseconds(), "from": t.at.String()}).Debug("store read")
		r.gateway.control.tell(ctx, storeAnswered{err})
		r.gateway.instruments.reads[r.duty].Inc(1)
		if err != nil {
			r.gateway.instruments.failed[r.duty].Inc(1)
			sleep(ctx, rest(t.rank))
		}
	}
	return ctx.Err()
}

// rest is the pause after a failed call. In an outage all entries would call at
// once and again and again; so the later ones in the order wait longer, and the
// first finds out soon that the store is back.
func rest(rank int) time.Duration {
	return min(storeRest*time.Duration(1+rank), storeRestMax)
}

// read watches from the revision that is known, or lists where none is or a watch
// has failed: it may have missed a change then.
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
	asked := time.Now()
	items, upTo, err := r.kind.List(ctx)
	if err == nil {
		r.unsure = false
		r.gateway.control.tell(ctx, r.listed(items, upTo, asked))
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
	asked := time.Now()
	changes, upTo, err := r.kind.Watch(ctx, t.at, wait)
	if err != nil {
		return err
	}
	if len(changes) == 0 && time.Since(asked) >= wait {
		// The store answers a watch without changes when its time is over, so
		// that nothing had changed until then.
		asked = asked.Add(wait)
	}
	r.gateway.control.tell(ctx, r.changed(changes, upTo, asked))
	return nil
}
