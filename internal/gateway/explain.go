package gateway

import (
	"math"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/slot"
)

// A request logs one line at its end and one line for each failed dispatch. Together these
// lines contain the inputs of each decision.

// logFields returns the fields common to all log lines of the request.
func (q *request) logFields() log.Fields {
	f := log.Fields{logs.FieldRequest: q.id, "ms": time.Since(q.arrived).Milliseconds()}
	if q.route != nil {
		f["route"], f["config"] = q.route.Name, uint64(q.version)
	}
	q.addAccount(f)
	return f
}

// addDecision adds the inputs of the choice of a target: its requests in flight, its pace
// (service time as a multiple of the baseline) and the age in ms of its load report if it
// has sent one, the expected response time, the number of probed targets, the wait for the
// choice, the time left for the dispatch, and how many connections had carried the request's ID
// and were given up for it, if any.
func addDecision(f log.Fields, d *dispatch) {
	f["target"], f["inflight"], f["asked"] = d.target.ID, d.decision.InFlight, d.decision.Probed
	if d.decision.LoadKnown {
		f["pace"], f["age"] = math.Round(100*d.decision.Pace)/100, d.decision.LoadAge.Milliseconds()
	}
	f["waited"], f["expected"], f["left"] = d.decision.Waited.Milliseconds(), d.decision.Expected.Milliseconds(), d.timeout.Milliseconds()
	if d.repeatedIDs > 0 {
		f["repeated"] = d.repeatedIDs
	}
}

// logResponse logs that a target's response is forwarded.
func (q *request) logResponse(d *dispatch, status int, connect time.Duration) {
	f := q.logFields()
	addDecision(f, d)
	f["status"], f["tries"], f["connect"] = status, q.dispatchCount(), connect.Milliseconds()
	q.addBudgetDenied(f)
	q.gateway.log.WithFields(f).Info("answered by its target")
}

// logExtraDispatch logs why a request is retried or hedged, and how many more retries and
// hedges the budget allows.
func (q *request) logExtraDispatch(d *dispatch, why call.Reason) {
	f := q.logFields()
	addDecision(f, d)
	f["why"], f["saved"] = string(why), math.Round(10*q.service.budget.Available())/10
	q.gateway.log.WithFields(f).Warn("sent again")
}

// logCleared logs that a request is no longer suspected of crashing targets.
func (q *request) logCleared(d *dispatch, status int) {
	f := q.logFields()
	addDecision(f, d)
	f["status"], f["print"] = status, q.fingerprints().text()
	q.gateway.log.WithFields(f).Warn("request is cleared, its target answered")
}

// addBudgetDenied adds a field if the budget denied a retry or hedge of the request.
func (q *request) addBudgetDenied(f log.Fields) {
	if q.call.BudgetDenied() {
		f["spent"] = true
	}
}

// logFailure logs a failed dispatch.
func (q *request) logFailure(d *dispatch, fail *forward.Failure) {
	f := q.logFields()
	addDecision(f, d)
	f["stage"], f["ran"], f["connect"] = fail.Stage.String(), executionText(fail.Execution), fail.ConnectTime.Milliseconds()
	if fail.Stage.MayBeCrash() {
		f["print"], f["crashes"], f["caller"] = q.fingerprints().text(), q.fingerprints().crashCount(q.gateway.suspects), q.callerAddress()
	}
	q.gateway.log.WithFields(f).WithError(logs.Short(fail.Cause)).Warn("dispatch failed")
}

// noteStray counts a failed dispatch whose response may belong to another request.
func (q *request) noteStray(f *forward.Failure) {
	var stray *forward.StrayError
	if errors.As(f.Cause, &stray) {
		q.service.instruments.strayResponses(stray.Identity.String()).Inc(1)
	}
}

// noteRepeatedIDs counts and logs the connections that were given up for a dispatch. fields are those
// of its target.
func (q *request) noteRepeatedIDs(connections int, fields log.Fields) {
	if connections == 0 {
		return
	}
	q.service.instruments.repeatedIDs.Inc(int64(connections))
	f := q.logFields()
	f["repeated"] = connections
	q.gateway.log.WithFields(f).WithFields(fields).Info("gave up connections that had carried the request's ID")
}

// logFinal logs an error response of this entry.
func (q *request) logFinal(status int, reason string) {
	f := q.logFields()
	f["status"], f["reason"], f["tries"] = status, reason, q.dispatchCount()
	q.addBudgetDenied(f)
	if reason == string(call.ReasonQuarantined) {
		f["print"] = q.fingerprints().text()
	}
	if q.refusal.Kind == slot.Refuse {
		f["retry"] = q.refusal.RetryAfter.Milliseconds()
	}
	if q.noMemory != nil {
		u := q.gateway.guard.Usage()
		f["cause"], f["length"], f["held"], f["waiting"], f["limit"] = q.noMemory.Cause.String(), q.r.ContentLength, u.Held, u.Waiting, u.Limit
	}
	q.gateway.log.WithFields(f).Warn("answered in place of a target")
}

// executionText returns the log value of an execution: "yes", "no" or "maybe".
func executionText(e call.Execution) string {
	switch e {
	case call.DidRun:
		return "yes"
	case call.DidNotRun:
		return "no"
	}
	return "maybe"
}
