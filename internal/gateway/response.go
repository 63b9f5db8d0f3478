package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/platform"
)

var errInvalidResponse = errors.New("invalid response: no signature, wrong request ID, disallowed status or both run and not run")

// validResponse reports whether a response may be forwarded. A success needs the target's
// signature and the ID of this request. A status that callers take to mean that the
// request did not run needs the target's confirmation (isRefusal).
func (q *request) validResponse(resp *forward.Response) bool {
	switch {
	case isRefusal(resp):
		return true
	case platform.Contradicts(resp.Status, resp.Header):
		return false
	case resp.Status < http.StatusOK || impliesNotRun(resp.Status):
		return false
	case resp.Status < http.StatusMultipleChoices:
		return platform.IsSigned(resp.Header) && platform.RequestID(resp.Header) == q.id
	}
	return true
}

// isRefusal reports whether a response states that this request didn't run.
func isRefusal(resp *forward.Response) bool {
	return resp.Identity == forward.OwnID && platform.NotRun(resp.Status, resp.Header)
}

// impliesNotRun reports whether callers take a status to mean that the request did not
// run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardResponse sends the response of a dispatch to the caller.
func (q *request) forwardResponse(i int) {
	d := &q.dispatches[i]
	resp := d.response
	d.response = nil
	q.setServed(true)
	q.service.instruments.forwarded.Inc(1)
	q.countAccount(resultServed)
	q.service.instruments.latency.RecordDuration(time.Since(q.arrived))
	q.logResponse(d, resp.Status, resp.ConnectTime)
	for _, name := range platform.TargetOnlyHeaders {
		resp.Header.Del(name)
	}
	resp.Header.Del(call.HeaderReason) // only entries give reasons; a delegate's is believed
	if resp.Body == nil {
		resp.Header.Set("Content-Length", strconv.Itoa(len(resp.Buffered)))
	}
	forward.Copy(q.w, resp, func(f *forward.Failure) {
		if f != nil {
			if f.Stage.MayBeCrash() {
				q.noteBrokenConnection(time.Now(), d, f.Stage)
			}
			q.gateway.log.WithFields(q.logFields()).WithError(f.Cause).Info("response to the caller broke off")
			return
		}
		if resp.Body != nil {
			q.clearSuspicion(time.Now(), d, resp.Status)
		}
	})
}

// respondFailed sends the caller the final error when no target's response is forwarded.
func (q *request) respondFailed() {
	final := q.call.Final()
	switch {
	case q.r.Context().Err() != nil:
		// The caller has closed the connection.
		panic(http.ErrAbortHandler)
	case final.Outcome == call.NotRun && final.Reason == reasonUnknownKey:
		q.respondUnauthorized(reasonUnknownKey)
	case final.Outcome == call.NotRun:
		reason := string(final.Reason)
		retry := final.RetryAfter
		switch {
		case q.refusal.Kind != 0:
			reason = q.refusal.Reason.String()
		case final.Reason == call.ReasonShed:
			retry = q.service.retryAfter(time.Now())
		}
		q.countAccount(resultOverload)
		q.refuse(reason, retry)
	case final.Reason == call.ReasonTimeout || final.Reason == call.ReasonDeadline:
		q.countAccount(resultFailed)
		q.respond(http.StatusGatewayTimeout, string(final.Reason))
	default:
		q.countAccount(resultFailed)
		q.respond(http.StatusBadGateway, string(final.Reason))
	}
}

// refuse responds with status 503: the request has not run and never will.
func (q *request) refuse(reason string, retry time.Duration) {
	if retry > 0 {
		platform.SetRetryAfter(q.w.Header(), retry)
	}
	q.respond(http.StatusServiceUnavailable, reason)
}

// refuseAs refuses a request and counts that for an account.
func (q *request) refuseAs(account, reason string, retry time.Duration) {
	q.gateway.instruments.accounts.count(account, reason)
	q.refuse(reason, retry)
}

// respond sends an error response that comes from this entry and not from a target. It has the
// request's ID, as those of targets do, by which an entry that passed the request on knows it.
func (q *request) respond(status int, reason string) {
	q.logFinal(status, reason)
	if q.account != nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		q.route.StartRange.NoteRefusal(time.Now())
		q.route.WaitEstimator.NoteRefusal()
	}
	if q.service != nil {
		q.service.instruments.errorResponses(reason).Inc(1)
	}
	q.w.Header().Set(call.HeaderReason, reason)
	if q.id != "" {
		q.w.Header().Set(platform.HeaderRequestID, q.id)
	}
	q.w.Header().Set("Content-Length", "0")
	q.w.WriteHeader(status)
}

// setServed says whether the request was of use to its caller.
func (q *request) setServed(served bool) {
	if r, ok := q.w.(callers.Response); ok {
		r.SetServed(served)
	}
}
