package slot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// Balancer holds the targets of one service and the requests that are waiting for one.
type Book struct {
	cfg     Config
	rnd     *rand.Rand
	members map[string]*member
	order   []*member // by ID
	absent  absences
	flights map[uint64]*flight
	seeking map[uint64]*seeker
	queue   []*seeker // requests that no target can serve yet, in the order of compareQueued
	usual   usuals
	mean    float64 // over the last load reports of all targets
	words   int     // load reports that count in meanPace
	knee    float64 // measured increase of the service time at a crowded target
	view    survey  // of the targets, from the last scan
	warmup  Warmup
	senders quota.Senders
	share   quota.Share // share of a cold target's bound for each holder
	limited int         // targets that report a limit
	scratch []candidate
}

// pendingRequest is a request that has no target yet.
type seeker struct {
	Request
	usual   time.Duration // baseline of its class: at a target that is idle and not slow
	asked   int
	near    [choices]*member // the most promising targets when it sent its probes
	pending int              // probes that haven't been answered
	until   time.Time        // end of the wait for their answers
	again   time.Time        // earliest time of its next probes while it is queued
	waiting bool
}

// New returns a balancer without targets.
func New(cfg Config, rng *rand.Rand) *Book {
	cfg = cfg.withDefaults()
	return &Book{
		cfg: cfg, rnd: rng, mean: 1, knee: cfg.Knee,
		members: make(map[string]*member),
		absent:  make(absences),
		flights: make(map[uint64]*flight),
		seeking: make(map[uint64]*seeker),
		usual:   newUsuals(cfg.Usual),
	}
}

// SetTargets replaces the list of targets. A target that is missing from the list gets no
// new requests; its requests in flight continue. A target that has restarted under the same
// ID begins with a clean state: requests in flight, load, failures and a reused address
// belong to the old incarnation. Otherwise, requests that ended with the old incarnation
// would fill the slots of the new one, and a crash would keep it ejected.
func (b *Book) Targets(now time.Time, list []Target, out []Action) []Action {
	previous := b.members
	b.members = make(map[string]*member, len(list))
	b.order = b.order[:0]
	for _, t := range list {
		m := previous[t.ID]
		if m == nil || m.Born != t.Born {
			m = b.enter(now, t)
		}
		if m.Evacuated && !t.Evacuated {
			b.returns(now, m)
		}
		m.record(t)
		b.members[t.ID] = m
		b.order = append(b.order, m)
	}
	for id, m := range previous {
		if b.members[id] != m {
			b.absent.add(now, m)
		}
	}
	b.absent.expire(now)
	slices.SortFunc(b.order, func(a, c *member) int { return cmp.Compare(a.ID, c.ID) })
	b.countLimited()
	return b.serve(now, out)
}

// memberFor returns the member for a target that is new in the list or has come back to it.
func (b *Book) enter(now time.Time, t Target) *member {
	m := b.absent.take(t)
	if m == nil {
		m = newMember(t)
	}
	m.ration.Deal(now, b.senders, b.share)
	if m.limit.named {
		m.limit.deal(now, b.senders)
	}
	return m
}

// Submit accepts a request and dispatches, queues or refuses it, or probes targets for it.
func (b *Book) Arrive(now time.Time, r Request, out []Action) []Action {
	s := &seeker{Request: r, usual: b.usual.of(r.Class)}
	b.seeking[r.ID] = s
	if !b.anyOpen() || !b.housed(r.Homes) {
		return b.refuse(s, NoTarget, b.cfg.PauseMin, out)
	}
	out = b.checkLimits(now, out)
	if reason, retryAfter, ok := b.hopeless(now, s); ok {
		return b.refuse(s, reason, retryAfter, out)
	}
	if r.Hedge {
		return b.ask(now, s, out)
	}
	if len(b.queue) > 0 && b.crowded(now, s) {
		return b.refuse(s, Full, b.retry(s.usual), out)
	}
	if len(b.queue) > 0 || !b.room(now, s) {
		return b.wait(now, s, out)
	}
	return b.ask(now, s, out)
}

// ProbeDone handles the end of a probe.
func (b *Book) Replied(now time.Time, r Reply, out []Action) []Action {
	m := b.members[r.Target]
	if m == nil {
		return out
	}
	m.asking = false
	b.learn(now, m, r)
	out = b.reported(now, m.askedAt, m, r.Report, true, out)
	waiters := m.askers
	m.askers = nil
	for _, s := range waiters {
		if b.seeking[s.ID] != s || s.pending == 0 {
			continue
		}
		s.pending--
		if s.pending == 0 || r.Report.Loaded && b.ideal(now, m, s) {
			out = b.decide(now, s, out)
		}
	}
	return out
}

func (b *Book) learn(now time.Time, m *member, r Reply) {
	if r.Report.Loaded {
		b.tell(now, m, r.Report.Load)
	}
	m.mute = r.Well && !r.Report.Loaded
	if r.Warmth {
		m.cold = now.Add(r.Cold)
	}
	if !r.Well {
		m.closed = later(m.closed, now.Add(shedPause))
	}
}

// applyReport applies a target's report from the response to a request or a probe that was
// sent at the time sent.
func (b *Book) reported(now, sent time.Time, m *member, r Report, isProbe bool, out []Action) []Action {
	if r.Leaving && m.left.IsZero() {
		m.left = now
		out = append(out, Action{Do: Leaves, Target: m.Target})
	}
	if r.Pause > 0 {
		m.paused = later(m.paused, now.Add(r.Pause))
		out = append(out, Action{Do: Pause, Target: m.Target, Retry: m.paused.Sub(now)})
	}
	if m.limit.take(now, sent, r, isProbe) {
		m.limit.deal(now, b.senders)
		b.countLimited()
		out = append(out, Action{Do: Limit, Target: m.Target, Rate: m.limit.rate, Named: m.limit.named})
	}
	return out
}

