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
	switch {
	case a.Quarantined > 0:
		c.finish(&acts, ReasonQuarantined, a.Quarantined)
	case c.remaining(now) <= 0:
		c.finish(&acts, ReasonDeadline, 0)
	default:
		c.move(Queued)
		c.seek = seekTry
		acts.add(Action{Do: DoSeek})
	}
	return acts
}

// Choose dispatches to the target that the pool assigned. If no target is pending any
// more, it releases the slot.
func (c *Call) Choose(now time.Time, e Choice) (acts Actions) {
	if c.state.Final() || c.seek == seekNone {
		acts.add(Action{Do: DoRelease, Target: e.Target})
		return acts
	}
	if c.remaining(now) <= 0 {
		acts.add(Action{Do: DoRelease, Target: e.Target})
		c.unseek()
		c.idle(&acts, ReasonDeadline, 0)
		return acts
	}
	c.dispatch(now, e.Target, &acts)
	return acts
}

// dispatch sends the request to target. The first dispatch also counts for the budget
// and starts the hedge timer.
func (c *Call) dispatch(now time.Time, target string, acts *Actions) {
	first := c.n == 0
	attempt := c.arrival.Attempt + c.mayHaveRun()
	acts.add(Action{Do: DoDispatch, Try: c.n, Attempt: attempt, Target: target, Why: c.why(), After: c.remaining(now)})
	c.tries[c.n] = try{target: target}
	c.n++
	c.seek = seekNone
	c.token = Token{}
	c.move(Dispatched)
	if !first {
		return
	}
	if c.cfg.Budget != nil {
		c.cfg.Budget.First(c.arrival.Depth, c.arrival.Attempt)
	}
	if c.arrival.Idempotent && c.arrival.Hedge > 0 {
		acts.add(Action{Do: DoTimer, After: c.arrival.Hedge})
	}
}

// dispatchReason returns the cause of the next dispatch if it is a retry or hedge, and
// an empty reason for the first dispatch.
func (c *Call) why() Reason {
	switch {
	case c.n == 0:
		return ""
	case c.seek == seekHedge:
		return ReasonSlow
	}
	return c.reason
}

// countMayHaveRun returns the number of dispatches that may have run. The next dispatch
// may execute the call tree below it as many times again.
func (c *Call) mayHaveRun() (n int) {
	for i := range c.tries[:c.n] {
		if c.tries[i].state != tryNotRun {
			n++
		}
	}
	return n
}

// Decline handles the pool finding no target.
func (c *Call) Decline(_ time.Time, e Decline) (acts Actions) {
	if c.state.Final() || c.seek == seekNone {
		return acts
	}
	c.unseek()
	c.idle(&acts, e.Reason, e.Retry)
	return acts
}

// endAcquisition ends the pending target request and returns its token.
func (c *Call) unseek() {
	c.seek = seekNone
	if c.cfg.Budget != nil {
		c.cfg.Budget.Return(c.token)
	}
	c.token = Token{}
}

// stillPending reports whether a dispatch is in flight or a target is pending. If only a
// target is pending, the request returns to Queued.
func (c *Call) waits() bool {
	if c.flying() > 0 {
		return true
	}
	if c.seek == seekNone {
		return false
	}
	c.move(Queued)
	return true
}

// finishIfIdle finishes the request when no dispatch is in flight and no target is
// pending. The reason of a failed dispatch takes precedence over r.
func (c *Call) idle(acts *Actions, r Reason, retry time.Duration) {
	if c.waits() {
		return
	}
	if c.reason != "" {
		r = c.reason
	}
	c.finish(acts, r, retry)
}

// Fail handles a failed dispatch and retries it where allowed.
func (c *Call) Fail(now time.Time, e Failed) (acts Actions) {
	if !c.flies(e.Try) {
		return acts
	}
	c.tries[e.Try].state = tryAfter(e.Ran)
	if c.state.Final() {
		return acts
	}
	c.reason = e.Stage.Reason()
	if e.Quarantined {
		c.reason = ReasonQuarantined
	}
	retry := e.Replay && !e.Quarantined && e.Stage.retryable()
	c.again(now, &acts, retry)
	return acts
}

func tryAfter(e Execution) tryState {
	switch e {
	case DidNotRun:
		return tryNotRun
	case DidRun:
		return tryRan
	default:
		return tryMaybe
	}
}

// retryable reports whether a failure at this stage can be retried. After the other
// stages the caller has disconnected or its time has run out.
func (s Stage) retryable() bool {
	return s != StageCaller && s != StageCancelled && s != StageTimeout
}

// retryOrFinish acquires another target if wanted and allowed, otherwise it finishes the
// request. It does nothing while a dispatch or a target is pending.
func (c *Call) again(now time.Time, acts *Actions, wanted bool) {
	if c.waits() {
		return
	}
	if !wanted || !c.mayRetry(now) {
		c.idle(acts, c.reason, 0)
		return
	}
	c.move(Queued)
	c.seek = seekTry
	acts.add(Action{Do: DoSeek})
}

