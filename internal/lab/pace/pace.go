// Package pace is a model of one service in virtual time whose targets change
// their pace several times a second, as those with noisy neighbours do. It
// drives pkg/slot itself and simpler ways to choose a target, so that a change
// of the decisions is tried before real processes show it. The same seed gives
// the same figures.
package pace

import (
	"time"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

// Shape is what a service, its targets and its callers are like. The figures
// are those of the users' smaller site.
type Shape struct {
	Targets   int
	Places    int
	Entries   int
	Slots     int
	Queue     int           // requests that a target holds beyond its slots
	Work      time.Duration // mean, on an idle target of usual pace
	Knee      float64       // how much slower a target works with two requests
	Slow      float64       // share of targets that are slow at any moment
	SlowPace  float64       // how much slower these work
	Change    time.Duration // how long a pace lasts
	Near      time.Duration // one way within a failure domain
	Far       time.Duration // one way between two
	Caller    time.Duration // one way to the callers
	Objective time.Duration // from a caller's first attempt
	Deadline  time.Duration // of each attempt
	Late      float64       // worth of an answer after the objective
	Retries   int           // of a caller that was refused
	Probe     float64       // worth of one question for each request, negative
}

// Standard is the shape of the users' first service.
func Standard() Shape {
	return Shape{
		Targets: 14, Places: 3, Entries: 13, Slots: 2, Queue: 8, Work: 60 * time.Millisecond, Knee: 1.7,
		Slow: 0.25, SlowPace: 5, Change: 150 * time.Millisecond,
		Near: 100 * time.Microsecond, Far: 500 * time.Microsecond, Caller: time.Millisecond,
		Objective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Late: 0.1, Retries: 1,
		Probe: 0.0022,
	}
}

// Booking is the shape of a service whose work takes longer than a pace lasts, at
// targets in hundreds.
func Booking() Shape {
	s := Standard()
	s.Targets, s.Work, s.Slow = 169, 210*time.Millisecond, 0.3
	s.Objective, s.Deadline = 500*time.Millisecond, 2500*time.Millisecond
	return s
}

// shapes are those that can be asked for, by name.
var shapes = map[string]func() Shape{"standard": Standard, "booking": Booking}

// capacity is how many requests a second the targets can answer at most.
func (s Shape) capacity() float64 {
	pace := 1 - s.Slow + s.Slow/s.SlowPace
	both := float64(s.Slots) / s.Knee
	return float64(s.Targets) * both * pace / s.Work.Seconds()
}

// kind is what happens.
type kind uint8

const (
	arrives  kind = iota // a request at an entry
	asked                // a question at a target
	replied              // its answer at the entry
	reaches              // a request at a target
	finished             // a target's work
	returns              // a request's answer at its entry
	changes              // a target's pace
	ticked               // an entry's timer
	polled               // an entry's turn to ask all
)

type event struct {
	at    time.Duration
	seq   uint64
	kind  kind
	what  int // request, target or entry
	where int // entry or target
	gen   uint64
	load  told
	shed  bool
}

// Before orders events.
func (e event) Before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.seq < o.seq
}

// clock is virtual time with what is to come.
type clock struct {
	now    time.Duration
	seq    uint64
	events heap.Heap[event]
}

func (c *clock) in(d time.Duration, e event) {
	e.at, e.seq = c.now+max(d, 0), c.seq
	c.seq++
	c.events.Push(e)
}

var epoch = time.Unix(0, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }
