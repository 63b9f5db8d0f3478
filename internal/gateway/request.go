package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// request is the state of one caller request while it is served.
type request struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	body    []byte
	digest  uint64 // identifies repeated requests for the crash quarantine
	route   *route.ActiveRoute
	service *service
	version route.Version // of the configuration used for this request
	// objective is the time by which the response should arrive, counted from the
	// caller's first attempt.
	objective time.Time

	call    call.Call
	tries   [call.MaxDispatches]try
	sought  uint64 // ID of the pending target request in the balancer; 0 if none
	slots   chan slot.Action
	results chan result
	flying  int // dispatches in flight
	hedge   *time.Timer
	refused slot.Action // refusal of the balancer, if it gave no target
}

// dispatch is one dispatch of a request to a target.
type try struct {
	id     uint64 // in the balancer
	target slot.Target
	why    slot.Decision // data behind the choice of the target
	began  time.Time
	left   time.Duration // timeout that was sent to the target
	cancel context.CancelFunc
	answer *forward.Answer
}

// result is the outcome of a dispatch.
type result struct {
	try    int
	answer *forward.Answer
	fail   *forward.Failure
}

// responseMargin is how long before its deadline a request is given up, so that the
// response reaches the caller in time.
const endMargin = 2 * time.Millisecond

// run acquires a target, dispatches the request and forwards the response.
func (q *request) run(v *view) {
	q.service = v.services[q.route.Split.Next()]
	if q.service == nil {
		q.refuse("noservice", noConfigRetry)
		return
	}
	now := time.Now()
	deadline := q.end()
	expiry := time.NewTimer(deadline.Sub(now))
	defer expiry.Stop()
	q.hedge = time.NewTimer(deadline.Sub(now)) // reset when the call starts its hedge timer
	defer q.hedge.Stop()
	defer q.release()
	actions := q.arrive(now, deadline)
	for !q.do(actions.All()) {
		select {
		case a := <-q.slots:
			actions = q.chosen(time.Now(), a)
		case res := <-q.results:
			q.flying--
			actions = q.ended(time.Now(), res)
		case <-q.hedge.C:
			actions = q.call.Hedge(time.Now())
		case <-expiry.C:
			actions = q.call.Expire(time.Now())
		case <-q.gateway.ending:
			actions = q.call.Expire(time.Now())
		case <-q.r.Context().Done():
			actions = q.call.CallerLeft(time.Now())
		}
	}
}

// start initializes the request and passes it to the call state machine.
func (q *request) arrive(now, deadline time.Time) call.Actions {
	q.slots = make(chan slot.Action, 1)
	q.results = make(chan result, call.MaxDispatches)
	q.digest = q.fingerprint()
	q.objective = q.arrived.Add(q.route.Objective)
	if left, ok := platform.RequestTime(q.r.Header); ok {
		q.objective = q.objective.Add(-q.route.WaitEstimator.Elapsed(left))
	}
	q.call = call.New(call.Config{
		MaxDispatches: min(q.route.Attempts, call.MaxDispatches), Margin: endMargin, Budget: q.service.budget,
	})
	return q.call.Arrive(now, call.Arrival{
		Deadline: deadline, Idempotent: q.route.Idempotent, HedgeDelay: q.service.hedge(q.route.Name, q.objective.Sub(now)),
		QuarantineRemaining: q.gateway.suspects.QuarantineRemaining(now, q.digest),
	})
}

// deadline returns the latest time of the final response: the caller's deadline or the
// route's timeout, whichever is earlier.
func (q *request) end() time.Time {
	timeout := q.route.Timeout
	if left, ok := platform.RequestTime(q.r.Header); ok {
		timeout = min(timeout, left)
	}
	return q.arrived.Add(timeout)
}

// computeFingerprint hashes the caller's address, the method, the path and the body, so
// that a request that crashes targets is recognized when it is repeated.
func (q *request) fingerprint() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	host, _, err := net.SplitHostPort(q.r.RemoteAddr)
	if err != nil {
		host = q.r.RemoteAddr
	}
	_, _ = hash.WriteString(host + "\x00" + q.r.Method + "\x00" + q.r.URL.RequestURI() + "\x00")
	_, _ = hash.Write(q.body)
	return hash.Sum64()
}

// perform executes the actions of the call state machine and reports whether the request
// has ended.
func (q *request) do(actions []call.Action) (ended bool) {
	for _, a := range actions {
		switch a.Kind {
		case call.ActionAcquire:
			q.seek(false)
		case call.ActionAcquireHedge:
			q.seek(true)
		case call.ActionWithdraw, call.ActionRelease:
			q.service.cancel(time.Now(), q.sought)
			q.sought = 0
		case call.ActionDispatch:
			q.dispatch(a)
		case call.ActionCancel:
			q.tries[a.Dispatch].cancel()
		case call.ActionRespond:
			q.pass(a.Dispatch)
			return true
		case call.ActionRefuse:
			q.giveUp()
			return true
		case call.ActionStartHedgeTimer:
			q.hedge.Reset(a.After)
		}
	}
	return false
}

// acquire asks the balancer for a target that has not been tried yet.
func (q *request) seek(hedge bool) {
	now := time.Now()
	r := slot.Request{
		Arrived: q.arrived, Objective: q.objective, Deadline: q.end(),
		Priority: q.route.Priority, Hedge: hedge, Class: q.route.Name, Regions: q.route.Regions,
	}
	q.call.EachTarget(func(target string) { r.Tried = append(r.Tried, target) })
	q.sought = q.service.arrive(now, r, q.slots)
}

