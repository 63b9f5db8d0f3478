package pace

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is one attempt of a caller.
type request struct {
	arrival      time.Duration // arrival of this attempt at the entry
	firstArrival time.Duration // arrival of the caller's first attempt at the entry
	serviceTime  float64       // seconds on an idle target at pace 1
	entry        int
	retries      int // attempts before this one
	ended        bool
}

// simulator holds the state of one run.
type simulator struct {
	clock
	shape        Shape
	policy       policy
	rnd          *rand.Rand
	requests     []request
	targets      []target
	entries      []chooser
	openRequests int // requests that have not ended
	length       time.Duration
	stats        stats
}

// run simulates arrivals at load, a share of the capacity, for a length of virtual
// time. It returns when all requests have ended.
func run(s Shape, p policy, load float64, length time.Duration, seed uint64) stats {
	m := &simulator{shape: s, policy: p, rnd: rand.New(rand.NewPCG(seed, 1)), length: length, stats: newStats(length)}
	m.setUp(seed)
	m.generateRequests(load, length, rand.New(rand.NewPCG(seed, 2)))
	for m.openRequests > 0 && m.events.Len() > 0 {
		e := m.events.Pop()
		m.now = e.at
		m.handleEvent(e)
	}
	return m.stats
}

// setUp creates the targets and the entries.
func (m *simulator) setUp(seed uint64) {
	m.targets = make([]target, m.shape.Targets)
	for i := range m.targets {
		t := &m.targets[i]
		t.place = i % m.shape.Places
		t.drawPace(m.rnd, m.shape)
		m.schedule(time.Duration(m.rnd.Int64N(int64(m.shape.PaceTime))), event{kind: paceChange, node: i})
	}
	for i := range m.shape.Entries {
		m.entries = append(m.entries, m.policy.newChooser(m, i, rand.New(rand.NewPCG(seed, uint64(10+i)))))
		if m.policy.pollInterval > 0 {
			m.schedule(m.policy.pollInterval*time.Duration(i)/time.Duration(m.shape.Entries), event{kind: pollDue, node: i})
		}
	}
}

// generateRequests schedules the first attempts of all callers. They don't depend
// on how targets are chosen. Policies with the same chooseEntry get the same ones;
// another chooseEntry may draw another number of random values, which changes the
// times of the attempts that follow.
func (m *simulator) generateRequests(load float64, length time.Duration, rnd *rand.Rand) {
	const sigma = 0.3 // of the logarithm of the service time
	rate := load * m.shape.capacity()
	for seconds := 0.0; ; {
		seconds += rnd.ExpFloat64() / rate
		if seconds >= length.Seconds() {
			return
		}
		serviceTime := m.shape.ServiceTime.Seconds() * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
		arrival := time.Duration(seconds * float64(time.Second))
		m.addRequest(request{arrival: arrival, firstArrival: arrival, serviceTime: serviceTime, entry: m.policy.chooseEntry(m.shape, rnd)})
	}
}

func (m *simulator) addRequest(r request) {
	m.requests = append(m.requests, r)
	m.openRequests++
	m.schedule(r.arrival-m.now, event{kind: requestArrival, subject: len(m.requests) - 1})
}

func (m *simulator) handleEvent(e event) {
	switch e.kind {
	case requestArrival:
		m.stats.attempts++
		m.entries[m.requests[e.subject].entry].handleArrival(e.subject)
	case probeArrival:
		t := &m.targets[e.subject]
		m.schedule(m.networkDelay(e.node, e.subject), event{kind: probeResponse, subject: e.subject, node: e.node, load: t.report()})
	case probeResponse:
		m.entries[e.node].handleProbeResponse(e.subject, e.load)
	case targetArrival:
		m.arriveAtTarget(e)
	case workFinished:
		m.finishWork(e)
	case responseArrival:
		m.entries[m.requests[e.subject].entry].handleResponse(e.subject, e.node, e.load, e.shed)
		if !e.shed {
			m.recordServed(e.subject)
		}
	case paceChange:
		t := &m.targets[e.node]
		t.advance(m.now, m.shape)
		t.drawPace(m.rnd, m.shape)
		m.scheduleFinish(e.node)
		m.schedule(m.shape.PaceTime, event{kind: paceChange, node: e.node})
	case tickDue:
		m.entries[e.node].handleTick()
	case pollDue:
		for i := range m.targets {
			m.sendProbe(e.node, i)
		}
		m.schedule(m.policy.pollInterval, e)
	}
}

