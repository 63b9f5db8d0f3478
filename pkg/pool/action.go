package pool

import "time"

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Dispatch sends request ID to Target.
	Dispatch ActionKind = iota
	// Refuse refuses request ID, which did not run.
	Refuse
	// Probe sends a health probe to Target. The result is passed to ProbeDone.
	Probe
	// NoteLeaving reports that Target announced that it is leaving. The driver forwards it
	// to peers.
	NoteLeaving
)

// Reason is the reason for a refusal.
type Reason uint8

// Reasons of a refusal.
const (
	NoRefusal    Reason = iota
	NoTarget            // no target accepts new requests
	QueueFull           // the expected wait or the queue length exceeds its limit
	TooLate             // the deadline would pass before the response
	DeadlineNear        // while queued, the request ran out of time for a response
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"none", "no-target", "queue-full", "too-late", "deadline"}[r]
}

// Action is one action for the driver to perform.
type Action struct {
	Kind       ActionKind
	ID         uint64 // of the request; of Dispatch and Refuse
	Target     string
	Boot       uint64 // incarnation of Target
	Addr       string
	Trial      bool // a Dispatch that tests an ejected or suspected target
	Reason     Reason
	RetryAfter time.Duration
}