// handleDecision handles the balancer's decision: a target or a refusal.
func (q *request) chosen(now time.Time, a slot.Action) call.Actions {
	if a.Kind == slot.Refuse {
		q.refused = a
		q.sought = 0
		return q.call.Decline(now, call.Decline{Reason: call.ReasonOverload, RetryAfter: a.RetryAfter})
	}
	q.refused = slot.Action{}
	if gone(q.r) {
		return q.call.CallerLeft(now)
	}
	d := &q.tries[min(q.next(), call.MaxDispatches-1)]
	d.target, d.why = a.Target, a.Decision
	return q.call.Choose(now, call.Choice{Target: a.Target.ID})
}

// dispatchCount returns the number of dispatches so far.
func (q *request) next() (n int) {
	q.call.EachTarget(func(string) { n++ })
	return n
}

// dispatch sends the request to the chosen target.
func (q *request) dispatch(a call.Action) {
	d := &q.tries[a.Dispatch]
	d.id, q.sought = q.sought, 0
	d.began = time.Now()
	ctx, cancel := context.WithCancel(context.WithoutCancel(q.r.Context()))
	d.cancel = cancel
	q.flying++
	q.service.counts.sent.Inc(1)
	timeout := q.end().Sub(d.began)
	d.left = timeout
	if a.Dispatch > 0 {
		q.service.counts.again(string(a.Reason)).Inc(1)
		q.logRepeat(d, a.Reason)
	}
	outgoing := forward.Try{
		Target: d.target.Address, Request: q.r, Path: q.r.URL.EscapedPath(), Body: q.body,
		Timeout: timeout, Header: platform.Dispatch(d.target.ID), Timed: platform.TimeLeft,
	}
	go func() {
		response, failure := q.gateway.forward.Dispatch(ctx, outgoing)
		q.results <- result{a.Dispatch, response, failure}
	}()
}

// handleResult handles the outcome of a dispatch.
func (q *request) ended(now time.Time, res result) call.Actions {
	d := &q.tries[res.try]
	completion := slot.Completion{ID: d.id, Report: q.gateway.reported(d.target.ID, res)}
	if res.fail == nil && !q.proper(res.answer) {
		res.fail = &forward.Failure{Target: d.target.Address, Stage: call.StageInvalid, Status: res.answer.Status, Cause: errImproper, Replay: true}
		res.answer.Close()
	}
	if f := res.fail; f != nil {
		completion.Outcome = kindOf(f.Stage)
		q.service.done(now, completion)
		q.service.counts.failures.Inc(1)
		quarantined := false
		if f.Stage.MayBeCrash() {
			q.service.counts.crashes.Inc(1)
			quarantined = q.gateway.suspects.RecordCrash(now, q.digest, d.target.Incarnation(), d.began)
		}
		q.logFailure(d, f)
		return q.call.Fail(now, call.Failed{Dispatch: res.try, Stage: f.Stage, Execution: f.Ran, Replayable: true, Quarantined: quarantined})
	}
	resp := res.answer
	d.answer = resp
	shed := platform.NotRun(resp.Status, resp.Header)
	completion.AddressReused = platform.Misdirected(resp.Status)
	switch {
	case shed:
		completion.Outcome = slot.Shed
	case resp.Status >= http.StatusInternalServerError:
		completion.Outcome = slot.Failed
	}
	q.service.done(now, completion)
	if complete := resp.Body == nil; complete && !shed {
		q.clear(now, d, resp.Status)
	}
	return q.call.ReceiveHead(now, call.ResponseHead{
		Dispatch: res.try, Status: resp.Status, Shed: shed, Replayable: true, TargetFailed: resp.Status >= http.StatusInternalServerError,
	})
}

// clearSuspicion records that a target ran the request and sent its complete response.
func (q *request) clear(now time.Time, d *try, status int) {
	if q.gateway.suspects.RecordResponse(now, q.digest) {
		q.logCleared(d, status)
	}
}

// endKind maps the stage at which a dispatch failed to the outcome that the slot
// scheduler records for the target.
func kindOf(stage call.Stage) slot.Outcome {
	switch stage {
	case call.StageCancelled, call.StageCaller:
		return slot.Cancelled
	case call.StageTimeout:
		return slot.TimedOut
	}
	return slot.Lost
}

// release frees the resources of the request. It cancels the dispatches in flight; their
// results are collected in the background.
func (q *request) release() {
	if q.call.BudgetDenied() {
		q.service.counts.denied.Inc(1)
	}
	if q.sought != 0 {
		q.service.cancel(time.Now(), q.sought)
	}
	for i := range q.tries {
		if q.tries[i].cancel != nil {
			q.tries[i].cancel()
		}
	}
	if q.flying > 0 {
		go q.reap()
	}
}

// awaitCancelled waits for the results of cancelled dispatches and frees their slots.
func (q *request) reap() {
	for ; q.flying > 0; q.flying-- {
		res := <-q.results
		d := &q.tries[res.try]
		completion := slot.Completion{ID: d.id, Outcome: slot.Cancelled, Report: q.gateway.reported(d.target.ID, res)}
		if res.answer != nil {
			res.answer.Close()
		}
		if res.fail != nil && res.fail.Stage == call.StageTimeout {
			completion.Outcome = slot.TimedOut
		}
		q.service.done(time.Now(), completion)
	}
}
