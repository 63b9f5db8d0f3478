package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/guard"
	"plumpitch.example/plumpitch/pkg/account"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// request is the state of one caller request while it is served.
type request struct {
	gateway  *Gateway
	w        http.ResponseWriter
	r        *http.Request
	id       string
	arrived  time.Time
	body     [][]byte       // in parts
	held     *guard.Body    // room for the body; nil without one
	noMemory *guard.Refusal // why there was no room
	bodyUsed bool           // cancelled dispatches still use the body
	prints   fingerprints   // set by fingerprints
	trial    time.Time      // the reservation, if the request is held and sent as a trial
	skipped  []string       // targets that answered no check before the trial
	table    *route.Table   // of the view that the request was routed by
	route    *route.ActiveRoute
	account  *account.Account // nil without an account
	key      account.Digest   // of the account's key that the request carries
	hasToken bool             // a token of the account's limit was spent on the request
	admitted time.Time        // when it got the token
	late     bool             // it couldn't meet its objective any more when it asked for the token
	waited   time.Duration    // how long the caller has been waiting at least, by StartRange
	// tokenExpected is how long after its refusal the account is expected to have a token for it.
	tokenExpected time.Duration
	service       *service
	version       route.Version // of the configuration used for this request
	// objective is the time by which the response should arrive, counted from the
	// caller's first attempt.
	objective time.Time

	call       call.Call
	dispatches [call.MaxDispatches]dispatch
	pendingID  uint64 // ID of the pending target request in the balancer; 0 if none
	decisions  chan slot.Action
	results    chan result
	inFlight   int // dispatches in flight
	hedgeTimer *time.Timer
	refusal    slot.Action // refusal of the balancer, if it gave no target

	passedOn bool   // another entry has passed it on to this one
	chosen   string // service that the other entry has chosen
}

// dispatch is one dispatch of a request to a target.
type dispatch struct {
	id       uint64 // in the balancer
	target   slot.Target
	decision slot.Decision // data behind the choice of the target
	began    time.Time
	timeout  time.Duration // timeout that was sent to the target
	cancel   context.CancelFunc
	response *forward.Response
	ended    *atomic.Bool // its result has arrived
	checked  bool         // its target was silent and was asked whether it still answers
	alive    bool         // its target answered a check just before, which is made for trials only
	// repeatedIDs is how many connections were given up since they had carried the request's ID.
	repeatedIDs int
}

// result is the outcome of a dispatch.
type result struct {
	dispatch int
	response *forward.Response
	failure  *forward.Failure
}

// repeatedIDs returns how many connections were given up since they had carried the request's ID.
func (r result) repeatedIDs() int {
	if r.failure != nil {
		return r.failure.RepeatedIDs
	}
	return r.response.RepeatedIDs
}

// responseMargin is how long before its deadline a request is given up, so that the
// response reaches the caller in time.
const responseMargin = 2 * time.Millisecond

// run acquires a target of a service, dispatches the request and forwards the response.
func (q *request) run(s *service) {
	q.service = s
	if q.service == nil {
		q.refuse("noservice", noConfigRetry)
		return
	}
	if q.passOn() {
		q.returnToken()
		return
	}
	if q.passedOn && s.lost.Load() {
		q.refuse(reasonNoReach, noConfigRetry)
		return
	}
	deadline := q.deadline()
	q.awaitTrial(time.Now(), deadline)
	now := time.Now()
	expiry := time.NewTimer(min(deadline.Sub(now), silenceTimeout)) // of the request, or of a silent target
	defer expiry.Stop()
	q.hedgeTimer = time.NewTimer(deadline.Sub(now)) // reset when the call starts its hedge timer
	defer q.hedgeTimer.Stop()
	defer q.release()
	actions := q.start(now, deadline)
	for !q.perform(actions.All()) {
		select {
		case a := <-q.decisions:
			actions = q.handleDecision(time.Now(), a)
		case res := <-q.results:
			q.inFlight--
			actions = q.handleResult(time.Now(), res)
		case <-q.hedgeTimer.C:
			actions = q.call.Hedge(time.Now())
		case <-expiry.C:
			now := time.Now()
			if left := deadline.Sub(now); left > 0 {
				actions = call.Actions{}
				expiry.Reset(min(left, q.checkSilence(now, silenceTimeout)))
				continue
			}
			q.checkSilence(now, minSilence)
			actions = q.call.Expire(now)
		case <-q.gateway.giveUp:
			actions = q.call.Expire(time.Now())
		case <-q.r.Context().Done():
			now := time.Now()
			q.checkSilence(now, minSilence)
			actions = q.call.CallerLeft(now)
		}
	}
}

