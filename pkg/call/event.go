package call

import "time"

// Arrival is a request that a caller has sent.
type Arrival struct {
	Deadline    time.Time     // when its caller stops waiting
	Idempotent  bool          // a second run does no harm
	Attempt     int           // of HeaderAttempt
	Depth       int           // of HeaderDepth
	Hedge       time.Duration // wait before a hedge; 0 is none, as for a body that can be read only once
	Quarantined time.Duration // remaining quarantine of its fingerprint
}

// Choice is a target with a slot for the request.
type Choice struct {
	Target string
}

// Decline says that no target takes the request.
type Decline struct {
	Reason Reason
	Retry  time.Duration // when to come back
}

// Failed is a dispatch that brought no whole answer.
type Failed struct {
	Try         int
	Stage       Stage
	Ran         Execution
	Replay      bool // the body can be sent again
	Quarantined bool // it now counts as a request that crashes targets
}

// Head is the head of a target's answer.
type Head struct {
	Try    int
	Status int
	Shed   bool // the target says that it did not begin the request
	Unwell bool // the target failed, whatever the status says
	Replay bool // the body can be sent again
}

// End is the end of the answer that is passed on.
type End struct {
	Try   int
	Whole bool
}
