package slot

import "time"

// Request is a request that needs a target.
type Request struct {
	ID        uint64    // unique in the balancer
	Arrived   time.Time // at this entry
	Objective time.Time // a response has its full value until then
	Deadline  time.Time // a response is useless after it
	Priority  int       // 0 is the most urgent
	Regions   []string  // regions whose targets may serve it; empty for all
	Tried     []string  // IDs of targets that failed it and may not get it again
	Hedge     bool      // it is dispatched without a wait in the queue, or refused
	Class     string    // requests of one class have similar service times
	Account   string    // client account; empty if requests have none
}

// Outcome is how a request ended at its target.
type Outcome uint8

// Outcomes of a request at a target.
const (
	Served    Outcome = iota // successful response
	Failed                   // response with a server error
	Shed                     // refused by the target and certainly not run
	Lost                     // the connection failed, or the response was incomplete
	TimedOut                 // no response in time
	Cancelled                // the caller left, or another response came first
)

// Completion is the end of a request at a target.
type Completion struct {
	ID            uint64
	Outcome       Outcome
	Report        Report
	AddressReused bool // another target now has this address
}

// ProbeResult is the end of a load probe.
type ProbeResult struct {
	Target    string
	Report    Report
	Healthy   bool          // the target answered and reported that it is healthy
	ColdFor   time.Duration // rest of its warm-up
	ColdKnown bool          // whether ColdFor was reported
}

// ActionKind is what the driver of the balancer has to do.
type ActionKind uint8

// Kinds of actions. Those with the prefix Note only announce a change.
const (
	SendProbe      ActionKind = iota + 1 // probe Target for its load; ProbeDone has to be called in any case
	Dispatch                             // send request ID to Target
	Refuse                               // refuse request ID
	NoteEjected                          // Target was ejected because it fails requests
	NoteReadmitted                       // Target gets requests again
	NoteLeaving                          // Target has reported that it is leaving
	NoteLimit                            // Target has reported a new limit, or none any more
	NotePause                            // Target has asked this entry to pause for RetryAfter
)

// Reason is why a request was refused.
type Reason uint8

// Reasons for a refusal.
const (
	NoReason Reason = iota
	Full            // no target could answer it in time
	NoTarget        // no target is available
	Cold            // all targets are cold and at the bound for cold targets
	Paused          // all targets are at their bounds, at least one of them has asked for a pause
	Limited         // all targets are at their bounds, at least one of them at a limit that it reports
)

var reasonNames = [...]string{"none", "full", "notarget", "cold", "paused", "limited"}

// String returns the name of the reason as one word.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[0]
	}
	return reasonNames[r]
}

// Action is one action for the driver to perform.
type Action struct {
	Kind       ActionKind
	ID         uint64
	Target     Target
	Reason     Reason        // for Refuse
	RetryAfter time.Duration // for Refuse: when a retry is likely to succeed; for NotePause: length of the pause
	Decision   Decision      // for Dispatch
	Rate       float64       // for NoteLimit: requests per second
	HasLimit   bool          // for NoteLimit: whether the target has a limit
}

// Decision holds the inputs of the choice of a target, for the log.
type Decision struct {
	InFlight  int           // requests at the target, not counting this one
	LoadKnown bool          // whether the target has reported its load
	Pace      float64       // from the last load report
	LoadAge   time.Duration // age of that report
	Expected  time.Duration // expected latency
	Probed    int           // targets that were probed
	Waited    time.Duration // time since the request arrived
}
