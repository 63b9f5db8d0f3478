package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// The store counts each call, and targets write their heartbeats to it all the
// time, so that a watch of them is answered at once. A watch by each entry
// would cost a call an event and entry. So the live entries have an order, and
// each reads when what it knows is older than its place in the order says: the
// first one keeps the others from ever having to. Where the first is dead, cut
// off or turned away by the store, the next one's turn comes by itself.
const (
	// targetPeriod is how old the list of targets gets before the first entry
	// reads it: with the beat that tells of it, well within the 2 s in which a
	// leaving target has to be known.
	targetPeriod = 550 * time.Millisecond
	// targetStep is how much later each further entry takes over.
	targetStep = 350 * time.Millisecond
	// configReaders is how many entries watch the configuration. A change
	// reaches the others from whichever sees it first.
	configReaders = 3
	// configWait is how long a watch of the configuration stays open.
	configWait = 8 * time.Second
	// readerTick is how often an entry looks whether it is its turn.
	readerTick = 50 * time.Millisecond
	// readTime bounds a call that the store answers at once.
	readTime = 1500 * time.Millisecond
	// storeRest is the pause after a call that failed.
	storeRest = 500 * time.Millisecond
)

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// turn is what a reader has to know of the control loop's state.
type turn struct {
	targets time.Duration // age of the list of targets
	rank    int           // this entry's place among the readers
	at      roster.Revision
}

// turnAsked is a reader's question.
type turnAsked struct {
	duty   string
	answer chan turn
}

func (m turnAsked) apply(now time.Time, c *control) {
	t := turn{rank: owner.Rank(c.readers(now), m.duty, c.gateway.self.Name), at: c.targets.At()}
	t.targets = now.Sub(later(c.confirmed, c.started))
	if c.confirmed.IsZero() && t.rank == 0 {
		t.targets = targetPeriod
	}
	m.answer <- t
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// turn asks the control loop.
func (c *control) turn(ctx context.Context, duty string) (t turn) {
	q := turnAsked{duty: duty, answer: make(chan turn, 1)}
	c.tell(ctx, q)
	select {
	case t = <-q.answer:
	case <-ctx.Done():
	}
	return t
}

// targetReader reads the targets when it is this entry's turn.
type targetReader struct {
	gateway *Gateway
	kind    platform.Kind[slot.Target]
	listed  bool
}

func newTargetReader(g *Gateway) *targetReader {
	return &targetReader{gateway: g, kind: g.store.Targets()}
}

func (r *targetReader) String() string { return "targets" }

// Serve runs until ctx ends.
func (r *targetReader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		t := r.gateway.control.turn(ctx, "targets")
		if t.targets < targetPeriod+time.Duration(t.rank)*targetStep {
			sleep(ctx, readerTick)
			continue
		}
		err := r.read(ctx, t.at)
		r.gateway.control.tell(ctx, storeAnswered{err})
		if err != nil {
			sleep(ctx, storeRest)
		}
	}
	return ctx.Err()
}

func (r *targetReader) read(ctx context.Context, at roster.Revision) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	asked := time.Now()
	if at > 0 {
		changes, upTo, err := r.kind.Watch(ctx, at, time.Millisecond)
		if err == nil {
			r.gateway.control.tell(ctx, targetsChanged{changes, upTo, asked})
			return nil
		}
		if !errors.Is(err, platform.ErrHistory) {
			return err
		}
	}
	items, upTo, err := r.kind.List(ctx)
	if err == nil {
		r.gateway.control.tell(ctx, targetsListed{items, upTo, asked})
	}
	return err
}

// configReader watches the configuration while this entry is one of its
// readers.
type configReader struct {
	gateway *Gateway
	kind    platform.Kind[[]byte]
	at      roster.Revision
}

func newConfigReader(g *Gateway) *configReader {
	return &configReader{gateway: g, kind: g.store.Configs()}
}

func (r *configReader) String() string { return "configuration" }

// Serve runs until ctx ends.
func (r *configReader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.gateway.control.turn(ctx, "configuration").rank >= configReaders {
			r.at = 0
			sleep(ctx, readerTick)
			continue
		}
		if err := r.read(ctx); err != nil && ctx.Err() == nil {
			r.gateway.log.WithError(err).Debug("configuration not read")
			sleep(ctx, storeRest)
		}
	}
	return ctx.Err()
}

func (r *configReader) read(ctx context.Context) (err error) {
	if r.at == 0 {
		return r.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, configWait+readTime)
	defer cancel()
	changes, at, err := r.kind.Watch(ctx, r.at, configWait)
	if err != nil {
		r.at = 0
		return err
	}
	for _, c := range changes {
		if !c.Deleted {
			r.gateway.control.tell(ctx, configRead{c.Value})
		}
	}
	r.at = max(r.at, at)
	return nil
}

func (r *configReader) list(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	items, at, err := r.kind.List(ctx)
	r.gateway.control.tell(ctx, storeAnswered{err})
	if err != nil {
		return err
	}
	for _, it := range items {
		r.gateway.control.tell(ctx, configRead{it.Value})
	}
	r.at = at
	return nil
}

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
	ctx, cancel := context.WithTimeout(ctx, 2*readTime)
	defer cancel()
	if err := e.gateway.store.Enter(ctx, e.gateway.self); err != nil {
		return err
	}
	items, _, err := e.gateway.store.Entries().List(ctx)
	if err != nil {
		return err
	}
	e.gateway.control.tell(ctx, entriesListed{items})
	return nil
}

func parseConfig(raw []byte) (route.Config, error) {
	return platform.ParseConfig(raw)
}
