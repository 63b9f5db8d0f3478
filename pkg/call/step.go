package call

import (
	"net/http"
	"time"
)

// Arrive begins the lifecycle.
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

// Choose dispatches to the target that the pool has chosen. A choice that
// comes when none is needed any more goes back unused.
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

// why is why the next dispatch isn't the first one, empty where it is.
func (c *Call) why() Reason {
	switch {
	case c.n == 0:
		return ""
	case c.seek == seekHedge:
		return ReasonSlow
	}
	return c.reason
}

// mayHaveRun counts the dispatches that load the tree below a second time.
func (c *Call) mayHaveRun() (n int) {
	for i := range c.tries[:c.n] {
		if c.tries[i].state != tryNotRun {
			n++
		}
	}
	return n
}

// Decline ends the wait for a target without one.
func (c *Call) Decline(_ time.Time, e Decline) (acts Actions) {
	if c.state.Final() || c.seek == seekNone {
		return acts
	}
	c.unseek()
	c.idle(&acts, e.Reason, e.Retry)
	return acts
}

// unseek returns the token of a target that isn't sought any more.
func (c *Call) unseek() {
	c.seek = seekNone
	if c.cfg.Budget != nil {
		c.cfg.Budget.Return(c.token)
	}
	c.token = Token{}
}

// waits reports whether something is still on the way.
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

// idle finishes the request when nothing is in flight and nothing sought.
func (c *Call) idle(acts *Actions, r Reason, retry time.Duration) {
	if c.waits() {
		return
	}
	if c.reason != "" {
		r = c.reason
	}
	c.finish(acts, r, retry)
}

// Fail takes a failed dispatch and tries again where that is allowed.
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
	again := e.Replay && !e.Quarantined && e.Stage.retryable()
	c.again(now, &acts, again)
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

// retryable: after the other stages the caller has gone, or its time has.
func (s Stage) retryable() bool {
	return s != StageCaller && s != StageCancelled && s != StageTimeout
}

// again seeks another target when nothing else is on the way and a second
// dispatch is allowed, else it finishes.
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

// mayRetry takes a token for another dispatch. A request that isn't idempotent
// gets one only if no earlier dispatch can have run: else a deposit would be
// taken twice. The states of the tries say so, and nothing but a failure that
// surely did not run sets them to it.
func (c *Call) mayRetry(now time.Time) bool {
	if c.n >= c.cfg.Tries || c.remaining(now) <= 0 {
		return false
	}
	clean := c.Outcome() == NotRun
	if !clean && !c.arrival.Idempotent {
		return false
	}
	return c.spend(clean)
}

func (c *Call) spend(clean bool) (ok bool) {
	if c.cfg.Budget == nil {
		return false
	}
	c.token, ok = c.cfg.Budget.Take(c.arrival.Depth, c.arrival.Attempt, clean)
	c.spent = c.spent || !ok
	return ok
}

// Head takes the head of an answer. The first acceptable one is passed on, and
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

// retryHead drops an answer that says the target can't serve, when a hedge is
// on its way or another target may be asked.
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

// End takes the end of the answer that is passed on.
func (c *Call) End(_ time.Time, e End) {
	if c.state == Answered && e.Try >= 0 && e.Try < c.n && !e.Whole {
		c.reason = ReasonCut
	}
}

// Cut reports whether the answer that was passed on ended early.
func (c *Call) Cut() bool {
	return c.state == Answered && c.reason == ReasonCut
}

// Hedge asks for a second target when the first is slow.
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

// Expire ends a request whose deadline has passed.
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

// Leave ends a request whose caller has gone.
func (c *Call) Leave(_ time.Time) (acts Actions) {
	if c.state.Final() {
		return acts
	}
	c.abandon(&acts)
	c.finish(&acts, ReasonCancelled, 0)
	return acts
}

// abandon cancels all that is in flight and all that is sought. A cancelled
// dispatch stays in flight for the outcome: it may have run.
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

// finish answers the caller.
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
