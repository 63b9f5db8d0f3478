package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/platform"
)

var errImproper = errors.New("invalid response: no signature, wrong request ID or disallowed status")

// validResponse reports whether a response may be forwarded. A success needs the target's
// signature and the ID of this request. A status that callers take to mean that the
// request did not run needs the target's confirmation (platform.NotRun).
func (q *request) proper(a *forward.Answer) bool {
	switch {
	case platform.NotRun(a.Status, a.Header):
		return true
	case a.Status < http.StatusOK || promises(a.Status):
		return false
	case a.Status < http.StatusMultipleChoices:
		return platform.Signed(a.Header) && platform.RequestID(a.Header) == q.id
	}
	return true
}

// impliesNotRun reports whether callers take a status to mean that the request did not
// run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardResponse sends the response of a dispatch to the caller.
func (q *request) pass(i int) {
	t := &q.tries[i]
	a := t.answer
	t.answer = nil
	q.service.counts.answered.Inc(1)
	q.service.counts.latency.RecordDuration(time.Since(q.arrived))
	q.logAnswer(t, a.Status, a.Connect)
	for _, name := range platform.TargetsOnly {
		a.Header.Del(name)
	}
	if a.Body == nil {
		a.Header.Set("Content-Length", strconv.Itoa(len(a.Whole)))
	}
	forward.Copy(q.w, a, func(f *forward.Failure) {
		if f != nil {
			q.gateway.log.WithFields(q.fields()).WithError(f.Cause).Info("response to the caller broke off")
			return
		}
		if a.Body != nil {
			q.clear(time.Now(), t, a.Status)
		}
	})
}

// respondFailed sends the caller the final error when no target's response is forwarded.
func (q *request) giveUp() {
	f := q.call.Final()
	switch {
	case q.r.Context().Err() != nil:
		// The caller has closed the connection.
		panic(http.ErrAbortHandler)
	case f.Outcome == call.NotRun:
		reason := string(f.Reason)
		retry := f.Retry
		switch {
		case q.refused.Do != 0:
			reason = q.refused.Reason.String()
		case f.Reason == call.ReasonShed:
			retry = q.service.back(time.Now())
		}
		q.refuse(reason, retry)
	case f.Reason == call.ReasonTimeout || f.Reason == call.ReasonDeadline:
		q.final(http.StatusGatewayTimeout, string(f.Reason))
	default:
		q.final(http.StatusBadGateway, string(f.Reason))
	}
}

// refuse responds with status 503: the request has not run and never will.
func (q *request) refuse(reason string, retry time.Duration) {
	if retry > 0 {
		platform.RetryAfter(q.w.Header(), retry)
	}
	q.final(http.StatusServiceUnavailable, reason)
}

// respond sends an error response that comes from this entry and not from a target.
func (q *request) final(status int, reason string) {
	q.logFinal(status, reason)
	if q.service != nil {
		q.service.counts.final(reason).Inc(1)
	}
	q.w.Header().Set(call.HeaderReason, reason)
	q.w.Header().Set("Content-Length", "0")
	q.w.WriteHeader(status)
}
