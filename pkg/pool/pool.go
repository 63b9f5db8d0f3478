package pool

import (
	"math"
	"math/rand/v2"
	"time"
)

type hold struct {
	boot  uint64
	until time.Duration
}

// Pool holds the targets of one service and the requests that wait for one.
type Pool[P Policy] struct {
	cfg    Config
	policy P
	rnd    *rand.Rand

	epoch    time.Time
	now      time.Duration // since epoch; never goes back
	members  []*Member
	byID     map[string]*Member
	holds    map[string]hold // targets that said they leave
	flights  map[uint64]*Member
	queue    queue
	curve    Curve
	gap      gap
	out      int
	failSum  float64
	arrivals int
	asked    time.Duration // last look for a target worth a probe

	usable []*Member // scratch
	choice Choice
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

// set moves the pool's clock. Where the clock that is passed in steps back, the
// pool's own goes on from where it was: else pauses and holds would last as
// much longer, and every deadline would seem to be over.
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

// Len returns the number of queued requests and of those in flight.
func (p *Pool[P]) Len() (queued, inFlight int) {
	return p.queue.len(), len(p.flights)
}

// Arrive dispatches the request, queues it, or refuses it at once.
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

func (p *Pool[P]) due(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return math.MaxInt64
	}
	return deadline.Sub(p.epoch)
}

// Done takes the end of a dispatched request. An unknown id is ignored: the
// request was given up before.
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

// Cancel takes back a queued request, or gives up a dispatched one.
func (p *Pool[P]) Cancel(now time.Time, id uint64, out []Action) []Action {
	p.set(now)
	if p.queue.remove(id) {
		return p.drain(out)
	}
	return p.Done(now, Answer{ID: id, Kind: Cancelled}, out)
}

// pick returns the target that the policy chooses, or nil to wait. open tells
// whether there is a target that may get new work at all.
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

// drain refuses what has become too late and dispatches from the head of the
// queue while a target has room.
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

func (p *Pool[P]) refuseLate(out []Action) []Action {
	for {
		w, ok := p.queue.late(p.now + p.need())
		if !ok {
			return out
		}
		out = append(out, Action{Kind: Refuse, ID: w.ID, Reason: DeadlineUp, RetryAfter: p.wait(w.Idempotent)})
	}
}

// place dispatches the request, or refuses it where no target may get new
// work. done is false when it has to wait.
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
