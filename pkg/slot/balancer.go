package slot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// Balancer holds the targets of one service and the requests that are waiting for one.
type Balancer struct {
	config         Config
	rng            *rand.Rand
	members        map[string]*member
	sorted         []*member // by ID
	absent         absences
	dispatches     map[uint64]*dispatch
	pending        map[uint64]*pendingRequest
	queue          []*pendingRequest // requests that no target can serve yet, in the order of compareQueued
	serviceTimes   serviceTimes
	meanPace       float64   // over the last load reports of all targets
	meanSamples    int       // load reports that count in meanPace
	crowdedFactor  float64   // measured factor of the service time at a crowded target
	stats          loadStats // of the targets, from the last scan
	warmup         Warmup
	senders        quota.Senders
	coldShare      quota.Share // share of a cold target's bound for each holder
	limitedTargets int         // targets that report a limit
	scratch        []candidate
	probeLimit     probeLimit
	overload       *overload // nil without overload control
	// overloadRequired is whether overload control is on without requests that have accounts.
	overloadRequired bool
}

// pendingRequest is a request that has no target yet.
type pendingRequest struct {
	Request
	serviceTime   time.Duration // baseline of its class: at a target that is idle and not slow
	probeCount    int
	shortlist     [maxCandidates]*member // the most promising targets when it sent its probes
	outstanding   int                    // probes that haven't been answered
	probeDeadline time.Time              // end of the wait for their responses
	nextProbe     time.Time              // earliest time of its next probes while it is queued
	queued        bool
	// The following fields are used only under overload control.
	drain  *drainRate // of its regions
	region string     // key of its regions
	shared bool       // it is in the shared flow
	flow   *flow      // of its rank
	tag    float64    // virtual start time of its rank
	late   bool       // it can't meet its objective any more
	next   bool       // it is one of the first of its regions in the queue
}

// New returns a balancer without targets.
func New(cfg Config, rng *rand.Rand) *Balancer {
	cfg = cfg.withDefaults()
	return &Balancer{
		config: cfg, rng: rng, meanPace: 1, crowdedFactor: cfg.InitialCrowdedFactor,
		members:      make(map[string]*member),
		absent:       make(absences),
		dispatches:   make(map[uint64]*dispatch),
		pending:      make(map[uint64]*pendingRequest),
		serviceTimes: newServiceTimes(cfg.InitialServiceTime),
	}
}

// SetTargets replaces the list of targets. A target that is missing from the list gets no
// new requests; its requests in flight continue. A target that has restarted under the same
// ID begins with a clean state: requests in flight, load, failures and a reused address
// belong to the old incarnation. Otherwise, requests that ended with the old incarnation
// would fill the slots of the new one, and a crash would keep it ejected.
func (b *Balancer) SetTargets(now time.Time, list []Target, out []Action) []Action {
	previous := b.members
	b.members = make(map[string]*member, len(list))
	b.sorted = b.sorted[:0]
	for _, t := range list {
		m := previous[t.ID]
		if m == nil || m.StartedMillis != t.StartedMillis {
			m = b.memberFor(now, t)
		}
		if m.Evacuated && !t.Evacuated {
			b.evacuationEnded(now, m)
		}
		m.updateRecord(t)
		b.members[t.ID] = m
		b.sorted = append(b.sorted, m)
	}
	for id, m := range previous {
		if b.members[id] != m {
			b.absent.add(now, m)
		}
	}
	b.absent.expire(now)
	slices.SortFunc(b.sorted, func(a, c *member) int { return cmp.Compare(a.ID, c.ID) })
	b.countLimited()
	return b.serveQueue(now, out)
}

// memberFor returns the member for a target that is new in the list or has come back to it.
func (b *Balancer) memberFor(now time.Time, t Target) *member {
	m := b.absent.restore(t)
	if m == nil {
		m = newMember(t)
	}
	m.coldLimiter.Update(now, b.senders, b.coldShare)
	if m.limit.set {
		m.limit.updateShare(now, b.senders)
	}
	return m
}

