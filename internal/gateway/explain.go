package gateway

import (
	"math"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/slot"
)

// Each request ends with one line, and each dispatch that failed has one of its
// own. Together they tell by what each decision was made.

// fields are those of each line about the request.
func (q *request) fields() log.Fields {
	f := log.Fields{logs.FieldRequest: q.id, "ms": time.Since(q.arrived).Milliseconds()}
	if q.route != nil {
		f["route"], f["config"] = q.route.Name, uint64(q.version)
	}
	return f
}

// choice adds by what a target was chosen: requests there, its pace and the age
// of that word in ms where it has told any, how long the answer should take, how
// many were asked.
func choice(f log.Fields, t *try) {
	f["target"], f["inflight"], f["asked"] = t.target.ID, t.why.InFlight, t.why.Asked
	if t.why.Told {
		f["pace"], f["age"] = math.Round(100*t.why.Pace)/100, t.why.Age.Milliseconds()
	}
	f["waited"], f["expected"] = t.why.Waited.Milliseconds(), t.why.Expected.Milliseconds()
}

func (q *request) logAnswer(t *try, status int) {
	f := q.fields()
	choice(f, t)
	f["status"], f["tries"] = status, q.next()
	q.gateway.log.WithFields(f).Info("answered by its target")
}

func (q *request) logFailure(t *try, fail *forward.Failure) {
	f := q.fields()
	choice(f, t)
	f["stage"], f["ran"] = fail.Stage.String(), ran(fail.Ran)
	q.gateway.log.WithFields(f).WithError(fail.Cause).Warn("dispatch failed")
}

func (q *request) logFinal(status int, reason string) {
	f := q.fields()
	f["status"], f["reason"], f["tries"] = status, reason, q.next()
	if q.refused.Do == slot.Refuse {
		f["retry"] = q.refused.Retry.Milliseconds()
	}
	q.gateway.log.WithFields(f).Warn("answered in place of a target")
}

// ran is the word for what is known of an execution.
func ran(e call.Execution) string {
	switch e {
	case call.DidRun:
		return "yes"
	case call.DidNotRun:
		return "no"
	}
	return "maybe"
}
