package pool

import (
	"math"
	"math/rand/v2"
	"time"
)

// notice is the leaving notice of one incarnation of a target.
type notice struct {
	boot  uint64
	until time.Duration
}

// Pool balances the requests of one service over its targets and queues requests while
// no target has room.
type Pool[P Policy] struct {
	cfg    Config
	policy P
	rnd    *rand.Rand

	timeOrigin     time.Time
	now            time.Duration // since timeOrigin; never decreases
	members        []*Member
	byID           map[string]*Member
	notices        map[string]notice // leaving notices by target
	inFlight       map[uint64]*Member
	queue          queue
	latencies      LatencyDistribution
	queueInterval  queueInterval
	ejected        int     // number of ejected targets
	failureRateSum float64 // of the failure rates of all members
	arrivals       int
	lastProbeScan  time.Duration

	candidates []*Member // reused by pick
	pickInput  PickInput // reused by pick
}

// New returns a pool without targets.
func New[P Policy](cfg Config, policy P, rnd *rand.Rand) *Pool[P] {
	p := &Pool[P]{
		cfg:      cfg.withDefaults(),
		policy:   policy,
		rnd:      rnd,
		byID:     map[string]*Member{},
		notices:  map[string]notice{},
		inFlight: map[uint64]*Member{},
		queue:    queue{queued: map[uint64]bool{}},
	}
	p.pickInput = PickInput{Latencies: &p.latencies, Config: &p.cfg, Rand: rnd}
	return p
}

// setClock sets the pool's clock. When now steps back, the pool's clock continues from
// its last value. Otherwise pauses and leaving notices would last longer by the size of
// the step, and every deadline would appear to have passed.
func (p *Pool[P]) setClock(now time.Time) {
	if p.timeOrigin.IsZero() {
		p.timeOrigin = now
	}
	at := now.Sub(p.timeOrigin)
	if at < p.now {
		p.timeOrigin = now.Add(-p.now)
		return
	}
	p.now = at
}

// RequestCounts returns the number of queued requests and of requests in flight.
func (p *Pool[P]) RequestCounts() (queued, inFlight int) {
	return p.queue.len(), len(p.inFlight)
}

// Submit dispatches, queues or refuses a request.
func (p *Pool[P]) Submit(now time.Time, a Arrival, out []Action) []Action {
	p.setClock(now)
	p.arrivals++
	w := queuedRequest{Arrival: a, due: p.dueTime(a.Deadline)}
	if p.queue.len() == 0 {
		if next, done := p.tryDispatch(a, out); done {
			return next
		}
	}
	if reason, wait := p.admit(w); reason != NoRefusal {
		return append(out, Action{Kind: Refuse, ID: a.ID, Reason: reason, RetryAfter: wait})
	}
	p.queue.push(w)
	return p.serveQueue(out)
}

// dueTime converts a deadline to the pool's clock.
func (p *Pool[P]) dueTime(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return math.MaxInt64
	}
	return deadline.Sub(p.timeOrigin)
}

// Done processes the completion of a dispatched request. An unknown ID is ignored, because
// the request was cancelled before.
func (p *Pool[P]) Done(now time.Time, c Completion, out []Action) []Action {
	p.setClock(now)
	m := p.inFlight[c.ID]
	if m == nil {
		return out
	}
	delete(p.inFlight, c.ID)
	out = p.applyLoad(m, c.Load, len(m.dispatches), out)
	d := m.removeDispatch(c.ID, p.now)
	p.queueInterval.observe(p.now, p.queue.len() > 0, p.latencies.Mean(p.cfg.InitialServiceTime))
	p.applyOutcome(m, d, c.Outcome)
	return p.serveQueue(out)
}

// Cancel cancels a queued or dispatched request.
func (p *Pool[P]) Cancel(now time.Time, id uint64, out []Action) []Action {
	p.setClock(now)
	if p.queue.remove(id) {
		return p.serveQueue(out)
	}
	return p.Done(now, Completion{ID: id, Outcome: Cancelled}, out)
}

// pick returns the target that the policy chooses, or nil if the request has to wait.
// open reports whether any target can get new requests, now or later. The target in avoid
// is used only if there is no other.
func (p *Pool[P]) pick(avoid string) (m *Member, open bool) {
	p.candidates = p.candidates[:0]
	var avoided *Member
	for _, m := range p.members {
		if m.excluded {
			continue
		}
		p.ejectIfStuck(m)
		if m.ejected {
			open = true
			continue
		}
		if m.ID == avoid {
			avoided = m
			continue
		}
		open = true
		if m.cooldownUntil <= p.now {
			p.candidates = append(p.candidates, m)
		}
	}
	if !open && avoided != nil {
		open = true
		p.candidates = append(p.candidates, avoided)
	}
	if len(p.candidates) == 0 {
		return nil, open
	}
	p.pickInput.Now = p.now
	p.pickInput.Members = p.candidates
	p.pickInput.LoadHalfLife = p.latencies.Mean(p.cfg.InitialServiceTime)
	i := p.policy.Pick(&p.pickInput)
	if i < 0 {
		return nil, true
	}
	return p.candidates[i], true
}

func (p *Pool[P]) dispatch(m *Member, id uint64, trial bool, out []Action) []Action {
	m.addDispatch(id, p.now, trial)
	p.inFlight[id] = m
	return append(out, Action{Kind: Dispatch, ID: id, Target: m.ID, Boot: m.Boot, Addr: m.Addr, Trial: trial})
}

// serveQueue refuses queued requests that would be late, then dispatches from the head of
// the queue while a target has room.
func (p *Pool[P]) serveQueue(out []Action) []Action {
	out = p.refuseLate(out)
	for {
		w, ok := p.queue.head()
		if !ok {
			return out
		}
		next, done := p.tryDispatch(w.Arrival, out)
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
		w, ok := p.queue.popLate(p.now + p.expectedServiceTime())
		if !ok {
			return out
		}
		out = append(out, Action{Kind: Refuse, ID: w.ID, Reason: DeadlineNear, RetryAfter: p.expectedWait(w.Idempotent)})
	}
}

// tryDispatch dispatches the request, or refuses it if no target accepts new requests.
// done is false if the request has to wait.
func (p *Pool[P]) tryDispatch(a Arrival, out []Action) (next []Action, done bool) {
	if m := p.dueTrial(a); m != nil {
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