// Submit accepts a request and dispatches, queues or refuses it, or probes targets for it.
func (b *Balancer) Submit(now time.Time, r Request, out []Action) []Action {
	b.estimateStale(now)
	p := &pendingRequest{Request: r, serviceTime: b.serviceTimes.forClass(r.Class), region: strings.Join(r.Regions, ",")}
	b.pending[r.ID] = p
	b.noteAccount(now, r)
	if !b.anyAvailable() || !b.anyInRegions(r.Regions) {
		return b.refuse(p, NoTarget, b.config.MinEjection, out)
	}
	out = b.probeLimits(now, out)
	if reason, retryAfter, ok := b.throttledPastObjective(now, p); ok {
		return b.refuse(p, reason, retryAfter, out)
	}
	if b.overload != nil {
		return b.submitFair(now, p, out)
	}
	if r.Hedge {
		return b.probe(now, p, out)
	}
	if len(b.queue) > 0 && b.queueTooLong(now, p) {
		return b.refuse(p, Full, b.retryDelay(p.serviceTime), out)
	}
	if len(b.queue) > 0 || !b.anyUsable(now, p) {
		return b.enqueue(now, p, out)
	}
	return b.probe(now, p, out)
}

// ProbeDone handles the end of a probe.
func (b *Balancer) ProbeDone(now time.Time, r ProbeResult, out []Action) []Action {
	b.estimateStale(now)
	m := b.members[r.Target]
	if m == nil {
		return out
	}
	m.probing = false
	b.applyProbeResult(now, m, r)
	out = b.applyReport(now, m.probedAt, m, r.Report, true, out)
	waiters := m.probeWaiters
	m.probeWaiters = nil
	for _, p := range waiters {
		if b.pending[p.ID] != p || p.outstanding == 0 {
			continue
		}
		p.outstanding--
		if p.outstanding == 0 || r.Report.HasLoad && b.ideal(now, m, p) {
			out = b.decide(now, p, out)
		}
	}
	return out
}

func (b *Balancer) applyProbeResult(now time.Time, m *member, r ProbeResult) {
	if r.Report.HasLoad {
		b.recordLoad(now, m, r.Report.Load)
	}
	m.omitsLoad = r.Healthy && !r.Report.HasLoad
	if r.ColdKnown {
		m.coldUntil = now.Add(r.ColdFor)
	}
	if !r.Healthy {
		m.cooldownUntil = latest(m.cooldownUntil, now.Add(shedCooldown))
	}
}

// applyReport applies a target's report from the response to a request or a probe that was
// sent at the time sent.
func (b *Balancer) applyReport(now, sent time.Time, m *member, r Report, isProbe bool, out []Action) []Action {
	if r.Leaving && m.leavingSince.IsZero() {
		m.leavingSince = now
		out = append(out, Action{Kind: NoteLeaving, Target: m.Target})
	}
	if r.Pause > 0 {
		m.pausedUntil = latest(m.pausedUntil, now.Add(r.Pause))
		out = append(out, Action{Kind: NotePause, Target: m.Target, RetryAfter: m.pausedUntil.Sub(now)})
	}
	if m.limit.update(now, sent, r, isProbe) {
		m.limit.updateShare(now, b.senders)
		b.countLimited()
		out = append(out, Action{Kind: NoteLimit, Target: m.Target, Rate: m.limit.rate, HasLimit: m.limit.set})
	}
	return out
}

// maxMeanSamples is the number of load reports that meanPace covers: those of a few tenths
// of a second, in which half of the targets change their pace.
const maxMeanSamples = 64

