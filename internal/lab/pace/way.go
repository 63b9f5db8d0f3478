package pace

import (
	"math/rand/v2"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/pkg/slot"
)

// policy is a way to choose targets, together with the entries that get the
// requests.
type way struct {
	name  string
	meets func(s Shape, rnd *rand.Rand) (entry int)
	poll  time.Duration // period at which each entry probes all targets; 0 for never
	build func(m *site, entry int, rnd *rand.Rand) chooser
}

// chooser chooses the targets at one entry.
type chooser interface {
	arrive(request int)
	replied(target int, l told)
	done(request, target int, l told, shed bool)
	tick()
}

// Choices of the entry for a request.
func atAny(s Shape, rnd *rand.Rand) int   { return rnd.IntN(s.Entries) }
func atOne(Shape, *rand.Rand) int         { return 0 }
func atTwo(_ Shape, rnd *rand.Rand) int   { return rnd.IntN(2) }
func atPlace(s Shape, rnd *rand.Rand) int { return rnd.IntN(s.Places) }

// newRandom returns a chooser that picks targets at random.
func random(m *site, _ int, r *rand.Rand) chooser {
	return &guess{m: m, rnd: r, blind: true}
}

// newLeastLoaded returns a chooser that picks the target with the lowest product
// of own requests in flight and reported pace.
func least(m *site, entry int, r *rand.Rand) chooser {
	c := &guess{m: m, rnd: r, entry: entry, flying: make([]int, m.shape.Targets), pace: make([]float64, m.shape.Targets)}
	for i := range c.pace {
		c.pace[i] = 1
	}
	return c
}

// simpleChooser chooses targets at random, or by the product of its own requests
// in flight and the last reported pace.
type guess struct {
	m      *site
	rnd    *rand.Rand
	entry  int
	blind  bool
	flying []int
	pace   []float64
}

func (c *guess) arrive(id int) {
	best := c.rnd.IntN(c.m.shape.Targets)
	if !c.blind {
		start := best
		for i := range c.pace {
			candidate := (start + i) % len(c.pace)
			if c.cost(candidate) < c.cost(best) {
				best = candidate
			}
		}
		c.flying[best]++
	}
	c.m.send(id, best)
}

func (c *guess) cost(i int) float64 { return float64(c.flying[i]+1) * c.pace[i] }

func (c *guess) replied(t int, l told) {
	if !c.blind {
		c.pace[t] = l.pace
	}
}

func (c *guess) done(id, t int, l told, shed bool) {
	if !c.blind {
		c.flying[t]--
		c.pace[t] = l.pace
	}
	if shed {
		c.m.refuse(id, c.m.shape.Work/2)
	}
}

func (c *guess) tick() {}

// balancerWith returns a constructor of choosers that use a slot.Balancer. The
// balancer assumes the given slots per target and probes the given number of
// targets per request: none if negative, the balancer's default if 0.
func asking(slots, probes int) func(m *site, entry int, rnd *rand.Rand) chooser {
	return func(m *site, entry int, rnd *rand.Rand) chooser {
		c := &desk{m: m, entry: entry, book: slot.New(slot.Config{Place: strconv.Itoa(entry % m.shape.Places), Probes: probes}, rnd)}
		var list []slot.Target
		for i, t := range m.targets {
			list = append(list, slot.Target{ID: strconv.Itoa(i), Place: strconv.Itoa(t.place), Slots: slots})
		}
		c.act(c.book.SetTargets(m.time(), list, nil))
		return c
	}
}

// balancerChooser executes the actions of a slot.Balancer as an entry does.
type desk struct {
	m     *site
	entry int
	book  *slot.Balancer
	due   time.Duration // of the scheduled tick; 0 if none
}

func (c *desk) arrive(id int) {
	r := c.m.requests[id]
	c.act(c.book.Submit(c.m.time(), slot.Request{
		ID: uint64(id + 1), Arrived: epoch.Add(r.at), Objective: epoch.Add(r.first + c.m.shape.Objective - 2*c.m.shape.Caller),
		Deadline: epoch.Add(r.at + c.m.shape.Deadline),
	}, nil))
}

func (c *desk) replied(t int, l told) {
	c.act(c.book.ProbeDone(c.m.time(), slot.ProbeResult{Target: strconv.Itoa(t), Report: slot.Report{Load: load(l, c.m.shape), HasLoad: true}, Healthy: true}, nil))
}

func (c *desk) done(id, _ int, l told, shed bool) {
	end := slot.Completion{ID: uint64(id + 1), Report: slot.Report{Load: load(l, c.m.shape), HasLoad: true}}
	// The balancer subtracts the request of the response from the reported load.
	end.Report.Load.Running++
	if shed {
		end.Outcome = slot.Shed
		c.m.refuse(id, c.m.shape.Work/2)
	}
	c.act(c.book.Done(c.m.time(), end, nil))
}

func (c *desk) tick() {
	if c.m.now < c.due {
		return
	}
	c.due = 0
	c.act(c.book.Tick(c.m.time(), nil))
}

func (c *desk) act(actions []slot.Action) {
	for _, a := range actions {
		switch a.Kind {
		case slot.SendProbe:
			c.m.ask(c.entry, number(a.Target.ID))
		case slot.Send:
			c.m.send(int(a.ID)-1, number(a.Target.ID))
		case slot.Refuse:
			c.m.refuse(int(a.ID)-1, a.RetryAfter)
		}
	}
	c.arm()
}

// scheduleTick schedules the balancer's next tick, unless an earlier one is
// scheduled.
func (c *desk) arm() {
	next := c.book.NextTick()
	if next.IsZero() {
		return
	}
	at := next.Sub(epoch)
	if c.due != 0 && at >= c.due {
		return
	}
	c.due = max(at, c.m.now)
	c.m.in(c.due-c.m.now, event{kind: ticked, where: c.entry})
}

func load(l told, s Shape) slot.Load {
	return slot.Load{Running: l.running, Waiting: l.waiting, Slots: s.Slots, Pace: l.pace}
}

func number(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		panic(err) // balancerWith uses the target's index as its ID
	}
	return n
}
