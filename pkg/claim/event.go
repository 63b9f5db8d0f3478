package claim

import (
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Event is what an Attempt is told.
type Event interface{ event() }

// Replied is a replica's answer to an Ask under a ring revision.
type Replied struct {
	From  ring.Ident
	Ring  uint64 // of the Ask
	Reply Reply
}

// Unreachable tells that an Ask has failed. It may have been accepted.
type Unreachable struct {
	From ring.Ident
	Ring uint64 // of the Ask
}

// Changed tells that a newer ring is in force.
type Changed struct{ Ring ring.Ring }

// Tick is due every few milliseconds while the attempt isn't done.
type Tick struct{}

// Cancelled tells that nobody waits for the result any more.
type Cancelled struct{}

// Ended is the outcome of the run.
type Ended struct {
	Outcome    call.Outcome
	Answer     Answer // with Ran
	Reason     Reason // with NotRun and Unknown
	RetryAfter time.Duration
}

func (Replied) event()     {}
func (Unreachable) event() {}
func (Changed) event()     {}
func (Tick) event()        {}
func (Cancelled) event()   {}
func (Ended) event()       {}

// Action is what an Attempt asks its driver to do.
type Action interface{ action() }

// Send sends an Ask to a replica.
type Send struct {
	To  ring.Member
	Ask Ask
}

// Run allows the one run of the request. It is void after the deadline.
type Run struct{}

// Tell sends a Settlement to a replica, and again until it is acknowledged.
type Tell struct {
	To         ring.Member
	Settlement Settlement
}

// Finish gives the result for the caller.
type Finish struct{ Result Result }

func (Send) action()   {}
func (Run) action()    {}
func (Tell) action()   {}
func (Finish) action() {}

// Kind tells what a Result means.
type Kind uint8

// The zero Kind claims nothing of the run.
const (
	Uncertain Kind = iota // the key may have run or be running; this attempt did not run it, or can't tell
	NotRun                // the key has not run, and this attempt won't run it
	Fresh                 // the answer of this attempt's own run
	Replay                // the recorded answer of the run
	Conflict              // the key belongs to another request; this one did not run
)

// Reason says in one word why there is no answer of a run.
type Reason string

// The reasons that come from claims.
const (
	ReasonDeadline    Reason = "deadline"           // the time ran out before the dispatch
	ReasonInProgress  Reason = "in-progress"        // another attempt may be running it
	ReasonHolderGone  Reason = "holder-gone"        // the entry that held the key is no longer there
	ReasonUnreachable Reason = "claim-unreachable"  // too few replicas answered
	ReasonFull        Reason = "claim-full"         // too few replicas can remember the key
	ReasonRecordsLost Reason = "claim-records-lost" // too many replicas died to know of the key
	ReasonKeyTime     Reason = "key-time"           // the key claims to be made in the future
	ReasonKeyReused   Reason = "key-reused"         // the key was used for another request
	ReasonNotKept     Reason = "answer-not-kept"    // it ran; its answer was too long to keep
	ReasonRanUnknown  Reason = "run-unknown"        // it was dispatched once and nobody knows its outcome
)

// When a caller is told to come back.
const (
	retrySoon = time.Second
	retryLost = time.Minute
)

// Result is what the caller of the request is told.
type Result struct {
	Kind       Kind
	Answer     Answer // with Fresh and Replay
	Reason     Reason
	RetryAfter time.Duration
}
