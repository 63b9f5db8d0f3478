package pace

import (
	"math/rand/v2"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/pkg/slot"
)

// policy is a way to choose targets, together with the entries that get the
// requests.
type policy struct {
	name         string
	chooseEntry  func(s Shape, rnd *rand.Rand) (entry int)
	pollInterval time.Duration // period at which each entry probes all targets; 0 for never
	newChooser   func(m *simulator, entry int, rnd *rand.Rand) chooser
}

// chooser chooses the targets at one entry.
type chooser interface {
	handleArrival(request int)
	handleProbeResponse(target int, l loadReport)
	handleResponse(request, target int, l loadReport, shed bool)
	handleTick()
}

// Choices of the entry for a request.
func anyEntry(s Shape, rnd *rand.Rand) int         { return rnd.IntN(s.Entries) }
func firstEntry(Shape, *rand.Rand) int             { return 0 }
func firstTwoEntries(_ Shape, rnd *rand.Rand) int  { return rnd.IntN(2) }
func oneEntryPerPlace(s Shape, rnd *rand.Rand) int { return rnd.IntN(s.Places) }

// newRandom returns a chooser that picks targets at random.
func newRandom(m *simulator, _ int, r *rand.Rand) chooser {
	return &simpleChooser{m: m, rnd: r, random: true}
}

// newLeastLoaded returns a chooser that picks the target with the lowest product
// of the entry's own requests in flight, including the new one, and the last
// reported pace.
func newLeastLoaded(m *simulator, entry int, r *rand.Rand) chooser {
	c := &simpleChooser{m: m, rnd: r, entry: entry, inFlight: make([]int, m.shape.Targets), lastPace: make([]float64, m.shape.Targets)}
	for i := range c.lastPace {
		c.lastPace[i] = 1
	}
	return c
}

// simpleChooser chooses targets at random, or as newLeastLoaded describes.
type simpleChooser struct {
	m        *simulator
	rnd      *rand.Rand
	entry    int
	random   bool
	inFlight []int
	lastPace []float64
}

func (c *simpleChooser) handleArrival(id int) {
	best := c.rnd.IntN(c.m.shape.Targets)
	if !c.random {
		start := best
		for i := range c.lastPace {
			candidate := (start + i) % len(c.lastPace)
			if c.cost(candidate) < c.cost(best) {
				best = candidate
			}
		}
		c.inFlight[best]++
	}
	c.m.sendRequest(id, best)
}

func (c *simpleChooser) cost(i int) float64 { return float64(c.inFlight[i]+1) * c.lastPace[i] }

func (c *simpleChooser) handleProbeResponse(t int, l loadReport) {
	if !c.random {
		c.lastPace[t] = l.pace
	}
}

func (c *simpleChooser) handleResponse(id, t int, l loadReport, shed bool) {
	if !c.random {
		c.inFlight[t]--
		c.lastPace[t] = l.pace
	}
	if shed {
		c.m.retryOrFail(id, c.m.shape.ServiceTime/2)
	}
}

func (c *simpleChooser) handleTick() {}

// balancerWith returns a constructor of choosers that use a slot.Balancer. The
// balancer assumes the given slots per target and probes the given number of
// targets per request: none if negative, the balancer's default if 0.
func balancerWith(slots, probes int) func(m *simulator, entry int, rnd *rand.Rand) chooser {
	return func(m *simulator, entry int, rnd *rand.Rand) chooser {
		c := &balancerChooser{m: m, entry: entry, balancer: slot.New(slot.Config{Place: strconv.Itoa(entry % m.shape.Places), Probes: probes}, rnd)}
		var list []slot.Target
		for i, t := range m.targets {
			list = append(list, slot.Target{ID: strconv.Itoa(i), Place: strconv.Itoa(t.place), Slots: slots})
		}
		c.execute(c.balancer.SetTargets(m.time(), list, nil))
		return c
	}
}

// balancerChooser executes the actions of a slot.Balancer as an entry does.
type balancerChooser struct {
	m        *simulator
	entry    int
	balancer *slot.Balancer
	nextTick time.Duration // of the scheduled tick; 0 if none
}

func (c *balancerChooser) handleArrival(id int) {
	r := c.m.requests[id]
	c.execute(c.balancer.Submit(c.m.time(), slot.Request{
		ID: uint64(id + 1), Arrived: startTime.Add(r.arrival), Objective: startTime.Add(r.firstArrival + c.m.shape.Objective - 2*c.m.shape.CallerDelay),
		Deadline: startTime.Add(r.arrival + c.m.shape.Deadline),
	}, nil))
}

func (c *balancerChooser) handleProbeResponse(t int, l loadReport) {
	c.execute(c.balancer.ProbeDone(c.m.time(), slot.ProbeResult{Target: strconv.Itoa(t), Report: slot.Report{Load: slotLoad(l, c.m.shape), HasLoad: true}, Healthy: true}, nil))
}

func (c *balancerChooser) handleResponse(id, _ int, l loadReport, shed bool) {
	end := slot.Completion{ID: uint64(id + 1), Report: slot.Report{Load: slotLoad(l, c.m.shape), HasLoad: true}}
	// The balancer subtracts the request of the response from the reported load.
	end.Report.Load.Running++
	if shed {
		end.Outcome = slot.Shed
		c.m.retryOrFail(id, c.m.shape.ServiceTime/2)
	}
	c.execute(c.balancer.Done(c.m.time(), end, nil))
}

func (c *balancerChooser) handleTick() {
	if c.m.now < c.nextTick {
		return
	}
	c.nextTick = 0
	c.execute(c.balancer.Tick(c.m.time(), nil))
}

func (c *balancerChooser) execute(actions []slot.Action) {
	for _, a := range actions {
		switch a.Kind {
		case slot.SendProbe:
			c.m.sendProbe(c.entry, targetIndex(a.Target.ID))
		case slot.Dispatch:
			c.m.sendRequest(int(a.ID)-1, targetIndex(a.Target.ID))
		case slot.Refuse:
			c.m.retryOrFail(int(a.ID)-1, a.RetryAfter)
		}
	}
	c.scheduleTick()
}

// scheduleTick schedules the balancer's next tick, unless an earlier one is
// scheduled.
func (c *balancerChooser) scheduleTick() {
	next := c.balancer.NextTick()
	if next.IsZero() {
		return
	}
	at := next.Sub(startTime)
	if c.nextTick != 0 && at >= c.nextTick {
		return
	}
	c.nextTick = max(at, c.m.now)
	c.m.schedule(c.nextTick-c.m.now, event{kind: tickDue, node: c.entry})
}

func slotLoad(l loadReport, s Shape) slot.Load {
	return slot.Load{Running: l.running, Waiting: l.waiting, Slots: s.Slots, Pace: l.pace}
}

func targetIndex(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		panic(err) // balancerWith uses the target's index as its ID
	}
	return n
}
