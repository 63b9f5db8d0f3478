package claim

import (
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// Meet decides what the caller of a request with that fingerprint is told whose
// key has a record of another attempt. It never lets the request run: the record's attempt may have
// run it, or may still, whoever made it and however old it is.
func Meet(now time.Time, found Record, mark uint64) Result {
	switch {
	case found.Print != mark:
		return Result{Kind: Conflict, Reason: ReasonKeyReused}
	case found.Answer != nil && found.Answer.Outcome == call.Ran:
		return replay(*found.Answer)
	case found.Answer != nil || now.After(found.Until):
		return Result{Kind: Uncertain, Reason: ReasonRanUnknown}
	}
	return Result{Kind: Uncertain, Reason: ReasonInProgress, RetryAfter: RetrySoon}
}

func replay(a Answer) Result {
	r := Result{Kind: Replay, Answer: a}
	if !a.Whole {
		r.Reason = ReasonNotKept
	}
	return r
}

// Doubt is what the caller is told while the store doesn't say whether the key
// has a record. It never says that the key has not run: an earlier attempt may
// have.
func Doubt() Result {
	return Result{Kind: Uncertain, Reason: ReasonUnreachable, RetryAfter: RetrySoon}
}

// Finish gives what the caller is told after the run, and what the record keeps
// of it. It keeps nothing where the request surely did not run: the key is free
// for the next attempt then.
func Finish(e Ended) (r Result, kept *Answer) {
	switch e.Outcome {
	case call.NotRun:
		return Result{Kind: NotRun, Reason: e.Reason, RetryAfter: e.RetryAfter}, nil
	case call.Unknown:
		return Result{Kind: Uncertain, Reason: e.Reason, RetryAfter: e.RetryAfter}, &Answer{Outcome: call.Unknown}
	}
	a := e.Answer
	a.Outcome = call.Ran
	return Result{Kind: Fresh, Answer: a}, &a
}

// Retention is how long a record is kept. Callers come back within minutes; an
// hour leaves room for those that were cut off.
const Retention = time.Hour

// Expired reports whether the record may be removed.
func (r Record) Expired(now time.Time) bool {
	return now.Sub(r.At) > Retention
}