// maxMeanSamples is the number of load reports that meanPace covers: those of a few tenths
// of a second, in which half of the targets change their pace.
const meanWords = 64

func (b *Book) tell(now time.Time, m *member, l Load) {
	m.tell(now, l)
	b.words = min(b.words+1, meanWords)
	b.mean += (l.Pace - b.mean) / float64(b.words)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Done handles the end of a request at its target.
func (b *Book) Done(now time.Time, e End, out []Action) []Action {
	d := b.flights[e.ID]
	if d == nil {
		return out
	}
	delete(b.flights, e.ID)
	m := d.member
	m.inFlight--
	if e.Report.Loaded {
		load := e.Report.Load
		// The target may still count this request in the load that it reports.
		load.Running = max(load.Running-1, 0)
		b.tell(now, m, load)
	}
	out = b.reported(now, d.sent, m, e.Report, false, out)
	wasEjected := m.out
	b.judge(now, d, e)
	switch {
	case m.out && !wasEjected:
		out = append(out, Action{Do: Rest, Target: m.Target})
	case wasEjected && !m.out:
		out = append(out, Action{Do: Back, Target: m.Target})
	}
	return b.serve(now, out)
}

func (b *Book) judge(now time.Time, d *flight, e End) {
	m := d.member
	latency := now.Sub(d.sent)
	switch e.Kind {
	case Served:
		m.praise()
		b.measure(now, d, latency)
	case Failed, Lost, TimedOut:
		m.blame(now, failWeight, &b.cfg)
	case Shed:
		m.blame(now, shedWeight, &b.cfg)
		m.closed = later(m.closed, now.Add(shedPause<<min(m.sheds, shedShift)))
		m.sheds++
	case Cancelled:
	}
	if e.Moved {
		m.moved = true
	}
	if !m.out && m.fails >= failsOut && b.mayEject() {
		m.eject(now, &b.cfg)
	}
}

// recordServiceTime updates the estimates from the latency of a response. Targets that were
// slow when the request was sent tell little about the others, so the shared estimates
// ignore them.
func (b *Book) measure(now time.Time, d *flight, latency time.Duration) {
	const weight = 1.0 / 32
	wasCrowded := d.member.crowded(d.beside)
	predicted := float64(d.usual) * d.pace
	switch {
	case d.pace > b.cfg.Slow:
	case wasCrowded:
		ratio := float64(latency) / predicted
		b.knee += (min(max(ratio, 1), maxKnee) - b.knee) * weight
	default:
		b.usual.add(d.class, time.Duration(float64(latency)/d.pace))
	}
	if wasCrowded {
		predicted *= b.knee
	}
	d.member.measure(now, latency, time.Duration(predicted))
}

// maxCrowdedSample bounds the effect of one response on crowdedFactor.
const maxKnee = 3

// canEject reports whether another target may be ejected. Half of the available targets
// always stay: a fault that all of them share would leave no target otherwise.
func (b *Book) mayEject() bool {
	ejected, available := 0, 0
	for _, m := range b.order {
		if m.leaves() {
			continue
		}
		available++
		if m.out {
			ejected++
		}
	}
	return 2*(ejected+1) <= available
}

// Cancel withdraws a request, whether it is pending or at a target.
func (b *Book) Cancel(now time.Time, id uint64, out []Action) []Action {
	s := b.seeking[id]
	if s == nil {
		return b.Done(now, End{ID: id, Kind: Cancelled}, out)
	}
	b.drop(s)
	return out
}

// ServiceTime returns the baseline service time of a class: at a target that is idle and not
// slow.
func (b *Book) Usual(class string) time.Duration { return b.usual.of(class) }

// NumTargets returns the number of targets.
func (b *Book) Size() int { return len(b.members) }

// HasTarget reports whether the list contains the target with this ID.
func (b *Book) Has(id string) bool { return b.members[id] != nil }

// RequestCounts returns the numbers of pending requests and of requests in flight.
func (b *Book) Len() (pending, inFlight int) {
	return len(b.seeking), len(b.flights)
}

func (b *Book) drop(s *seeker) {
	delete(b.seeking, s.ID)
	if s.waiting {
		s.waiting = false
		b.queue = slices.DeleteFunc(b.queue, func(q *seeker) bool { return q == s })
	}
}

func (b *Book) refuse(s *seeker, reason Reason, retryAfter time.Duration, out []Action) []Action {
	b.drop(s)
	return append(out, Action{Do: Refuse, ID: s.ID, Reason: reason, Retry: retryAfter})
}

func (b *Book) send(now time.Time, s *seeker, m *member, out []Action) []Action {
	b.drop(s)
	pace := m.estimate(now, b.mean, &b.cfg)
	concurrent := m.busy(now, &b.cfg)
	decision := Why{
		InFlight: concurrent, Told: m.loads, Pace: m.pace, Age: now.Sub(m.told), Asked: s.asked, Waited: now.Sub(s.Arrived),
		Expected: m.expected(now, s.usual, pace, b.knee, &b.cfg),
	}
	m.inFlight++
	m.ration.Sent(now)
	m.limit.ration.Sent(now)
	b.flights[s.ID] = &flight{member: m, sent: now, beside: concurrent, pace: pace, class: s.Class, usual: s.usual}
	return append(out, Action{Do: Send, ID: s.ID, Target: m.Target, Why: decision})
}
