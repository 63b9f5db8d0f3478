package gateway

import (
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/slot"
)

// release frees the resources of the request. It cancels the dispatches in flight; their
// results are collected in the background.
func (q *request) release() {
	if q.call.BudgetDenied() {
		q.service.instruments.budgetDenied.Inc(1)
	}
	if q.call.Outcome() == call.NotRun {
		q.returnToken()
	}
	if !q.trial.IsZero() {
		q.fingerprints().endTrial(q.gateway.suspects, time.Now(), q.trial, q.call.Outcome() != call.NotRun)
	}
	if q.pendingID != 0 {
		q.service.cancel(time.Now(), q.pendingID)
	}
	for i := range q.dispatches {
		if q.dispatches[i].cancel != nil {
			q.dispatches[i].cancel()
		}
	}
	for i := range q.dispatches {
		if resp := q.dispatches[i].response; resp != nil {
			resp.Close()
		}
	}
	if q.inFlight > 0 {
		q.bodyUsed = true
		go q.awaitCancelled()
	}
}

// returnToken gives the token of a request that has not run back to its account.
func (q *request) returnToken() {
	if q.hasToken {
		q.gateway.quotas.giveBack(time.Now(), q.account.Name, q.admitted)
	}
}

// awaitCancelled waits for the results of cancelled dispatches and frees their slots.
func (q *request) awaitCancelled() {
	defer q.closeBody()
	for ; q.inFlight > 0; q.inFlight-- {
		res := <-q.results
		d := &q.dispatches[res.dispatch]
		completion := slot.Completion{ID: d.id, Outcome: slot.Cancelled, Report: q.gateway.resultReport(d.target.ID, res)}
		if res.response != nil {
			res.response.Close()
		}
		if res.failure != nil && res.failure.Stage == call.StageTimeout {
			completion.Outcome = slot.TimedOut
		}
		q.service.complete(time.Now(), completion)
	}
}
