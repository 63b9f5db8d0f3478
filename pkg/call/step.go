package call

import (
	"net/http"
	"time"
)

// Arrive starts the lifecycle. A quarantined or expired request is refused.
func (c *Call) Arrive(now time.Time, a Arrival) (acts Actions) {
	if c.state != Arrived {
		return acts
	}
	c.arrival = a
	if a.Trial {
		c.cfg.MaxDispatches = 1
	}
	switch {
	case a.QuarantineRemaining > 0:
		c.finish(&acts, ReasonQuarantined, a.QuarantineRemaining)
	case c.remaining(now) <= 0:
		c.finish(&acts, ReasonDeadline, 0)
	default:
		c.transition(Queued)
		c.pending = acquireDispatch
		acts.add(Action{Kind: ActionAcquire})
	}
	return acts
}

// Choose dispatches to the target that the pool assigned. If the request no longer waits
// for a target, or no time remains for a response, it releases the slot.
func (c *Call) Choose(now time.Time, e Choice) (acts Actions) {
	if c.state.Final() || c.pending == acquireNone {
		acts.add(Action{Kind: ActionRelease, Target: e.Target})
		return acts
	}
	if c.remaining(now) <= 0 {
		acts.add(Action{Kind: ActionRelease, Target: e.Target})
		c.endAcquisition()
		c.finishIfIdle(&acts, ReasonDeadline, 0)
		return acts
	}
	c.dispatch(now, e.Target, &acts)
	return acts
}

// dispatch sends the request to target. The first dispatch also counts for the budget
// and starts the hedge timer.
func (c *Call) dispatch(now time.Time, target string, acts *Actions) {
	first := c.n == 0
	attempt := c.arrival.Attempt + c.countMayHaveRun()
	acts.add(Action{Kind: ActionDispatch, Dispatch: c.n, Attempt: attempt, Target: target, Reason: c.dispatchReason(), After: c.remaining(now)})
	c.dispatches[c.n] = dispatchState{target: target}
	c.n++
	c.pending = acquireNone
	c.token = Token{}
	c.transition(Dispatched)
	if !first {
		return
	}
	if c.cfg.Budget != nil {
		c.cfg.Budget.CountFirst(c.arrival.Depth, c.arrival.Attempt)
	}
	if c.arrival.Idempotent && c.arrival.HedgeDelay > 0 {
		acts.add(Action{Kind: ActionStartHedgeTimer, After: c.arrival.HedgeDelay})
	}
}

// dispatchReason returns the cause of the next dispatch if it is a retry or hedge, and
// an empty reason for the first dispatch.
func (c *Call) dispatchReason() Reason {
	switch {
	case c.n == 0:
		return ""
	case c.pending == acquireHedge:
		return ReasonSlow
	}
	return c.reason
}

// countMayHaveRun returns the number of dispatches that may have run, and so may already
// have loaded the call tree below.
func (c *Call) countMayHaveRun() (n int) {
	for i := range c.dispatches[:c.n] {
		if c.dispatches[i].status != statusNotRun {
			n++
		}
	}
	return n
}

// Decline handles the pool finding no target.
func (c *Call) Decline(_ time.Time, e Decline) (acts Actions) {
	if c.state.Final() || c.pending == acquireNone {
		return acts
	}
	c.endAcquisition()
	c.finishIfIdle(&acts, e.Reason, e.RetryAfter)
	return acts
}

// endAcquisition ends the pending target request and returns its token.
func (c *Call) endAcquisition() {
	c.pending = acquireNone
	if c.cfg.Budget != nil {
		c.cfg.Budget.Return(c.token)
	}
	c.token = Token{}
}

// stillPending reports whether a dispatch is in flight or the pool still has to assign a
// target. If only a target is awaited, the request returns to Queued.
func (c *Call) stillPending() bool {
	if c.inFlight() > 0 {
		return true
	}
	if c.pending == acquireNone {
		return false
	}
	c.transition(Queued)
	return true
}

