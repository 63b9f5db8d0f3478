package gateway

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/ratelimit"
	"plumpitch.example/plumpitch/platform"
)

// awaitToken waits until the request has a token of its account. It responds and returns false if
// it gets none.
func (q *request) awaitToken(v *view) (ok bool) {
	if q.account == nil {
		return true
	}
	q.noteWait()
	if q.account.Limit.Unlimited() {
		return true
	}
	t, now := q.gateway.quotas, time.Now()
	decision := make(chan ratelimit.Action, 1)
	id := t.acquire(now, q.tokenRequest(now, v.services[q.route.Split.Peek()]), decision)
	expiry := time.NewTimer(time.Until(q.deadline()) - responseMargin)
	defer expiry.Stop()
	var a ratelimit.Action
	select {
	case a = <-decision:
	case <-q.r.Context().Done():
		t.abandon(time.Now(), q.account.Name, id, decision)
		panic(http.ErrAbortHandler)
	case <-q.gateway.giveUp:
		t.abandon(time.Now(), q.account.Name, id, decision)
		q.refuseLeaving()
		return false
	case <-expiry.C:
		t.abandon(time.Now(), q.account.Name, id, decision)
		q.respond(http.StatusGatewayTimeout, reasonNoQuota)
		return false
	}
	q.late = a.Late
	switch a.Kind {
	case ratelimit.Admit:
		q.hasToken, q.admitted = true, time.Now()
		q.gateway.instruments.accounts.countToken(q.account.Name, q.late)
		return true
	case ratelimit.Refuse:
		q.gateway.instruments.accounts.count(q.account.Name, reasonQuota)
		if q.late {
			q.gateway.instruments.accounts.countRefusedLate(q.account.Name)
		}
		q.tokenExpected = a.RetryAfter
		t.logOverLimit(time.Now(), q.account)
		platform.SetRetryAfter(q.w.Header(), a.RetryAfter)
		q.respond(http.StatusTooManyRequests, reasonQuota)
	default:
		q.refuseAs(q.account.Name, reasonNoQuota, a.RetryAfter)
	}
	return false
}

// noteWait estimates how long the caller has been waiting, if the settings have a window of the
// quota.
func (q *request) noteWait() {
	left, ok := platform.RequestTimeout(q.r.Header)
	if !ok || q.gateway.bounds.Load().QuotaWindow <= 0 {
		return
	}
	q.route.StartRange.Observe(q.arrived, left)
	q.waited = q.route.StartRange.Elapsed(left)
}

// tokenRequest returns the request for a token, with what tells whether the request, which the
// service is to run, can still meet its objective.
func (q *request) tokenRequest(now time.Time, s *service) ratelimit.Request {
	r := ratelimit.Request{Account: q.account.Name, Limit: q.account.Limit}
	left, ok := platform.RequestTimeout(q.r.Header)
	if s == nil || !ok || q.gateway.bounds.Load().QuotaWindow <= 0 {
		return r
	}
	slack := q.route.Objective - s.serviceTime(q.route.Name)
	if slack <= 0 {
		return r // no request can meet the objective, so none is late
	}
	r.Route, r.Shortest, r.Remaining, r.Slack = q.route.ID, q.route.StartRange.Reliable(), left, slack
	r.Late = max(q.waited, q.route.WaitEstimator.Estimate(left))+now.Sub(q.arrived) > slack
	return r
}

// chargeDispatch charges the account for a further dispatch if an earlier one may have run:
// targets count both.
func (q *request) chargeDispatch(now time.Time, earlier int) {
	if q.hasToken && earlier > 0 {
		q.gateway.quotas.charge(now, q.account.Name)
	}
}

// logFieldAccount is the log field with the name of a client account.
const logFieldAccount = "account"

// addAccount adds the name of the request's account to the fields of a log line, whether the
// request was late when it asked for a token, and when a refused one may expect a token.
func (q *request) addAccount(f log.Fields) {
	if q.account == nil {
		return
	}
	f[logFieldAccount] = q.account.Name
	if q.late {
		f["late"] = true
	}
	if q.tokenExpected > 0 {
		f["retry"] = q.tokenExpected.Milliseconds()
	}
}
