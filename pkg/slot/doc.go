// Package slot chooses the target that serves each request of one service, and refuses
// requests that no target could serve in time. A Balancer holds the targets of the service.
// It does no I/O, starts no goroutine and reads no clock: callers pass in events with the
// current time and carry out the actions that it returns.
//
// The service time at a target changes several times a second, so a load report is out of
// date within tens of milliseconds. The balancer therefore probes a few of the most
// promising targets just before it dispatches a request, and chooses the one with the
// earliest expected response. A target never holds more than two requests more than it
// should: the second one slows down both, and nothing queues there.
package slot

import (
	"math"
	"strconv"
	"time"
)

// Target is one incarnation of a target.
type Target struct {
	ID      string
	Address string // host:port
	Service string
	Place   string // failure domain
	Slots   int    // requests that it runs at once
	Leaving bool   // it accepts no new requests
	// Region is the region of the target's failure domain, empty if unknown. It isn't part
	// of the target's own record.
	Region string
	// Evacuated reports whether the operator has evacuated the target's failure domain. It
	// isn't part of the target's own record.
	Evacuated bool
	WarmAt    time.Time // end of the warm-up, during which the service time is higher
	// StartedMillis is the start of this incarnation in Unix milliseconds, 0 if unknown. A
	// target may restart under the same ID.
	StartedMillis int64
}

// Incarnation returns a name that is unique to this incarnation of the target.
func (t Target) Incarnation() string {
	return t.ID + "@" + strconv.FormatInt(t.StartedMillis, 10)
}

// Evacuation excludes the targets of a failure domain from new requests. It is stored under
// the name of the domain and stays in force until it is removed.
type Evacuation struct{}

// EquivalentEvacuations reports whether two evacuations are the same for every decision.
func EquivalentEvacuations(Evacuation, Evacuation) bool { return true }

// warmupTolerance bounds the difference between two reports of the end of the same warm-up.
// Each report counts from the time at which it was read.
const warmupTolerance = 1500 * time.Millisecond

// Equivalent reports whether b, the record that follows a, is the same for every decision. A
// warm-up that has begun again makes a difference: a running target may become cold again.
func Equivalent(a, b Target) bool {
	cold := b.WarmAt.Sub(a.WarmAt) > warmupTolerance
	a.WarmAt, b.WarmAt = time.Time{}, time.Time{}
	a.Evacuated, b.Evacuated = false, false
	a.Region, b.Region = "", ""
	return a == b && !cold
}

// Load is the load that a target reports.
type Load struct {
	Running int // requests that have begun, including those of other entries
	Waiting int
	Slots   int
	Pace    float64 // service time as a multiple of the baseline: 1 is normal, 2 is half as fast
}

// total returns the requests at the target. It doesn't overflow, which would make the most loaded
// target look empty.
func (l Load) total() int {
	return l.Running + min(l.Waiting, math.MaxInt-max(l.Running, 0))
}