// takeRetryToken takes a token for a retry and reports whether it got one. A request that
// isn't idempotent gets one only if no earlier dispatch can have run: otherwise a payment
// could be taken twice. Only a failure that proves that the request did not run sets a
// dispatch to statusNotRun.
func (c *Call) mayRetry(now time.Time) bool {
	if c.n >= c.cfg.Tries || c.remaining(now) <= 0 {
		return false
	}
	notRun := c.Outcome() == NotRun
	if !notRun && !c.arrival.Idempotent {
		return false
	}
	return c.spend(notRun)
}

// takeToken takes a token from the budget and records a denial.
func (c *Call) spend(notRun bool) (ok bool) {
	if c.cfg.Budget == nil {
		return false
	}
	c.token, ok = c.cfg.Budget.Take(c.arrival.Depth, c.arrival.Attempt, notRun)
	c.spent = c.spent || !ok
	return ok
}

// ReceiveHead handles a response head. The first acceptable response is forwarded, and
// all other dispatches are cancelled.
func (c *Call) Head(now time.Time, e Head) (acts Actions) {
	if e.Try < 0 || e.Try >= c.n {
		return acts
	}
	if !c.flies(e.Try) || c.state.Final() {
		acts.add(Action{Do: DoCancel, Try: e.Try})
		return acts
	}
	if e.Shed {
		c.tries[e.Try].state = tryNotRun
		c.reason = ReasonShed
		acts.add(Action{Do: DoCancel, Try: e.Try})
		c.again(now, &acts, e.Replay)
		return acts
	}
	if c.retryHead(now, e, &acts) {
		return acts
	}
	c.tries[e.Try].state = tryAnswered
	c.abandon(&acts)
	c.move(Answered)
	acts.add(Action{Do: DoAnswer, Try: e.Try})
	return acts
}

// retryHead discards a response that shows that the target can't serve the request, when
// another dispatch or a target is pending, or a retry is allowed. It reports whether it
// discarded the response.
func (c *Call) retryHead(now time.Time, e Head, acts *Actions) bool {
	if !c.arrival.Idempotent || !unavailable(e.Status) && !e.Unwell {
		return false
	}
	if c.flying() == 1 && c.seek == seekNone {
		c.tries[e.Try].state = tryMaybe
		if !e.Replay || !c.mayRetry(now) {
			c.tries[e.Try].state = tryFlying
			return false
		}
		c.reason = ReasonUnavailable
		c.move(Queued)
		c.seek = seekTry
		acts.add(Action{Do: DoCancel, Try: e.Try})
		acts.add(Action{Do: DoSeek})
		return true
	}
	c.tries[e.Try].state = tryMaybe
	c.reason = ReasonUnavailable
	acts.add(Action{Do: DoCancel, Try: e.Try})
	c.waits()
	return true
}

func unavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// ReceiveEnd handles the end of the forwarded response.
func (c *Call) End(_ time.Time, e End) {
	if c.state == Answered && e.Try >= 0 && e.Try < c.n && !e.Whole {
		c.reason = ReasonCut
	}
}

// ResponseCut reports whether the forwarded response ended early.
func (c *Call) Cut() bool {
	return c.state == Answered && c.reason == ReasonCut
}

// Hedge handles the hedge timer: it acquires a second target while the only dispatch in
// flight is slow.
func (c *Call) Hedge(now time.Time) (acts Actions) {
	if c.state != Dispatched || c.seek != seekNone || !c.arrival.Idempotent || c.flying() != 1 {
		return acts
	}
	if c.n >= c.cfg.Tries || c.remaining(now) <= 0 || !c.spend(false) {
		return acts
	}
	c.seek = seekHedge
	acts.add(Action{Do: DoHedge})
	return acts
}

// Expire finishes a request whose deadline has passed.
func (c *Call) Expire(_ time.Time) (acts Actions) {
	if c.state.Final() {
		return acts
	}
	r := ReasonDeadline
	if c.flying() > 0 {
		r = ReasonTimeout
	}
	c.abandon(&acts)
	c.finish(&acts, r, 0)
	return acts
}

// CallerLeft finishes a request whose caller has disconnected.
func (c *Call) Leave(_ time.Time) (acts Actions) {
	if c.state.Final() {
		return acts
	}
	c.abandon(&acts)
	c.finish(&acts, ReasonCancelled, 0)
	return acts
}

// cancelAll cancels all dispatches in flight and withdraws a pending target request. A
// cancelled dispatch still counts as in flight for the outcome, because it may have run.
func (c *Call) abandon(acts *Actions) {
	if c.seek != seekNone {
		c.unseek()
		acts.add(Action{Do: DoWithdraw})
	}
	for i := range c.tries[:c.n] {
		if c.tries[i].state == tryFlying {
			acts.add(Action{Do: DoCancel, Try: i})
		}
	}
}

// finish refuses the request, or gives it up if it may have run.
func (c *Call) finish(acts *Actions, r Reason, retry time.Duration) {
	outcome := c.Outcome()
	if retry <= 0 && outcome == NotRun && r != ReasonDeadline {
		retry = c.cfg.Retry
	}
	c.final = Final{Outcome: outcome, Reason: r, Retry: retry}
	if outcome == NotRun {
		c.move(Refused)
	} else {
		c.move(GivenUp)
	}
	acts.add(Action{Do: DoRefuse})
}
