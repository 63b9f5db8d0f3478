package pace

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is one attempt of a caller.
type request struct {
	at    time.Duration // of this attempt, at the entry
	first time.Duration // of the caller's first one
	work  float64       // seconds
	entry int
	retry int
	over  bool
}

// site is one run.
type site struct {
	clock
	shape    Shape
	way      way
	rnd      *rand.Rand
	requests []request
	targets  []target
	entries  []chooser
	open     int
	length   time.Duration
	stat     stat
}

// run plays so many seconds of arrivals at a share of the capacity.
func run(s Shape, w way, load float64, length time.Duration, seed uint64) stat {
	m := &site{shape: s, way: w, rnd: rand.New(rand.NewPCG(seed, 1)), length: length, stat: newStat(length)}
	m.build(seed)
	m.draw(load, length, rand.New(rand.NewPCG(seed, 2)))
	for m.open > 0 && m.events.Len() > 0 {
		e := m.events.Pop()
		m.now = e.at
		m.step(e)
	}
	return m.stat
}

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

// draw makes the first attempts. They depend on the seed only, so that all ways
// meet the same ones.
func (m *site) draw(load float64, length time.Duration, rnd *rand.Rand) {
	const spread = 0.3
	rate := load * m.shape.capacity()
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / rate
		if at >= length.Seconds() {
			return
		}
		work := m.shape.Work.Seconds() * math.Exp(spread*rnd.NormFloat64()-spread*spread/2)
		when := time.Duration(at * float64(time.Second))
		m.add(request{at: when, first: when, work: work, entry: m.way.meets(m.shape, rnd)})
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

// hop is the time from an entry to a target, one way.
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

func (m *site) reach(e event) {
	t := &m.targets[e.where]
	r := &m.requests[e.what]
	t.advance(m.now, m.shape)
	w := work{request: e.what, entry: r.entry, left: r.work}
	switch {
	case len(t.running) < m.shape.Slots:
		t.running = append(t.running, w)
	case len(t.waiting) < m.shape.Queue:
		t.waiting = append(t.waiting, w)
	default:
		m.back(w, e.where, true)
	}
	m.plan(e.where)
}

func (m *site) back(w work, t int, shed bool) {
	m.in(m.hop(w.entry, t), event{kind: returns, what: w.request, where: t, load: m.targets[t].load(), shed: shed})
}

// plan sets the next end of a target's work.
func (m *site) plan(i int) {
	t := &m.targets[i]
	t.gen++
	if in, ok := t.next(m.shape); ok {
		m.in(in, event{kind: finished, where: i, gen: t.gen})
	}
}

func (m *site) finish(e event) {
	t := &m.targets[e.where]
	if e.gen != t.gen {
		return
	}
	t.advance(m.now, m.shape)
	const done = 1e-9
	var on []work
	for _, w := range t.running {
		if w.left > done {
			on = append(on, w)
			continue
		}
		defer m.back(w, e.where, false)
	}
	t.running = on
	for len(t.running) < m.shape.Slots && len(t.waiting) > 0 {
		t.running = append(t.running, t.waiting[0])
		t.waiting = t.waiting[1:]
	}
	m.plan(e.where)
}

// answer ends a request that a target served.
func (m *site) answer(id int) {
	r := &m.requests[id]
	if r.over {
		return
	}
	r.over = true
	m.open--
	took := m.now + 2*m.shape.Caller - r.first
	switch {
	case m.now-r.at > m.shape.Deadline:
		m.stat.add(r.first, 0)
	case took <= m.shape.Objective:
		m.stat.add(r.first, 1)
	default:
		m.stat.add(r.first, m.shape.Late)
	}
}

// refuse ends an attempt without an answer. Its caller may come back.
func (m *site) refuse(id int, retry time.Duration) {
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
	again := *r
	again.over, again.retry = false, r.retry+1
	again.at = m.now + 2*m.shape.Caller + retry
	m.add(again)
}
