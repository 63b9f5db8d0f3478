package pool

import "time"

// ActionKind tells what the driver has to do.
type ActionKind uint8

// Kinds of actions.
const (
	// Dispatch sends request ID to Target.
	Dispatch ActionKind = iota
	// Refuse answers request ID finally: it was not run.
	Refuse
	// Probe asks Target for its health; the result goes to Probed.
	Probe
	// Left tells that Target itself said that it leaves, for peers to hear.
	Left
)

// Reason is why a request is refused.
type Reason uint8

// Reasons of a refusal.
const (
	NoReason   Reason = iota
	NoTarget          // no target may get new work
	QueueFull         // the expected wait or the queue is over its limit
	TooLate           // the deadline would pass before the answer
	DeadlineUp        // the deadline came near while the request was queued
)

// String returns the reason as one word.
func (r Reason) String() string {
	return [...]string{"none", "no-target", "queue-full", "too-late", "deadline"}[r]
}

// Action is one thing for the driver to do.
type Action struct {
	Kind       ActionKind
	ID         uint64 // of the request, with Dispatch and Refuse
	Target     string
	Boot       uint64 // incarnation of Target
	Addr       string
	Trial      bool // a Dispatch that tests a target that was out
	Reason     Reason
	RetryAfter time.Duration
}
