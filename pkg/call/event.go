package call

import "time"

// Arrival is the event of a request from a caller.
type Arrival struct {
	Deadline            time.Time     // when the caller stops waiting
	Idempotent          bool          // running the request twice is harmless
	Attempt             int           // value of HeaderAttempt
	Depth               int           // value of HeaderDepth
	HedgeDelay          time.Duration // delay before a hedge; 0 disables it, as for a body that can be read only once
	QuarantineRemaining time.Duration // remaining quarantine of the request's fingerprint, or time until its next trial
	Trial               bool          // the request is sent as a trial, to one target only
}

// Choice is the event of the pool assigning a target with a slot.
type Choice struct {
	Target string
}

// Decline is the event of the pool finding no target.
type Decline struct {
	Reason     Reason
	RetryAfter time.Duration // delay before the caller retries
}

// Failed is the event of a dispatch ending without a complete response.
type Failed struct {
	Dispatch    int
	Stage       Stage
	Execution   Execution
	Replayable  bool // the request body can be sent again
	Quarantined bool // the request is now in quarantine for crashing targets, or held
}

// ResponseHead is the event of a target's response head.
type ResponseHead struct {
	Dispatch     int
	Status       int
	Shed         bool // the target reported that it did not start the request
	TargetFailed bool // the target failed, regardless of the status
	Replayable   bool // the request body can be sent again
}

// ResponseEnd is the event of the forwarded response ending.
type ResponseEnd struct {
	Dispatch int
	Complete bool
}
