package slot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// Book holds the targets of one service and the requests that want one.
type Book struct {
	cfg     Config
	rnd     *rand.Rand
	members map[string]*member
	order   []*member // by id
	absent  absences
	flights map[uint64]*flight
	seeking map[uint64]*seeker
	queue   []*seeker // waiting, in the order in which they are served
	usual   usuals
	mean    float64 // pace over all targets
	words   int     // that the mean is taken over
	knee    float64 // how much longer work takes at a crowded target
	view    survey  // of the targets, when they were last looked at
	warmup  Warmup
	senders quota.Senders
	share   quota.Share // of each holder of a cold target
	limited int         // targets that name a limit
	scratch []candidate
}

// seeker is a request without a target.
type seeker struct {
	Request
	usual   time.Duration // time of its work at a target that is idle and not slow
	asked   int
	near    [choices]*member // the most promising targets when it asked
	pending int              // answers still to come
	until   time.Time        // end of the wait for them
	again   time.Time        // earliest next question while it waits
	waiting bool
}

// New returns a book without targets.
func New(cfg Config, rnd *rand.Rand) *Book {
	cfg = cfg.withDefaults()
	return &Book{
		cfg: cfg, rnd: rnd, mean: 1, knee: cfg.Knee,
		members: make(map[string]*member),
		absent:  make(absences),
		flights: make(map[uint64]*flight),
		seeking: make(map[uint64]*seeker),
		usual:   newUsuals(cfg.Usual),
	}
}

