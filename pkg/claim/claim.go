// Package claim ensures that a request with an idempotency key runs at most once.
// The record of the key is created in the store before the request is sent to a
// target, so that only one attempt can create it. The package does no I/O and reads
// no clock.
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

// Response is the recorded response of a run.
type Response struct {
	Outcome  call.Outcome // Ran or Unknown
	Status   int
	Header   []Field
	Body     []byte
	Complete bool // false if the response was too long to record
}

// Record is the stored record of a key.
type Record struct {
	Fingerprint      uint64    // fingerprint of the request
	ID               string    // of the attempt that may run the request
	ClaimedAt        time.Time // time of the claim, by the clock of the entry that created it
	DispatchDeadline time.Time // time after which the request is not sent to a target
	Response         *Response // nil while the request may run
}

// RunResult is the result of a run.
type RunResult struct {
	Outcome    call.Outcome
	Response   Response // with Ran
	Reason     Reason   // with NotRun and Unknown
	RetryAfter time.Duration
}

// Kind is the kind of a Result.
type Kind uint8

// The zero Kind makes no claim about the run.
const (
	Uncertain Kind = iota // the request may have run or be running; this attempt did not run it, or its outcome is unknown
	NotRun                // the request has not run, and this attempt won't run it
	Fresh                 // the response of this attempt's own run
	Replay                // the recorded response of an earlier run
	Conflict              // the key belongs to a different request; this one did not run
)

// Reason is the machine-readable cause of a Result without a response.
type Reason string

// Reasons of this package.
const (
	ReasonDeadline    Reason = "deadline"          // the deadline passed before the dispatch
	ReasonInProgress  Reason = "in-progress"       // another attempt may be running it
	ReasonUnreachable Reason = "claim-unreachable" // the store did not report whether the key has a record
	ReasonKeyReused   Reason = "key-reused"        // the key was used for a different request
	ReasonNotRecorded Reason = "answer-not-kept"   // the request ran; its response was too long to record
	ReasonRunUnknown  Reason = "run-unknown"       // the request was dispatched; its outcome is unknown
)

// RetryDelay is the retry delay for a caller whose key is in progress or can't be looked up.
const RetryDelay = time.Second

// Result is the result that the caller of the request receives.
type Result struct {
	Kind       Kind
	Response   Response // with Fresh and Replay
	Reason     Reason
	RetryAfter time.Duration
}