// finishIfIdle finishes the request when no dispatch is in flight and no target is
// awaited. The reason of a failed dispatch takes precedence over r.
func (c *Call) finishIfIdle(acts *Actions, r Reason, retry time.Duration) {
	if c.stillPending() {
		return
	}
	if c.reason != "" {
		r = c.reason
	}
	c.finish(acts, r, retry)
}

// Fail handles a failed dispatch and retries it where allowed.
func (c *Call) Fail(now time.Time, e Failed) (acts Actions) {
	if !c.isInFlight(e.Dispatch) {
		return acts
	}
	c.dispatches[e.Dispatch].status = statusAfter(e.Execution)
	c.dispatches[e.Dispatch].unsent = e.Execution == DidNotRun && e.Stage <= StageUnsent
	if c.state.Final() {
		return acts
	}
	c.reason = e.Stage.Reason()
	if e.Quarantined {
		c.reason = ReasonQuarantined
	}
	retry := e.Replayable && !e.Quarantined && e.Stage.retryable()
	c.retryOrFinish(now, &acts, retry)
	return acts
}

func statusAfter(e Execution) dispatchStatus {
	switch e {
	case DidNotRun:
		return statusNotRun
	case DidRun:
		return statusRan
	default:
		return statusMayHaveRun
	}
}

// retryable reports whether a failure at this stage can be retried. After the other
// stages the caller has disconnected or its time has run out.
func (s Stage) retryable() bool {
	return s != StageCaller && s != StageCancelled && s != StageTimeout
}

// retryOrFinish acquires another target if wanted and allowed, otherwise it finishes the
// request. It does nothing while a dispatch is in flight or a target is
// awaited.
func (c *Call) retryOrFinish(now time.Time, acts *Actions, wanted bool) {
	if c.stillPending() {
		return
	}
	if !wanted || !c.takeRetryToken(now) {
		c.finishIfIdle(acts, c.reason, 0)
		return
	}
	c.transition(Queued)
	c.pending = acquireDispatch
	acts.add(Action{Kind: ActionAcquire})
}

// takeRetryToken takes a token for a retry and reports whether it got one. A request that
// isn't idempotent gets one only if no earlier dispatch can have run: otherwise a payment
// could be taken twice. Only a failure that proves that the request did not run sets a
// dispatch to statusNotRun.
func (c *Call) takeRetryToken(now time.Time) bool {
	if !c.mayDispatch() || c.remaining(now) <= 0 {
		return false
	}
	notRun := c.Outcome() == NotRun
	if !notRun && !c.arrival.Idempotent {
		return false
	}
	return c.takeToken(notRun)
}

// takeToken takes a token from the budget and records a denial.
func (c *Call) takeToken(notRun bool) (ok bool) {
	if c.cfg.Budget == nil {
		return false
	}
	c.token, ok = c.cfg.Budget.Take(c.arrival.Depth, c.arrival.Attempt, notRun)
	c.budgetDenied = c.budgetDenied || !ok
	return ok
}

// ReceiveHead handles a response head. The first acceptable response is forwarded, and
// all other dispatches are cancelled.
func (c *Call) ReceiveHead(now time.Time, e ResponseHead) (acts Actions) {
	if e.Dispatch < 0 || e.Dispatch >= c.n {
		return acts
	}
	if !c.isInFlight(e.Dispatch) || c.state.Final() {
		acts.add(Action{Kind: ActionCancel, Dispatch: e.Dispatch})
		return acts
	}
	if e.Shed {
		c.dispatches[e.Dispatch].status = statusNotRun
		c.reason = ReasonShed
		acts.add(Action{Kind: ActionCancel, Dispatch: e.Dispatch})
		c.retryOrFinish(now, &acts, e.Replayable)
		return acts
	}
	if c.retryHead(now, e, &acts) {
		return acts
	}
	c.dispatches[e.Dispatch].status = statusAnswered
	c.cancelAll(&acts)
	c.transition(Answered)
	acts.add(Action{Kind: ActionRespond, Dispatch: e.Dispatch})
	return acts
}

