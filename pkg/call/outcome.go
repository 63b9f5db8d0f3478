// Package call decides the lifecycle of one request: its dispatches, retries
// and hedges, and what its caller is told. It does no I/O and reads no clock.
package call

import (
	"net/http"
	"time"
)

// Outcome is what the caller of a request is told about its execution.
type Outcome uint8

// The zero Outcome is Unknown, so that a forgotten field claims nothing.
const (
	// Unknown: the request may have run.
	Unknown Outcome = iota
	// NotRun: the request did not run and never will.
	NotRun
	// Ran: the request ran, but its answer can't be given.
	Ran
)

// String returns the value of HeaderOutcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Execution is what one dispatch allows to say about its execution.
type Execution uint8

// The zero Execution is MayHaveRun, so that a forgotten field claims nothing.
const (
	// MayHaveRun: bytes of the request left this process.
	MayHaveRun Execution = iota
	// DidNotRun: no byte of the request left this process, or its target said
	// that it did not begin it.
	DidNotRun
	// DidRun: the target has answered.
	DidRun
)

// Stage is how far a dispatch came before it failed.
type Stage uint8

// The stages, in the order in which a dispatch passes them.
const (
	// StageConnect: no connection was obtained.
	StageConnect Stage = iota + 1
	// StageRefused: the target refused the connection.
	StageRefused
	// StageUnsent: there was a connection, and nothing was written to it.
	StageUnsent
	// StageSent: some of the request was written and no whole answer head came.
	StageSent
	// StageCut: the answer head came and its body ended early.
	StageCut
	// StageInvalid: the target lives, and its answer can't be passed on.
	StageInvalid
	// StageCaller: the body of the request could not be read from the caller.
	StageCaller
	// StageCancelled: the dispatch was cancelled.
	StageCancelled
	// StageTimeout: the time for the dispatch ran out.
	StageTimeout
)

var stages = [...]string{
	StageConnect: "connect", StageRefused: "refused", StageUnsent: "unsent", StageSent: "reset",
	StageCut: "cut", StageInvalid: "invalid", StageCaller: "caller", StageCancelled: "cancelled", StageTimeout: "timeout",
}

// String returns the one-word name of a stage.
func (s Stage) String() string {
	if int(s) >= len(stages) || s == 0 {
		return "none"
	}
	return stages[s]
}

// Reason is the machine-readable cause of an answer that plumpitch makes.
type Reason string

// Reasons for the answers that this package decides.
const (
	ReasonMalformed   Reason = "malformed"   // the request itself is wrong
	ReasonDeadline    Reason = "deadline"    // its time ran out before a dispatch
	ReasonOverload    Reason = "overload"    // the queue is full or too slow
	ReasonUnavailable Reason = "unavailable" // no target can take it
	ReasonConnect     Reason = "connect"     // no connection to a target
	ReasonShed        Reason = "shed"        // the target refused to begin it
	ReasonReset       Reason = "reset"       // the target broke the connection
	ReasonCut         Reason = "cut"         // the answer ended early
	ReasonInvalid     Reason = "invalid"     // the answer broke the protocol
	ReasonTimeout     Reason = "timeout"     // no answer in time after a dispatch
	ReasonSlow        Reason = "slow"        // no answer yet, so that another target is asked beside
	ReasonCancelled   Reason = "cancelled"   // its caller left
	ReasonQuarantined Reason = "quarantined" // it crashed targets before
	ReasonPanic       Reason = "panic"       // a fault in plumpitch itself
)

// Reason returns the reason that a failure in this stage is reported with.
func (s Stage) Reason() Reason {
	switch s {
	case StageConnect, StageRefused, StageUnsent:
		return ReasonConnect
	case StageCut:
		return ReasonCut
	case StageInvalid:
		return ReasonInvalid
	case StageCaller, StageCancelled:
		return ReasonCancelled
	case StageTimeout:
		return ReasonTimeout
	default:
		return ReasonReset
	}
}

// Final is an answer that plumpitch makes itself.
type Final struct {
	Outcome Outcome
	Reason  Reason
	Detail  string        // for people; names field, found and expected
	Retry   time.Duration // when to come back; 0 says nothing
	Status  int           // HTTP status; 0 takes the one of the reason
}

// Code returns the HTTP status of a final answer.
func (f Final) Code() int {
	if f.Status != 0 {
		return f.Status
	}
	switch f.Reason {
	case ReasonMalformed:
		return http.StatusBadRequest
	case ReasonDeadline, ReasonTimeout:
		return http.StatusGatewayTimeout
	case ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case ReasonReset, ReasonCut, ReasonInvalid:
		return http.StatusBadGateway
	case ReasonPanic:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
