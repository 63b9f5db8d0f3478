// Package claim decides what becomes of a keyed request that must not run twice.
// The record of its key in the store is created before the request is sent to a
// target, so that one attempt only can have created it. The package does no I/O
// and reads no clock.
package claim

import (
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// Field is one line of an HTTP header.
type Field struct {
	Name  string
	Value string
}

// Answer is what a run gave, kept for replay.
type Answer struct {
	Outcome call.Outcome // Ran or Unknown
	Status  int
	Header  []Field
	Body    []byte
	Whole   bool // false when the answer was too long to keep
}

// Record is what the store holds of a key.
type Record struct {
	Print  uint64    // fingerprint of the request
	ID     string    // of the attempt that may run it
	At     time.Time // of the claim, by the clock of the entry that made it
	Until  time.Time // after it the request is no longer sent to a target
	Answer *Answer   // nil while it may run
}

// Ended is the outcome of a run.
type Ended struct {
	Outcome    call.Outcome
	Answer     Answer // with Ran
	Reason     Reason // with NotRun and Unknown
	RetryAfter time.Duration
}

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
	ReasonDeadline    Reason = "deadline"          // the time ran out before the dispatch
	ReasonInProgress  Reason = "in-progress"       // another attempt may be running it
	ReasonUnreachable Reason = "claim-unreachable" // the store doesn't tell whether the key has run
	ReasonKeyReused   Reason = "key-reused"        // the key was used for another request
	ReasonNotKept     Reason = "answer-not-kept"   // it ran; its answer was too long to keep
	ReasonRanUnknown  Reason = "run-unknown"       // it was dispatched once and nobody knows its outcome
)

// RetrySoon is when a caller is told to come back whose key is in doubt.
const RetrySoon = time.Second

// Result is what the caller of the request is told.
type Result struct {
	Kind       Kind
	Answer     Answer // with Fresh and Replay
	Reason     Reason
	RetryAfter time.Duration
}