// networkDelay returns the one-way delay between an entry and a target.
func (m *simulator) networkDelay(entry, t int) time.Duration {
	if entry%m.shape.Places == m.targets[t].place {
		return m.shape.NearDelay
	}
	return m.shape.FarDelay
}

func (m *simulator) sendProbe(entry, t int) {
	m.stats.probes++
	m.schedule(m.networkDelay(entry, t), event{kind: probeArrival, subject: t, node: entry})
}

func (m *simulator) sendRequest(r, t int) {
	m.schedule(m.networkDelay(m.requests[r].entry, t), event{kind: targetArrival, subject: r, node: t})
}

// arriveAtTarget starts or queues a request, or refuses it if the queue is full.
func (m *simulator) arriveAtTarget(e event) {
	t := &m.targets[e.node]
	r := &m.requests[e.subject]
	t.advance(m.now, m.shape)
	j := job{request: e.subject, entry: r.entry, remaining: r.serviceTime}
	switch {
	case len(t.running) < m.shape.Slots:
		t.running = append(t.running, j)
	case len(t.waiting) < m.shape.QueueLimit:
		t.waiting = append(t.waiting, j)
	default:
		m.sendResponse(j, e.node, true)
	}
	m.scheduleFinish(e.node)
}

// sendResponse sends a response with the target's load to the entry.
func (m *simulator) sendResponse(j job, t int, shed bool) {
	m.schedule(m.networkDelay(j.entry, t), event{kind: responseArrival, subject: j.request, node: t, load: m.targets[t].report(), shed: shed})
}

// scheduleFinish schedules the next end of a request at a target and invalidates
// the one scheduled before.
func (m *simulator) scheduleFinish(i int) {
	t := &m.targets[i]
	t.generation++
	if delay, ok := t.nextFinish(m.shape); ok {
		m.schedule(delay, event{kind: workFinished, node: i, generation: t.generation})
	}
}

// finishWork responds to the requests that are finished and starts queued ones.
func (m *simulator) finishWork(e event) {
	t := &m.targets[e.node]
	if e.generation != t.generation {
		return
	}
	t.advance(m.now, m.shape)
	const tolerance = 1e-9 // seconds
	var unfinished []job
	for _, j := range t.running {
		if j.remaining > tolerance {
			unfinished = append(unfinished, j)
			continue
		}
		defer m.sendResponse(j, e.node, false)
	}
	t.running = unfinished
	for len(t.running) < m.shape.Slots && len(t.waiting) > 0 {
		t.running = append(t.running, t.waiting[0])
		t.waiting = t.waiting[1:]
	}
	m.scheduleFinish(e.node)
}

// recordServed ends a request that a target served. The caller gets no credit if
// the response came after the deadline.
func (m *simulator) recordServed(id int) {
	r := &m.requests[id]
	if r.ended {
		return
	}
	r.ended = true
	m.openRequests--
	latency := m.now + 2*m.shape.CallerDelay - r.firstArrival
	switch {
	case m.now-r.arrival > m.shape.Deadline:
		m.stats.add(r.firstArrival, 0)
	case latency <= m.shape.Objective:
		m.stats.add(r.firstArrival, 1)
	default:
		m.stats.add(r.firstArrival, m.shape.LateCredit)
	}
}

// retryOrFail ends an attempt that was refused. Its caller makes another attempt
// after the given time, if it has retries left.
func (m *simulator) retryOrFail(id int, retryAfter time.Duration) {
	r := &m.requests[id]
	if r.ended {
		return
	}
	r.ended = true
	m.openRequests--
	if r.retries >= m.shape.Retries {
		m.stats.add(r.firstArrival, 0)
		return
	}
	next := *r
	next.ended, next.retries = false, r.retries+1
	next.arrival = m.now + 2*m.shape.CallerDelay + retryAfter
	m.addRequest(next)
}
