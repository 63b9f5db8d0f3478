package gateway

import (
	"net/http"
	"sync"
	"time"

	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/grace"
	"plumpitch.example/plumpitch/platform"
)

// leavingRetry is the Retry-After value of requests that come too late in a stop. Other entries serve
// them at once.
const leavingRetry = 10 * time.Millisecond

// durations holds how long requests of each class have taken lately, from their dispatch to the end of
// their response.
type durations struct {
	mu     sync.Mutex
	recent grace.Durations
}

func (d *durations) note(now time.Time, class string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recent.Note(now, class, took)
}

func (d *durations) longest(now time.Time, class string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recent.Longest(now, class)
}

// noteDuration records how long the request took, if it was dispatched.
func (q *request) noteDuration(now time.Time) {
	if q.dispatchCount() > 0 {
		q.service.durations.note(now, q.route.Name, now.Sub(q.dispatches[0].began))
	}
}

// tooLate reports whether this entry stops, and too little time is left for the service's targets.
func (q *request) tooLate(now time.Time, s *service) bool {
	period := q.gateway.period.Load()
	if period == nil {
		return false
	}
	r := grace.Request{Deadline: q.deadline()}
	if s != nil {
		r.Usual, r.Longest = s.serviceTime(q.route.Name), s.durations.longest(now, q.route.Name)
	}
	return !period.Admits(now, r)
}

// refusedLate refuses a request that comes too late in a stop, and reports whether it has.
func (q *request) refusedLate(now time.Time, s *service) bool {
	if !q.tooLate(now, s) {
		return false
	}
	q.service = s
	q.refuseLeaving()
	return true
}

// noteCut records a request without a complete response at the end of a stop.
func (g *Gateway) noteCut(r *http.Request) {
	g.instruments.stopCuts.Inc(1)
	g.log.WithField(logs.FieldRequest, platform.RequestID(r.Header)).Warn("request has no complete response at the end of the stop")
}

// refuseLeaving refuses a request because this entry stops.
func (q *request) refuseLeaving() {
	q.gateway.instruments.stopRefusals.Inc(1)
	q.countAccount(resultOverload)
	refuse := func() { q.refuse(reasonLeaving, leavingRetry) }
	if q.r.ContentLength == 0 || q.body != nil {
		refuse()
		return
	}
	q.refuseUnread(http.NewResponseController(q.w), refuse)
}

// declineLeaving ends the wait for a target because this entry stops.
func (q *request) declineLeaving(now time.Time) call.Actions {
	q.gateway.instruments.stopRefusals.Inc(1)
	q.service.cancel(now, q.pendingID)
	q.pendingID = 0
	return q.call.Decline(now, call.Decline{Reason: reasonLeaving, RetryAfter: leavingRetry})
}
