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
	Targets      int
	Places       int
	Entries      int
	Slots        int
	QueueLimit   int           // requests that a target queues beyond its slots
	ServiceTime  time.Duration // mean, on an idle target at pace 1
	PairSlowdown float64       // factor by which two or more running requests slow a target down
	SlowShare    float64       // share of targets that are slow at any moment
	SlowPace     float64       // pace of a slow target
	PaceTime     time.Duration // time between two changes of a target's pace
	NearDelay    time.Duration // network delay, one way, within a failure domain
	FarDelay     time.Duration // network delay, one way, between two failure domains
	CallerDelay  time.Duration // network delay, one way, between an entry and the callers
	Objective    time.Duration // response time to achieve, from a caller's first attempt
	Deadline     time.Duration // of each attempt
	LateCredit   float64       // credit for a response after the objective; a response within it gets 1
	Retries      int           // further attempts of a caller that was refused
	ProbeCost    float64       // deduction from the score for a rate of one probe per request
}

// Standard returns the shape of the users' first service.
func Standard() Shape {
	return Shape{
		Targets: 14, Places: 3, Entries: 13, Slots: 2, QueueLimit: 8, ServiceTime: 60 * time.Millisecond, PairSlowdown: 1.7,
		SlowShare: 0.25, SlowPace: 5, PaceTime: 150 * time.Millisecond,
		NearDelay: 100 * time.Microsecond, FarDelay: 500 * time.Microsecond, CallerDelay: time.Millisecond,
		Objective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, LateCredit: 0.1, Retries: 1,
		ProbeCost: 0.0022,
	}
}

// Booking returns the shape of a service with hundreds of targets, whose requests
// take longer than a pace lasts.
func Booking() Shape {
	s := Standard()
	s.Targets, s.ServiceTime, s.SlowShare = 169, 210*time.Millisecond, 0.3
	s.Objective, s.Deadline = 500*time.Millisecond, 2500*time.Millisecond
	return s
}

// shapes holds the selectable shapes by name.
var shapes = map[string]func() Shape{"standard": Standard, "booking": Booking}

// capacity returns the highest rate that the targets can serve, in requests per
// second.
func (s Shape) capacity() float64 {
	meanSpeed := 1 - s.SlowShare + s.SlowShare/s.SlowPace
	parallel := float64(s.Slots) / s.PairSlowdown
	return float64(s.Targets) * parallel * meanSpeed / s.ServiceTime.Seconds()
}

// eventKind is the kind of an event.
type eventKind uint8

const (
	requestArrival  eventKind = iota // a request arrives at an entry
	probeArrival                     // a probe arrives at a target
	probeResponse                    // the response to a probe arrives at the entry
	targetArrival                    // a request arrives at a target
	workFinished                     // a target finishes a request
	responseArrival                  // the response to a request arrives at its entry
	paceChange                       // a target changes its pace
	tickDue                          // an entry's timer expires
	pollDue                          // an entry probes all targets
)

// event is something that happens at a point in virtual time.
type event struct {
	at         time.Duration
	seq        uint64
	kind       eventKind
	subject    int    // index of the request, or of the target of a probe
	node       int    // index of the entry or target
	generation uint64 // of workFinished; the event is ignored if the target's generation has changed since
	load       loadReport
	shed       bool // the target refused the request
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
	now     time.Duration
	nextSeq uint64
	events  heap.Heap[event]
}

// schedule adds an event after a delay, or at once if the delay is negative.
func (c *clock) schedule(d time.Duration, e event) {
	e.at, e.seq = c.now+max(d, 0), c.nextSeq
	c.nextSeq++
	c.events.Push(e)
}

// startTime is the time.Time at which the virtual time starts.
var startTime = time.Unix(0, 0)

func (c *clock) time() time.Time { return startTime.Add(c.now) }