// Targets takes the whole list of targets. One that is missing gets no new
// work; its requests in flight go on. One that has started again under its old
// id is a new one: what was known of it (requests in flight, load, failures,
// that another target had its address) is not the new one's. Kept, requests that
// ended with the old one would fill its slots, and a crash would keep it out.
func (b *Book) Targets(now time.Time, list []Target, out []Action) []Action {
	old := b.members
	b.members = make(map[string]*member, len(list))
	b.order = b.order[:0]
	for _, t := range list {
		m := old[t.ID]
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
	for id, m := range old {
		if b.members[id] != m {
			b.absent.add(now, m)
		}
	}
	b.absent.expire(now)
	slices.SortFunc(b.order, func(a, c *member) int { return cmp.Compare(a.ID, c.ID) })
	b.countLimited()
	return b.serve(now, out)
}

// enter returns the member of a target that is new in the list, or back.
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

// Arrive takes a request.
func (b *Book) Arrive(now time.Time, r Request, out []Action) []Action {
	s := &seeker{Request: r, usual: b.usual.of(r.Class)}
	b.seeking[r.ID] = s
	if !b.anyOpen() || !b.housed(r.Homes) {
		return b.refuse(s, NoTarget, b.cfg.PauseMin, out)
	}
	out = b.checkLimits(now, out)
	if why, retry, ok := b.hopeless(now, s); ok {
		return b.refuse(s, why, retry, out)
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

// Replied takes the end of a question.
func (b *Book) Replied(now time.Time, r Reply, out []Action) []Action {
	m := b.members[r.Target]
	if m == nil {
		return out
	}
	m.asking = false
	b.learn(now, m, r)
	out = b.reported(now, m.askedAt, m, r.Report, true, out)
	askers := m.askers
	m.askers = nil
	for _, s := range askers {
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

// reported takes what a target has reported of itself in the response to a request or a
// question that was sent at that time.
func (b *Book) reported(now, sent time.Time, m *member, r Report, question bool, out []Action) []Action {
	if r.Leaving && m.left.IsZero() {
		m.left = now
		out = append(out, Action{Do: Leaves, Target: m.Target})
	}
	if r.Pause > 0 {
		m.paused = later(m.paused, now.Add(r.Pause))
		out = append(out, Action{Do: Pause, Target: m.Target, Retry: m.paused.Sub(now)})
	}
	if m.limit.take(now, sent, r, question) {
		m.limit.deal(now, b.senders)
		b.countLimited()
		out = append(out, Action{Do: Limit, Target: m.Target, Rate: m.limit.rate, Named: m.limit.named})
	}
	return out
}

// meanWords is how many words on load the mean pace is taken over: those of
// some tenths of a second, in which half of the targets change theirs.
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

// Done takes the end of a request at its target.
func (b *Book) Done(now time.Time, e End, out []Action) []Action {
	f := b.flights[e.ID]
	if f == nil {
		return out
	}
	delete(b.flights, e.ID)
	m := f.member
	m.inFlight--
	if e.Report.Loaded {
		load := e.Report.Load
		// Its own request may still be counted in its word.
		load.Running = max(load.Running-1, 0)
		b.tell(now, m, load)
	}
	out = b.reported(now, f.sent, m, e.Report, false, out)
	was := m.out
	b.judge(now, f, e)
	switch {
	case m.out && !was:
		out = append(out, Action{Do: Rest, Target: m.Target})
	case was && !m.out:
		out = append(out, Action{Do: Back, Target: m.Target})
	}
	return b.serve(now, out)
}

func (b *Book) judge(now time.Time, f *flight, e End) {
	m := f.member
	took := now.Sub(f.sent)
	switch e.Kind {
	case Served:
		m.praise()
		b.measure(now, f, took)
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

// measure learns from how long an answer took. Targets that were slow already
// when it was sent say little of the others.
func (b *Book) measure(now time.Time, f *flight, took time.Duration) {
	const weight = 1.0 / 32
	crowded := f.member.crowded(f.beside)
	plain := float64(f.usual) * f.pace
	switch {
	case f.pace > b.cfg.Slow:
	case crowded:
		ratio := float64(took) / plain
		b.knee += (min(max(ratio, 1), maxKnee) - b.knee) * weight
	default:
		b.usual.add(f.class, time.Duration(float64(took)/f.pace))
	}
	if crowded {
		plain *= b.knee
	}
	f.member.measure(now, took, time.Duration(plain))
}

// maxKnee bounds what one answer may say of a crowded target.
const maxKnee = 3

// mayEject keeps half of the targets in that may get work at all: a fault that all
// share would leave nothing to send to.
func (b *Book) mayEject() bool {
	out, all := 0, 0
	for _, m := range b.order {
		if m.leaves() {
			continue
		}
		all++
		if m.out {
			out++
		}
	}
	return 2*(out+1) <= all
}

// Cancel takes back a request that seeks a target.
func (b *Book) Cancel(now time.Time, id uint64, out []Action) []Action {
	s := b.seeking[id]
	if s == nil {
		return b.Done(now, End{ID: id, Kind: Cancelled}, out)
	}
	b.drop(s)
	return out
}

// Usual returns how long work of a class takes at a target that is idle and not
// slow.
func (b *Book) Usual(class string) time.Duration { return b.usual.of(class) }

// Size returns the number of targets.
func (b *Book) Size() int { return len(b.members) }

// Has reports whether there is such a target.
func (b *Book) Has(id string) bool { return b.members[id] != nil }

// Len returns the number of requests that seek a target and of those in flight.
func (b *Book) Len() (seeking, inFlight int) {
	return len(b.seeking), len(b.flights)
}

func (b *Book) drop(s *seeker) {
	delete(b.seeking, s.ID)
	if s.waiting {
		s.waiting = false
		b.queue = slices.DeleteFunc(b.queue, func(q *seeker) bool { return q == s })
	}
}

func (b *Book) refuse(s *seeker, r Reason, retry time.Duration, out []Action) []Action {
	b.drop(s)
	return append(out, Action{Do: Refuse, ID: s.ID, Reason: r, Retry: retry})
}

func (b *Book) send(now time.Time, s *seeker, m *member, out []Action) []Action {
	b.drop(s)
	pace := m.estimate(now, b.mean, &b.cfg)
	beside := m.busy(now, &b.cfg)
	why := Why{
		InFlight: beside, Told: m.loads, Pace: m.pace, Age: now.Sub(m.told), Asked: s.asked, Waited: now.Sub(s.Arrived),
		Expected: m.expected(now, s.usual, pace, b.knee, &b.cfg),
	}
	m.inFlight++
	m.ration.Sent(now)
	m.limit.ration.Sent(now)
	b.flights[s.ID] = &flight{member: m, sent: now, beside: beside, pace: pace, class: s.Class, usual: s.usual}
	return append(out, Action{Do: Send, ID: s.ID, Target: m.Target, Why: why})
}
