package pool

import (
	"math"
	"math/rand/v2"
	"time"
)

// notice is the leaving notice of one incarnation of a target.
type hold struct {
	boot  uint64
	until time.Duration
}

// Pool balances the requests of one service over its targets and queues requests while
// no target has room.
type Pool[P Policy] struct {
	cfg    Config
	policy P
	rnd    *rand.Rand

	epoch    time.Time
	now      time.Duration // since epoch; never decreases
	members  []*Member
	byID     map[string]*Member
	holds    map[string]hold // leaving notices by target
	flights  map[uint64]*Member
	queue    queue
	curve    Curve
	gap      gap
	out      int     // number of ejected targets
	failSum  float64 // of the failure rates of all members
	arrivals int
	asked    time.Duration

	usable []*Member // reused by pick
	choice Choice    // reused by pick
}

// New returns a pool without targets.
func New[P Policy](cfg Config, policy P, rnd *rand.Rand) *Pool[P] {
	p := &Pool[P]{
		cfg:     cfg.withDefaults(),
		policy:  policy,
		rnd:     rnd,
		byID:    map[string]*Member{},
		holds:   map[string]hold{},
		flights: map[uint64]*Member{},
		queue:   queue{live: map[uint64]bool{}},
	}
	p.choice = Choice{Curve: &p.curve, Config: &p.cfg, Rand: rnd}
	return p
}

// setClock sets the pool's clock. When now steps back, the pool's clock continues from
// its last value. Otherwise pauses and leaving notices would last longer by the size of
// the step, and every deadline would appear to have passed.
func (p *Pool[P]) set(now time.Time) {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	at := now.Sub(p.epoch)
	if at < p.now {
		p.epoch = now.Add(-p.now)
		return
	}
	p.now = at
}

// RequestCounts returns the number of queued requests and of requests in flight.
func (p *Pool[P]) Len() (queued, inFlight int) {
	return p.queue.len(), len(p.flights)
}

// Submit dispatches, queues or refuses a request.
func (p *Pool[P]) Arrive(now time.Time, a Arrival, out []Action) []Action {
	p.set(now)
	p.arrivals++
	w := waiting{Arrival: a, due: p.due(a.Deadline)}
	if p.queue.len() == 0 {
		if next, done := p.place(a, out); done {
			return next
		}
	}
	if reason, wait := p.admit(w); reason != NoReason {
		return append(out, Action{Kind: Refuse, ID: a.ID, Reason: reason, RetryAfter: wait})
	}
	p.queue.push(w)
	return p.drain(out)
}

// dueTime converts a deadline to the pool's clock.
func (p *Pool[P]) due(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return math.MaxInt64
	}
	return deadline.Sub(p.epoch)
}

// Done processes the completion of a dispatched request. An unknown ID is ignored, because
// the request was cancelled before.
func (p *Pool[P]) Done(now time.Time, a Answer, out []Action) []Action {
	p.set(now)
	m := p.flights[a.ID]
	if m == nil {
		return out
	}
	delete(p.flights, a.ID)
	out = p.report(m, a.Load, len(m.runs), out)
	r := m.remove(a.ID, p.now)
	p.gap.done(p.now, p.queue.len() > 0, p.curve.Mean(p.cfg.Service))
	p.take(m, r, a.Kind)
	return p.drain(out)
}

// Cancel cancels a queued or dispatched request.
func (p *Pool[P]) Cancel(now time.Time, id uint64, out []Action) []Action {
	p.set(now)
	if p.queue.remove(id) {
		return p.drain(out)
	}
	return p.Done(now, Answer{ID: id, Kind: Cancelled}, out)
}

// pick returns the target that the policy chooses, or nil if the request has to wait.
// open reports whether any target can get new requests, now or later. The target in avoid
// is used only if there is no other.
func (p *Pool[P]) pick(avoid string) (m *Member, open bool) {
	p.usable = p.usable[:0]
	var avoided *Member
	for _, m := range p.members {
		if m.left {
			continue
		}
		p.watch(m)
		if m.out {
			open = true
			continue
		}
		if m.ID == avoid {
			avoided = m
			continue
		}
		open = true
		if m.blocked <= p.now {
			p.usable = append(p.usable, m)
		}
	}
	if !open && avoided != nil {
		open = true
		p.usable = append(p.usable, avoided)
	}
	if len(p.usable) == 0 {
		return nil, open
	}
	p.choice.Now = p.now
	p.choice.Members = p.usable
	p.choice.Keep = p.curve.Mean(p.cfg.Service)
	i := p.policy.Pick(&p.choice)
	if i < 0 {
		return nil, true
	}
	return p.usable[i], true
}

func (p *Pool[P]) dispatch(m *Member, id uint64, trial bool, out []Action) []Action {
	m.add(id, p.now, trial)
	p.flights[id] = m
	return append(out, Action{Kind: Dispatch, ID: id, Target: m.ID, Boot: m.Boot, Addr: m.Addr, Trial: trial})
}

// serveQueue refuses queued requests that would be late, then dispatches from the head of
// the queue while a target has room.
func (p *Pool[P]) drain(out []Action) []Action {
	out = p.refuseLate(out)
	for {
		w, ok := p.queue.head()
		if !ok {
			return out
		}
		next, done := p.place(w.Arrival, out)
		if !done {
			return out
		}
		p.queue.remove(w.ID)
		out = next
	}
}

// refuseLate refuses queued requests that can't get a response by their deadline.
func (p *Pool[P]) refuseLate(out []Action) []Action {
	for {
		w, ok := p.queue.late(p.now + p.need())
		if !ok {
			return out
		}
		out = append(out, Action{Kind: Refuse, ID: w.ID, Reason: DeadlineUp, RetryAfter: p.wait(w.Idempotent)})
	}
}

// tryDispatch dispatches the request, or refuses it if no target accepts new requests.
// done is false if the request has to wait.
func (p *Pool[P]) place(a Arrival, out []Action) (next []Action, done bool) {
	if m := p.trial(a); m != nil {
		return p.dispatch(m, a.ID, true, out), true
	}
	m, open := p.pick(a.Avoid)
	switch {
	case m != nil:
		return p.dispatch(m, a.ID, false, out), true
	case !open:
		return append(out, Action{Kind: Refuse, ID: a.ID, Reason: NoTarget, RetryAfter: p.cfg.TrialMax}), true
	}
	return out, false
}
