package pool

import "time"

// State is the state of a target as reported by the target lists and the store.
type State uint8

// States of a target.
const (
	Live State = iota
	Leaving
	Gone
)

// Target is one target of the service, as listed.
type Target struct {
	ID    string
	Boot  uint64 // incarnation; it changes when the target restarts
	Addr  string // host:port
	Place string
	Slots int // concurrent requests; zero: Config.DefaultSlots
	State State
	// Evacuated means that the target's place gets no new requests. Unlike a leaving
	// target, an evacuated one gets requests again as soon as the evacuation ends.
	Evacuated bool
}

// Arrival is a request that needs a target.
type Arrival struct {
	ID         uint64    // unique among the requests in this pool
	Deadline   time.Time // zero: none
	Idempotent bool
	Avoid      string // target of an earlier dispatch of the request, or empty
}

// Outcome is how a dispatched request ended.
type Outcome uint8

// Outcomes of a dispatched request.
const (
	Served         Outcome = iota // response without a server error
	Failed                        // response with a server error
	Shed                          // refused by the target; did not run
	ConnectFailed                 // no connection; did not run
	ConnectionLost                // connection lost before the complete response
	TimedOut                      // no response by the deadline
	Cancelled                     // cancelled by the entry or the caller
)

// Load is the load report of a target on a response.
type Load struct {
	InFlight    int  // requests at the target from all entries, including the completed one
	HasInFlight bool // InFlight was reported
	Leaving     bool // the target is leaving
}

// Completion is the end of a dispatched request.
type Completion struct {
	ID      uint64
	Outcome Outcome
	Load    Load
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Target string
	OK     bool
	Took   time.Duration
	Load   Load
}