// start initializes the request and passes it to the call state machine.
func (q *request) start(now, deadline time.Time) call.Actions {
	q.decisions = make(chan slot.Action, 1)
	q.results = make(chan result, call.MaxDispatches)
	q.setObjective()
	q.call = call.New(call.Config{
		MaxDispatches: min(q.route.MaxDispatches, call.MaxDispatches), Margin: responseMargin, Budget: q.service.budget,
	})
	a := call.Arrival{Deadline: deadline, Idempotent: q.route.Idempotent, HedgeDelay: q.service.hedgeDelay(q.route.Name, q.objective.Sub(now))}
	a.QuarantineRemaining = q.checkSuspicion(now).Remaining
	a.Trial = !q.trial.IsZero()
	return q.call.Arrive(now, a)
}

// setObjective sets the objective. It is called once for each request that is served, because the
// WaitEstimator counts them.
func (q *request) setObjective() {
	q.objective = q.arrived.Add(q.route.Objective)
	if left, ok := platform.RequestTimeout(q.r.Header); ok {
		q.objective = q.objective.Add(-max(q.route.WaitEstimator.Elapsed(left), q.waited))
	}
}

// deadline returns the latest time of the final response: the caller's deadline or the
// route's timeout, whichever is earlier.
func (q *request) deadline() time.Time {
	timeout := q.route.Timeout
	if left, ok := platform.RequestTimeout(q.r.Header); ok {
		timeout = min(timeout, left)
	}
	return q.arrived.Add(timeout)
}

// perform executes the actions of the call state machine and reports whether the request
// has ended.
func (q *request) perform(actions []call.Action) (ended bool) {
	for _, a := range actions {
		switch a.Kind {
		case call.ActionAcquire:
			q.acquire(false)
		case call.ActionAcquireHedge:
			q.acquire(true)
		case call.ActionWithdraw, call.ActionRelease:
			q.service.cancel(time.Now(), q.pendingID)
			q.pendingID = 0
		case call.ActionDispatch:
			q.sendDispatch(a)
		case call.ActionCancel:
			q.dispatches[a.Dispatch].cancel()
		case call.ActionRespond:
			q.forwardResponse(a.Dispatch)
			return true
		case call.ActionRefuse:
			q.respondFailed()
			return true
		case call.ActionStartHedgeTimer:
			q.hedgeTimer.Reset(a.After)
		}
	}
	return false
}

// acquire asks the balancer for a target that has not been tried yet.
func (q *request) acquire(hedge bool) {
	now := time.Now()
	r := slot.Request{
		Arrived: q.arrived, Objective: q.objective, Deadline: q.deadline(),
		Priority: q.priority(), Hedge: hedge, Class: q.route.Name, Regions: q.route.Regions, Account: q.accountName(),
	}
	q.call.EachTarget(func(target string) { r.Tried = append(r.Tried, target) })
	r.Tried = append(r.Tried, q.skipped...)
	q.pendingID = q.service.acquire(now, r, q.decisions)
}

// handleDecision handles the balancer's decision: a target or a refusal.
func (q *request) handleDecision(now time.Time, a slot.Action) call.Actions {
	if a.Kind == slot.Refuse {
		q.refusal = a
		q.pendingID = 0
		return q.call.Decline(now, call.Decline{Reason: call.ReasonOverload, RetryAfter: a.RetryAfter})
	}
	q.refusal = slot.Action{}
	if callerClosed(q.r) {
		return q.call.CallerLeft(now)
	}
	if q.tooLate(now, q.service) {
		return q.declineLeaving(now)
	}
	if reason, revoked := q.keyRevoked(now); revoked && !q.dropAccount(now, reason) {
		return q.dropRevoked(now, reason)
	}
	if remaining := q.heldMeanwhile(now); remaining > 0 {
		q.service.cancel(now, q.pendingID)
		q.pendingID = 0
		return q.call.Decline(now, call.Decline{Reason: call.ReasonQuarantined, RetryAfter: remaining})
	}
	alive := !q.trial.IsZero() && q.answersCheck(now, a.Target)
	if !q.trial.IsZero() && !alive && q.maySkip() {
		q.service.cancel(now, q.pendingID)
		q.skipped = append(q.skipped, a.Target.ID)
		q.acquire(false)
		return call.Actions{}
	}
	d := &q.dispatches[min(q.dispatchCount(), call.MaxDispatches-1)]
	d.target, d.decision = a.Target, a.Decision
	d.alive = alive
	return q.call.Choose(time.Now(), call.Choice{Target: a.Target.ID})
}

// dispatchCount returns the number of dispatches so far.
func (q *request) dispatchCount() (n int) {
	q.call.EachTarget(func(string) { n++ })
	return n
}

