package pace

import (
	"math/rand/v2"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/pkg/slot"
)

// way is how targets are chosen, and where requests meet.
type way struct {
	name  string
	meets func(s Shape, rnd *rand.Rand) (entry int)
	poll  time.Duration // each entry asks all targets so often; 0 for never
	build func(m *site, entry int, rnd *rand.Rand) chooser
}

// chooser is an entry's part in a way.
type chooser interface {
	arrive(request int)
	replied(target int, l told)
	done(request, target int, l told, shed bool)
	tick()
}

// Where requests meet.
func atAny(s Shape, rnd *rand.Rand) int   { return rnd.IntN(s.Entries) }
func atOne(Shape, *rand.Rand) int         { return 0 }
func atTwo(_ Shape, rnd *rand.Rand) int   { return rnd.IntN(2) }
func atPlace(s Shape, rnd *rand.Rand) int { return rnd.IntN(s.Places) }
func random(m *site, _ int, r *rand.Rand) chooser {
	return &guess{m: m, rnd: r, blind: true}
}

func least(m *site, entry int, r *rand.Rand) chooser {
	g := &guess{m: m, rnd: r, entry: entry, flying: make([]int, m.shape.Targets), pace: make([]float64, m.shape.Targets)}
	for i := range g.pace {
		g.pace[i] = 1
	}
	return g
}

// guess chooses at random, or by own requests in flight times the pace last told.
type guess struct {
	m      *site
	rnd    *rand.Rand
	entry  int
	blind  bool
	flying []int
	pace   []float64
}

func (g *guess) arrive(id int) {
	best := g.rnd.IntN(g.m.shape.Targets)
	if !g.blind {
		from := best
		for i := range g.pace {
			at := (from + i) % len(g.pace)
			if g.cost(at) < g.cost(best) {
				best = at
			}
		}
		g.flying[best]++
	}
	g.m.send(id, best)
}

func (g *guess) cost(i int) float64 { return float64(g.flying[i]+1) * g.pace[i] }

func (g *guess) replied(t int, l told) {
	if !g.blind {
		g.pace[t] = l.pace
	}
}

func (g *guess) done(id, t int, l told, shed bool) {
	if !g.blind {
		g.flying[t]--
		g.pace[t] = l.pace
	}
	if shed {
		g.m.refuse(id, g.m.shape.Work/2)
	}
}

func (g *guess) tick() {}

// asking builds entries that drive a slot.Book, which believes that targets have
// so many slots and asks so many of them; less than 0 asks none.
func asking(slots, ask int) func(m *site, entry int, rnd *rand.Rand) chooser {
	return func(m *site, entry int, rnd *rand.Rand) chooser {
		d := &desk{m: m, entry: entry, book: slot.New(slot.Config{Place: strconv.Itoa(entry % m.shape.Places), Ask: ask}, rnd)}
		var list []slot.Target
		for i, t := range m.targets {
			list = append(list, slot.Target{ID: strconv.Itoa(i), Place: strconv.Itoa(t.place), Slots: slots})
		}
		d.act(d.book.Targets(m.time(), list, nil))
		return d
	}
}

// desk drives a book as an entry does.
type desk struct {
	m     *site
	entry int
	book  *slot.Book
	due   time.Duration
}

func (d *desk) arrive(id int) {
	r := d.m.requests[id]
	d.act(d.book.Arrive(d.m.time(), slot.Request{
		ID: uint64(id + 1), Arrived: epoch.Add(r.at), Objective: epoch.Add(r.first + d.m.shape.Objective - 2*d.m.shape.Caller),
		Deadline: epoch.Add(r.at + d.m.shape.Deadline),
	}, nil))
}

func (d *desk) replied(t int, l told) {
	d.act(d.book.Replied(d.m.time(), slot.Reply{Target: strconv.Itoa(t), Report: slot.Report{Load: load(l, d.m.shape), Loaded: true}, Well: true}, nil))
}

func (d *desk) done(id, _ int, l told, shed bool) {
	e := slot.End{ID: uint64(id + 1), Report: slot.Report{Load: load(l, d.m.shape), Loaded: true}}
	// A book takes an answer's own request off what it tells.
	e.Report.Load.Running++
	if shed {
		e.Kind = slot.Shed
		d.m.refuse(id, d.m.shape.Work/2)
	}
	d.act(d.book.Done(d.m.time(), e, nil))
}

func (d *desk) tick() {
	if d.m.now < d.due {
		return
	}
	d.due = 0
	d.act(d.book.Tick(d.m.time(), nil))
}

func (d *desk) act(actions []slot.Action) {
	for _, a := range actions {
		switch a.Do {
		case slot.Ask:
			d.m.ask(d.entry, number(a.Target.ID))
		case slot.Send:
			d.m.send(int(a.ID)-1, number(a.Target.ID))
		case slot.Refuse:
			d.m.refuse(int(a.ID)-1, a.Retry)
		}
	}
	d.arm()
}

func (d *desk) arm() {
	next := d.book.Next()
	if next.IsZero() {
		return
	}
	at := next.Sub(epoch)
	if d.due != 0 && at >= d.due {
		return
	}
	d.due = max(at, d.m.now)
	d.m.in(d.due-d.m.now, event{kind: ticked, where: d.entry})
}

func load(l told, s Shape) slot.Load {
	return slot.Load{Running: l.running, Waiting: l.waiting, Slots: s.Slots, Pace: l.pace}
}

func number(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		panic(err) // ids are numbers, see asking
	}
	return n
}
