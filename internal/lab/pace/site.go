package pace

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is one attempt of a caller.
type request struct {
	at    time.Duration // arrival of this attempt at the entry
	first time.Duration // arrival of the caller's first attempt at the entry
	work  float64       // seconds on an idle target at pace 1
	entry int
	retry int // attempts before this one
	over  bool
}

// simulator holds the state of one run.
type site struct {
	clock
	shape    Shape
	way      way
	rnd      *rand.Rand
	requests []request
	targets  []target
	entries  []chooser
	open     int // requests that have not ended
	length   time.Duration
	stat     stat
}

// run simulates arrivals at load, a share of the capacity, for a length of virtual
// time. It returns when all requests have ended.
func run(s Shape, p way, load float64, length time.Duration, seed uint64) stat {
	m := &site{shape: s, way: p, rnd: rand.New(rand.NewPCG(seed, 1)), length: length, stat: newStat(length)}
	m.build(seed)
	m.draw(load, length, rand.New(rand.NewPCG(seed, 2)))
	for m.open > 0 && m.events.Len() > 0 {
		e := m.events.Pop()
		m.now = e.at
		m.step(e)
	}
	return m.stat
}

// setUp creates the targets and the entries.
func (m *site) build(seed uint64) {
	m.targets = make([]target, m.shape.Targets)
	for i := range m.targets {
		t := &m.targets[i]
		t.place = i % m.shape.Places
		t.change(m.rnd, m.shape)
		m.in(time.Duration(m.rnd.Int64N(int64(m.shape.Change))), event{kind: changes, where: i})
	}
	for i := range m.shape.Entries {
		m.entries = append(m.entries, m.way.build(m, i, rand.New(rand.NewPCG(seed, uint64(10+i)))))
		if m.way.poll > 0 {
			m.in(m.way.poll*time.Duration(i)/time.Duration(m.shape.Entries), event{kind: polled, where: i})
		}
	}
}

// generateRequests schedules the first attempts of all callers. They depend only
// on the seed, so all policies get the same ones.
func (m *site) draw(load float64, length time.Duration, rnd *rand.Rand) {
	const sigma = 0.3 // of the logarithm of the service time
	rate := load * m.shape.capacity()
	for seconds := 0.0; ; {
		seconds += rnd.ExpFloat64() / rate
		if seconds >= length.Seconds() {
			return
		}
		serviceTime := m.shape.Work.Seconds() * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
		arrival := time.Duration(seconds * float64(time.Second))
		m.add(request{at: arrival, first: arrival, work: serviceTime, entry: m.way.meets(m.shape, rnd)})
	}
}

func (m *site) add(r request) {
	m.requests = append(m.requests, r)
	m.open++
	m.in(r.at-m.now, event{kind: arrives, what: len(m.requests) - 1})
}

func (m *site) step(e event) {
	switch e.kind {
	case arrives:
		m.stat.attempts++
		m.entries[m.requests[e.what].entry].arrive(e.what)
	case asked:
		t := &m.targets[e.what]
		m.in(m.hop(e.where, e.what), event{kind: replied, what: e.what, where: e.where, load: t.load()})
	case replied:
		m.entries[e.where].replied(e.what, e.load)
	case reaches:
		m.reach(e)
	case finished:
		m.finish(e)
	case returns:
		m.entries[m.requests[e.what].entry].done(e.what, e.where, e.load, e.shed)
		if !e.shed {
			m.answer(e.what)
		}
	case changes:
		t := &m.targets[e.where]
		t.advance(m.now, m.shape)
		t.change(m.rnd, m.shape)
		m.plan(e.where)
		m.in(m.shape.Change, event{kind: changes, where: e.where})
	case ticked:
		m.entries[e.where].tick()
	case polled:
		for i := range m.targets {
			m.ask(e.where, i)
		}
		m.in(m.way.poll, e)
	}
}

// networkDelay returns the one-way delay between an entry and a target.
func (m *site) hop(entry, t int) time.Duration {
	if entry%m.shape.Places == m.targets[t].place {
		return m.shape.Near
	}
	return m.shape.Far
}

func (m *site) ask(entry, t int) {
	m.stat.questions++
	m.in(m.hop(entry, t), event{kind: asked, what: t, where: entry})
}

func (m *site) send(r, t int) {
	m.in(m.hop(m.requests[r].entry, t), event{kind: reaches, what: r, where: t})
}

// arriveAtTarget starts or queues a request, or refuses it if the queue is full.
func (m *site) reach(e event) {
	t := &m.targets[e.where]
	r := &m.requests[e.what]
	t.advance(m.now, m.shape)
	j := work{request: e.what, entry: r.entry, left: r.work}
	switch {
	case len(t.running) < m.shape.Slots:
		t.running = append(t.running, j)
	case len(t.waiting) < m.shape.Queue:
		t.waiting = append(t.waiting, j)
	default:
		m.back(j, e.where, true)
	}
	m.plan(e.where)
}

// sendResponse sends a response with the target's load to the entry.
func (m *site) back(j work, t int, shed bool) {
	m.in(m.hop(j.entry, t), event{kind: returns, what: j.request, where: t, load: m.targets[t].load(), shed: shed})
}

// scheduleFinish schedules the next end of a request at a target and invalidates
// the one scheduled before.
func (m *site) plan(i int) {
	t := &m.targets[i]
	t.gen++
	if delay, ok := t.next(m.shape); ok {
		m.in(delay, event{kind: finished, where: i, gen: t.gen})
	}
}

// finishWork responds to the requests that are finished and starts queued ones.
func (m *site) finish(e event) {
	t := &m.targets[e.where]
	if e.gen != t.gen {
		return
	}
	t.advance(m.now, m.shape)
	const tolerance = 1e-9 // seconds
	var unfinished []work
	for _, j := range t.running {
		if j.left > tolerance {
			unfinished = append(unfinished, j)
			continue
		}
		defer m.back(j, e.where, false)
	}
	t.running = unfinished
	for len(t.running) < m.shape.Slots && len(t.waiting) > 0 {
		t.running = append(t.running, t.waiting[0])
		t.waiting = t.waiting[1:]
	}
	m.plan(e.where)
}

// recordServed ends a request that a target served. The caller gets no credit if
// the response came after the deadline.
func (m *site) answer(id int) {
	r := &m.requests[id]
	if r.over {
		return
	}
	r.over = true
	m.open--
	latency := m.now + 2*m.shape.Caller - r.first
	switch {
	case m.now-r.at > m.shape.Deadline:
		m.stat.add(r.first, 0)
	case latency <= m.shape.Objective:
		m.stat.add(r.first, 1)
	default:
		m.stat.add(r.first, m.shape.Late)
	}
}

// retryOrFail ends an attempt that was refused. Its caller makes another attempt
// after the given time, if it has retries left.
func (m *site) refuse(id int, retryAfter time.Duration) {
	r := &m.requests[id]
	if r.over {
		return
	}
	r.over = true
	m.open--
	if r.retry >= m.shape.Retries {
		m.stat.add(r.first, 0)
		return
	}
	next := *r
	next.over, next.retry = false, r.retry+1
	next.at = m.now + 2*m.shape.Caller + retryAfter
	m.add(next)
}