// retryHead discards a response that shows that the target can't serve the request, when
// another dispatch is in flight, a target is awaited, or a retry is allowed. It reports
// whether it discarded the response.
func (c *Call) retryHead(now time.Time, e ResponseHead, acts *Actions) bool {
	if !c.arrival.Idempotent || !isUnavailable(e.Status) && !e.TargetFailed {
		return false
	}
	if c.inFlight() == 1 && c.pending == acquireNone {
		c.dispatches[e.Dispatch].status = statusMayHaveRun
		if !e.Replayable || !c.takeRetryToken(now) {
			c.dispatches[e.Dispatch].status = statusInFlight
			return false
		}
		c.reason = ReasonUnavailable
		c.transition(Queued)
		c.pending = acquireDispatch
		acts.add(Action{Kind: ActionCancel, Dispatch: e.Dispatch})
		acts.add(Action{Kind: ActionAcquire})
		return true
	}
	c.dispatches[e.Dispatch].status = statusMayHaveRun
	c.reason = ReasonUnavailable
	acts.add(Action{Kind: ActionCancel, Dispatch: e.Dispatch})
	c.stillPending()
	return true
}

func isUnavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// ReceiveEnd handles the end of the forwarded response.
func (c *Call) ReceiveEnd(_ time.Time, e ResponseEnd) {
	if c.state == Answered && e.Dispatch >= 0 && e.Dispatch < c.n && !e.Complete {
		c.reason = ReasonCut
	}
}

// ResponseCut reports whether the forwarded response ended early.
func (c *Call) ResponseCut() bool {
	return c.state == Answered && c.reason == ReasonCut
}

// Hedge handles the hedge timer: it acquires a second target while the only dispatch in
// flight is slow.
func (c *Call) Hedge(now time.Time) (acts Actions) {
	if c.state != Dispatched || c.pending != acquireNone || !c.arrival.Idempotent || c.inFlight() != 1 {
		return acts
	}
	if !c.mayDispatch() || c.remaining(now) <= 0 || !c.takeToken(false) {
		return acts
	}
	c.pending = acquireHedge
	acts.add(Action{Kind: ActionAcquireHedge})
	return acts
}

// Expire finishes a request whose deadline has passed.
func (c *Call) Expire(_ time.Time) (acts Actions) {
	if c.state.Final() {
		return acts
	}
	r := ReasonDeadline
	if c.inFlight() > 0 {
		r = ReasonTimeout
	}
	c.cancelAll(&acts)
	c.finish(&acts, r, 0)
	return acts
}

// CallerLeft finishes a request whose caller has disconnected.
func (c *Call) CallerLeft(_ time.Time) (acts Actions) {
	if c.state.Final() {
		return acts
	}
	c.cancelAll(&acts)
	c.finish(&acts, ReasonCancelled, 0)
	return acts
}

// cancelAll cancels all dispatches in flight and withdraws a pending target request. A
// cancelled dispatch still counts as in flight for the outcome, because it may have run.
func (c *Call) cancelAll(acts *Actions) {
	if c.pending != acquireNone {
		c.endAcquisition()
		acts.add(Action{Kind: ActionWithdraw})
	}
	for i := range c.dispatches[:c.n] {
		if c.dispatches[i].status == statusInFlight {
			acts.add(Action{Kind: ActionCancel, Dispatch: i})
		}
	}
}

// finish refuses the request, or gives it up if it may have run.
func (c *Call) finish(acts *Actions, r Reason, retry time.Duration) {
	outcome := c.Outcome()
	if retry <= 0 && outcome == NotRun && r != ReasonDeadline {
		retry = c.cfg.RetryAfter
	}
	c.final = Final{Outcome: outcome, Reason: r, RetryAfter: retry}
	if outcome == NotRun {
		c.transition(Refused)
	} else {
		c.transition(GivenUp)
	}
	acts.add(Action{Kind: ActionRefuse})
}