// sendDispatch sends the request to the chosen target.
func (q *request) sendDispatch(a call.Action) {
	d := &q.dispatches[a.Dispatch]
	d.id, q.pendingID = q.pendingID, 0
	d.began = time.Now()
	ctx, cancel := context.WithCancel(context.WithoutCancel(q.r.Context()))
	d.cancel, d.ended = cancel, new(atomic.Bool)
	q.inFlight++
	q.service.instruments.dispatches.Inc(1)
	timeout := dispatchTimeout(q.deadline(), d.began)
	d.timeout = timeout
	if a.Dispatch == 0 {
		q.service.firstDispatches.add()
	} else {
		q.service.instruments.extraDispatches(string(a.Reason)).Inc(1)
		q.logExtraDispatch(d, a.Reason)
		q.chargeDispatch(d.began, a.Attempt)
	}
	outgoing := forward.DispatchParams{
		Target: d.target.Address, Request: q.r, Path: q.r.URL.EscapedPath(), Body: q.body,
		Timeout: timeout, Header: q.targetHeader(d.target.ID), TimeoutHeader: platform.TimeoutHeader,
		Omit: q.omittedHeaders(),
	}
	go func() {
		response, failure := q.gateway.forward.Dispatch(ctx, outgoing)
		q.results <- result{a.Dispatch, response, failure}
	}()
}

// minDispatchTimeout is the timeout of a dispatch whose time is over. An entry without processor
// time decides on it too late.
const minDispatchTimeout = time.Millisecond

// dispatchTimeout returns the timeout of a dispatch that begins now. It is positive, as 0 or less
// means none: the target would get no deadline, and could run on after the caller has its answer.
func dispatchTimeout(deadline, now time.Time) time.Duration {
	return max(deadline.Sub(now), minDispatchTimeout)
}

// handleResult handles the outcome of a dispatch.
func (q *request) handleResult(now time.Time, res result) call.Actions {
	d := &q.dispatches[res.dispatch]
	d.ended.Store(true)
	d.repeatedIDs = res.repeatedIDs()
	q.noteRepeatedIDs(d.repeatedIDs, log.Fields{"target": d.target.ID})
	completion := slot.Completion{ID: d.id, Report: q.gateway.resultReport(d.target.ID, res)}
	if res.failure == nil && !q.validResponse(res.response) {
		res.failure = &forward.Failure{Target: d.target.Address, Stage: call.StageInvalid, Status: res.response.Status, Cause: errInvalidResponse, Replayable: true}
		res.response.Close()
	}
	if f := res.failure; f != nil {
		completion.Outcome = failureOutcome(f.Stage)
		q.service.complete(now, completion)
		q.service.instruments.failedDispatches.Inc(1)
		if f.Stage == call.StageRefused || f.Stage == call.StageConnect || isUnreachable(f.Cause) {
			q.service.noteUnreachable(d.target.ID)
		}
		held := false
		if f.Stage.MayBeCrash() {
			held = q.noteBrokenConnection(now, d, f.Stage)
		}
		q.logFailure(d, f)
		q.noteStray(f)
		return q.call.Fail(now, call.Failed{Dispatch: res.dispatch, Stage: f.Stage, Execution: f.Execution, Replayable: true, Quarantined: held})
	}
	resp := res.response
	d.response = resp
	q.service.signs.noteHeard(d.target.ID)
	shed := isRefusal(resp)
	completion.AddressReused = shed && platform.Misdirected(resp.Status)
	switch {
	case shed:
		completion.Outcome = slot.Shed
	case resp.Status >= http.StatusInternalServerError:
		completion.Outcome = slot.Failed
	}
	q.service.complete(now, completion)
	if complete := resp.Body == nil; complete && !shed {
		q.service.answers.note(now, d.target.ID)
		q.clearSuspicion(now, d, resp.Status)
	}
	return q.call.ReceiveHead(now, call.ResponseHead{
		Dispatch: res.dispatch, Status: resp.Status, Shed: shed, Replayable: true, TargetFailed: resp.Status >= http.StatusInternalServerError,
	})
}

// clearSuspicion records that a target ran the request and sent its complete response.
func (q *request) clearSuspicion(now time.Time, d *dispatch, status int) {
	if !call.ClearsSuspicion(status) {
		return
	}
	q.gateway.suspects.NoteAnswer(now, q.contentFingerprint())
	if !q.gateway.suspects.Empty() && q.fingerprints().recordResponse(q.gateway.suspects, now) {
		q.gateway.control.announceSoon()
		q.logCleared(d, status)
	}
}

// failureOutcome maps the stage at which a dispatch failed to the outcome that the balancer
// records for the target.
func failureOutcome(stage call.Stage) slot.Outcome {
	switch stage {
	case call.StageCancelled, call.StageCaller:
		return slot.Cancelled
	case call.StageTimeout:
		return slot.TimedOut
	}
	return slot.Lost
}
