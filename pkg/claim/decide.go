package claim

import (
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// ResolveExisting returns the result for a request with the given fingerprint whose key
// has a record of another attempt. The request never runs again: that attempt may have
// run it or may still run it, regardless of the record's age and creator.
func ResolveExisting(now time.Time, found Record, fingerprint uint64) Result {
	switch {
	case found.Fingerprint != fingerprint:
		return Result{Kind: Conflict, Reason: ReasonKeyReused}
	case found.Response != nil && found.Response.Outcome == call.Ran:
		return replay(*found.Response)
	case found.Response != nil || now.After(found.DispatchDeadline):
		return Result{Kind: Uncertain, Reason: ReasonRunUnknown}
	}
	return Result{Kind: Uncertain, Reason: ReasonInProgress, RetryAfter: RetryDelay}
}

// replay returns the result with a recorded response.
func replay(recorded Response) Result {
	r := Result{Kind: Replay, Response: recorded}
	if !recorded.Complete {
		r.Reason = ReasonNotRecorded
	}
	return r
}

// StoreUnreachable returns the result while the store doesn't report whether the key
// has a record. The result is uncertain, because an earlier attempt may have run the
// request.
func StoreUnreachable() Result {
	return Result{Kind: Uncertain, Reason: ReasonUnreachable, RetryAfter: RetryDelay}
}

// Finish returns the result for the caller after the run, and the response to record.
// It records nothing if the request did not run, so that the key is free for the next
// attempt.
func Finish(run RunResult) (r Result, recorded *Response) {
	switch run.Outcome {
	case call.NotRun:
		return Result{Kind: NotRun, Reason: run.Reason, RetryAfter: run.RetryAfter}, nil
	case call.Unknown:
		return Result{Kind: Uncertain, Reason: run.Reason, RetryAfter: run.RetryAfter}, &Response{Outcome: call.Unknown}
	}
	response := run.Response
	response.Outcome = call.Ran
	return Result{Kind: Fresh, Response: response}, &response
}

// Retention is the time for which a record is kept. Callers retry within minutes; an
// hour also covers callers that were disconnected.
const Retention = time.Hour

// Expired reports whether the record may be removed.
func (r Record) Expired(now time.Time) bool {
	return now.Sub(r.ClaimedAt) > Retention
}