func (b *Balancer) recordLoad(now time.Time, m *member, l Load) {
	m.recordLoad(now, l)
	b.meanSamples = min(b.meanSamples+1, maxMeanSamples)
	b.meanPace += (l.Pace - b.meanPace) / float64(b.meanSamples)
	if b.overload != nil {
		b.overload.stale.add(now, m.reportedOther, b.meanSamples)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Done handles the end of a request at its target.
func (b *Balancer) Done(now time.Time, e Completion, out []Action) []Action {
	b.estimateStale(now)
	d := b.dispatches[e.ID]
	if d == nil {
		return out
	}
	delete(b.dispatches, e.ID)
	m := d.member
	m.inFlight--
	if e.Report.HasLoad {
		load := e.Report.Load
		// The target may still count this request in the load that it reports.
		load.Running = max(load.Running-1, 0)
		b.recordLoad(now, m, load)
	}
	out = b.applyReport(now, d.sent, m, e.Report, false, out)
	wasEjected := m.ejected
	b.applyOutcome(now, d, e)
	switch {
	case m.ejected && !wasEjected:
		out = append(out, Action{Kind: NoteEjected, Target: m.Target})
	case wasEjected && !m.ejected:
		out = append(out, Action{Kind: NoteReadmitted, Target: m.Target})
	}
	return b.serveQueue(now, out)
}

func (b *Balancer) applyOutcome(now time.Time, d *dispatch, e Completion) {
	m := d.member
	latency := now.Sub(d.sent)
	if b.overload != nil && e.Outcome != Shed {
		b.overload.shedding.add(false)
	}
	switch e.Outcome {
	case Served:
		m.recordSuccess()
		b.recordServiceTime(now, d, latency)
	case Failed, Lost, TimedOut:
		m.recordFailure(now, failWeight, &b.config)
	case Shed:
		b.recordShed(now, m, e.Report)
	case Cancelled:
	}
	if e.AddressReused {
		m.addressReused = true
	}
	if !m.ejected && m.failureScore >= ejectScore && b.canEject() {
		m.eject(now, &b.config)
	}
}

// recordServiceTime updates the estimates from the latency of a response. Targets that were
// slow when the request was sent tell little about the others, so the shared estimates
// ignore them.
func (b *Balancer) recordServiceTime(now time.Time, d *dispatch, latency time.Duration) {
	const weight = 1.0 / 32
	wasCrowded := d.member.crowded(d.concurrent)
	predicted := float64(d.serviceTime) * d.pace
	switch {
	case d.pace > b.config.SlowPace:
	case wasCrowded:
		ratio := float64(latency) / predicted
		b.crowdedFactor += (min(max(ratio, 1), maxCrowdedSample) - b.crowdedFactor) * weight
	default:
		b.serviceTimes.add(d.class, time.Duration(float64(latency)/d.pace))
	}
	if wasCrowded {
		predicted *= b.crowdedFactor
	}
	d.member.recordLatency(now, latency, time.Duration(predicted))
}

// maxCrowdedSample bounds the effect of one response on crowdedFactor.
const maxCrowdedSample = 3

// canEject reports whether another target may be ejected. Half of the available targets
// always stay: a fault that all of them share would leave no target otherwise.
func (b *Balancer) canEject() bool {
	ejected, available := 0, 0
	for _, m := range b.sorted {
		if m.excluded() {
			continue
		}
		available++
		if m.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= available
}

// Cancel withdraws a request, whether it is pending or at a target.
func (b *Balancer) Cancel(now time.Time, id uint64, out []Action) []Action {
	p := b.pending[id]
	if p == nil {
		return b.Done(now, Completion{ID: id, Outcome: Cancelled}, out)
	}
	b.remove(p)
	return out
}

// ServiceTime returns the baseline service time of a class: at a target that is idle and not
// slow.
func (b *Balancer) ServiceTime(class string) time.Duration { return b.serviceTimes.forClass(class) }

// NumTargets returns the number of targets.
func (b *Balancer) NumTargets() int { return len(b.members) }

// Targets returns the targets in the order of their IDs.
func (b *Balancer) Targets() (list []Target) {
	for _, m := range b.sorted {
		list = append(list, m.Target)
	}
	return list
}

// HasTarget reports whether the list contains the target with this ID.
func (b *Balancer) HasTarget(id string) bool { return b.members[id] != nil }

// RequestCounts returns the numbers of pending requests and of requests in flight.
func (b *Balancer) RequestCounts() (pending, inFlight int) {
	return len(b.pending), len(b.dispatches)
}

func (b *Balancer) remove(p *pendingRequest) {
	delete(b.pending, p.ID)
	if p.queued {
		p.queued = false
		b.queue = slices.DeleteFunc(b.queue, func(q *pendingRequest) bool { return q == p })
	}
}

func (b *Balancer) refuse(p *pendingRequest, reason Reason, retryAfter time.Duration, out []Action) []Action {
	b.remove(p)
	return append(out, Action{Kind: Refuse, ID: p.ID, Reason: reason, RetryAfter: retryAfter})
}

func (b *Balancer) dispatch(now time.Time, p *pendingRequest, m *member, out []Action) []Action {
	b.recordFairDispatch(now, p)
	b.remove(p)
	b.measureQueue(now)
	pace := m.estimatedPace(now, b.meanPace, &b.config)
	concurrent := m.totalInFlight(now, &b.config)
	decision := Decision{
		InFlight: concurrent, LoadKnown: m.loadKnown, Pace: m.pace, LoadAge: now.Sub(m.loadAt), Probed: p.probeCount, Waited: now.Sub(p.Arrived),
		Expected: m.expectedLatency(now, p.serviceTime, pace, b.crowdedFactor, &b.config),
	}
	m.inFlight++
	m.coldLimiter.RecordSent(now)
	m.limit.limiter.RecordSent(now)
	b.dispatches[p.ID] = &dispatch{member: m, sent: now, concurrent: concurrent, pace: pace, class: p.Class, serviceTime: p.serviceTime}
	return append(out, Action{Kind: Dispatch, ID: p.ID, Target: m.Target, Decision: decision})
}
