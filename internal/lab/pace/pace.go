// Package pace simulates one service in virtual time. Its targets change their
// pace several times a second, as targets with noisy neighbours do; a pace is a
// multiple of the baseline service time. The simulation runs pkg/slot itself and
// simpler load balancing policies, so that a change to pkg/slot can be tried
// before a test with real processes. The same seed gives the same results.
package pace

import (
	"time"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

// Shape describes a service, its targets and its callers. The values of Standard
// and Booking are those of the users' smaller site.
type Shape struct {
	Targets   int
	Places    int
	Entries   int
	Slots     int
	Queue     int           // requests that a target queues beyond its slots
	Work      time.Duration // mean, on an idle target at pace 1
	Knee      float64       // factor by which two or more running requests slow a target down
	Slow      float64       // share of targets that are slow at any moment
	SlowPace  float64       // pace of a slow target
	Change    time.Duration // time between two changes of a target's pace
	Near      time.Duration // network delay, one way, within a failure domain
	Far       time.Duration // network delay, one way, between two failure domains
	Caller    time.Duration // network delay, one way, between an entry and the callers
	Objective time.Duration // response time to achieve, from a caller's first attempt
	Deadline  time.Duration // of each attempt
	Late      float64       // credit for a response after the objective; one before it has 1
	Retries   int           // further attempts of a caller that was refused
	Probe     float64       // deduction from the score for a rate of one probe per request
}

// Standard returns the shape of the users' first service.
func Standard() Shape {
	return Shape{
		Targets: 14, Places: 3, Entries: 13, Slots: 2, Queue: 8, Work: 60 * time.Millisecond, Knee: 1.7,
		Slow: 0.25, SlowPace: 5, Change: 150 * time.Millisecond,
		Near: 100 * time.Microsecond, Far: 500 * time.Microsecond, Caller: time.Millisecond,
		Objective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Late: 0.1, Retries: 1,
		Probe: 0.0022,
	}
}

// Booking returns the shape of a service with hundreds of targets, whose requests
// take longer than a pace lasts.
func Booking() Shape {
	s := Standard()
	s.Targets, s.Work, s.Slow = 169, 210*time.Millisecond, 0.3
	s.Objective, s.Deadline = 500*time.Millisecond, 2500*time.Millisecond
	return s
}

// shapes holds the selectable shapes by name.
var shapes = map[string]func() Shape{"standard": Standard, "booking": Booking}

// capacity returns the highest rate that the targets can serve, in requests per
// second.
func (s Shape) capacity() float64 {
	meanSpeed := 1 - s.Slow + s.Slow/s.SlowPace
	parallel := float64(s.Slots) / s.Knee
	return float64(s.Targets) * parallel * meanSpeed / s.Work.Seconds()
}

// eventKind is the kind of an event.
type kind uint8

const (
	arrives  kind = iota // a request arrives at an entry
	asked                // a probe arrives at a target
	replied              // the response to a probe arrives at the entry
	reaches              // a request arrives at a target
	finished             // a target finishes a request
	returns              // the response to a request arrives at its entry
	changes              // a target changes its pace
	ticked               // an entry's timer expires
	polled               // an entry probes all targets
)

// event is something that happens at a point in virtual time.
type event struct {
	at    time.Duration
	seq   uint64
	kind  kind
	what  int    // index of the request, or of the target of a probe
	where int    // index of the entry or target
	gen   uint64 // of workFinished: ignored if the target's has changed
	load  told
	shed  bool // the target refused the request
}

// Before reports whether the event comes before another: the earlier one, and at
// equal times the one scheduled first.
func (e event) Before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.seq < o.seq
}

// clock holds the virtual time and the scheduled events.
type clock struct {
	now    time.Duration
	seq    uint64
	events heap.Heap[event]
}

// schedule adds an event after a delay, or at once if the delay is negative.
func (c *clock) in(d time.Duration, e event) {
	e.at, e.seq = c.now+max(d, 0), c.seq
	c.seq++
	c.events.Push(e)
}

// startTime is the time.Time at which the virtual time starts.
var epoch = time.Unix(0, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }
