// Package slot decides which target serves a request, and when it is better
// refused. A Book holds the targets of one service. It does no I/O, starts no
// goroutine and reads no clock: events come in with the time, actions go out.
//
// How long work takes at a target changes several times a second, so a report
// is old within tens of milliseconds. A request therefore asks a few of the
// best-looking targets just before it is sent, and goes to the one whose answer
// promises the earliest end. A target never holds more than two requests more
// than it should: the second one slows down both, and nothing queues there.
package slot

import (
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
	Leaving bool   // it wants no new work
	// Region is that of its failure domain, empty if unknown. It is no part of the
	// target's own record.
	Region string
	// Evacuated says that the operator wants no requests in its failure domain. It
	// is no part of the target's own record.
	Evacuated bool
	Warm      time.Time // until then its work takes longer
	// Born is the start of this incarnation in Unix milliseconds, 0 if unknown.
	// A target may start again under its old id.
	Born int64
}

// Run names the incarnation.
func (t Target) Run() string {
	return t.ID + "@" + strconv.FormatInt(t.Born, 10)
}

// Evacuation is the operator's mark on a failure domain that is to get no requests,
// under the domain's name. It holds until it is removed.
type Evacuation struct{}

// SameEvacuation reports whether two marks differ in nothing that a decision needs.
func SameEvacuation(Evacuation, Evacuation) bool { return true }

// warmNoise is by how much the end of one warm-up differs from report to report, as
// each counts from the time at which it was read.
const warmNoise = 1500 * time.Millisecond

// Same reports whether the record b, which follows a, differs in nothing that a
// decision needs. A warm-up that has begun anew matters: a target may become cold
// again while it runs.
func Same(a, b Target) bool {
	cold := b.Warm.Sub(a.Warm) > warmNoise
	a.Warm, b.Warm = time.Time{}, time.Time{}
	a.Evacuated, b.Evacuated = false, false
	a.Region, b.Region = "", ""
	return a == b && !cold
}

// Load is what a target says of itself.
type Load struct {
	Running int // requests that have begun, also those of other entries
	Waiting int
	Slots   int
	Pace    float64 // how long work takes there, as a multiple of the usual
}
