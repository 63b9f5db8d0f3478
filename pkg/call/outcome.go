// Package call implements the lifecycle of one request as a state machine: its
// dispatches, retries and hedges, and the response that its caller receives. It does
// no I/O and reads no clock.
package call

import (
	"net/http"
	"time"
)

// Outcome is the execution status of a request that is reported to its caller.
type Outcome uint8

// The zero Outcome is Unknown, so that an unset field makes no claim.
const (
	// Unknown: the request may have run.
	Unknown Outcome = iota
	// NotRun: the request did not run and never will.
	NotRun
	// Ran: the request ran, but its response can't be delivered.
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

// Execution is what is known about the execution of one dispatch.
type Execution uint8

// The zero Execution is MayHaveRun, so that an unset field makes no claim.
const (
	// MayHaveRun: bytes of the request left this process.
	MayHaveRun Execution = iota
	// DidNotRun: no byte of the request left this process, or the target reported
	// that it did not start it.
	DidNotRun
	// DidRun: the target has sent a response.
	DidRun
)

// Stage is the stage at which a dispatch failed.
type Stage uint8

// The stages, in the order in which a dispatch passes them.
const (
	// StageConnect: no connection was obtained.
	StageConnect Stage = iota + 1
	// StageRefused: the target refused the connection.
	StageRefused
	// StageUnsent: a connection was open, but nothing was written to it.
	StageUnsent
	// StageSent: part of the request was written, but no complete response head arrived.
	StageSent
	// StageCut: the response head arrived, but the body ended early.
	StageCut
	// StageInvalid: the target is alive, but its response can't be forwarded.
	StageInvalid
	// StageCaller: the request body could not be read from the caller.
	StageCaller
	// StageCancelled: the dispatch was cancelled.
	StageCancelled
	// StageTimeout: the dispatch timed out.
	StageTimeout
)

var stageNames = [...]string{
	StageConnect: "connect", StageRefused: "refused", StageUnsent: "unsent", StageSent: "reset",
	StageCut: "cut", StageInvalid: "invalid", StageCaller: "caller", StageCancelled: "cancelled", StageTimeout: "timeout",
}

// String returns the one-word name of a stage.
func (s Stage) String() string {
	if int(s) >= len(stageNames) || s == 0 {
		return "none"
	}
	return stageNames[s]
}

// Reason is the machine-readable cause of a response that plumpitch generates itself.
type Reason string

// Reasons for the responses and extra dispatches that this package decides.
const (
	ReasonMalformed   Reason = "malformed"   // the request is invalid
	ReasonDeadline    Reason = "deadline"    // the deadline passed before a dispatch
	ReasonOverload    Reason = "overload"    // the queue is full or its wait is too long
	ReasonUnavailable Reason = "unavailable" // no target can accept the request
	ReasonConnect     Reason = "connect"     // no connection to a target
	ReasonShed        Reason = "shed"        // the target refused to start the request
	ReasonReset       Reason = "reset"       // the target broke the connection
	ReasonCut         Reason = "cut"         // the response ended early
	ReasonInvalid     Reason = "invalid"     // the response violated the protocol
	ReasonTimeout     Reason = "timeout"     // no response in time after a dispatch
	ReasonSlow        Reason = "slow"        // no response yet; a hedge goes to another target
	ReasonCancelled   Reason = "cancelled"   // the caller disconnected
	ReasonKey         Reason = "key"         // the request has no key of an account
	ReasonQuarantined Reason = "quarantined" // the request has crashed targets
	ReasonPanic       Reason = "panic"       // an internal error of plumpitch
)

// Reason returns the reason reported for a failure at this stage.
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

// Final is a response that plumpitch generates itself.
type Final struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string        // for people: the field, the value found and the values expected
	RetryAfter time.Duration // delay before the caller retries; 0 omits it
	Status     int           // HTTP status; 0 derives it from Reason
}

// StatusCode returns the HTTP status of the response.
func (f Final) StatusCode() int {
	if f.Status != 0 {
		return f.Status
	}
	switch f.Reason {
	case ReasonMalformed:
		return http.StatusBadRequest
	case ReasonKey:
		return http.StatusUnauthorized
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
