package entry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/pool"
)

// dispatcher executes the actions that the state machine of one request,
// call.Call, decides on. It runs in the goroutine of the request. Only a request
// that may be hedged sends its dispatches in separate goroutines.
type dispatcher struct {
	entry      *Entry
	q          *request
	ctx        context.Context
	call       call.Call
	pending    ticket // latest acquisition of a target
	isPending  bool   // the balancer hasn't decided on it yet
	queueSpan  trace.Span
	dispatches [call.MaxDispatches]dispatch
	results    chan dispatchResult // from separate goroutines; nil if the request may not be hedged
	inFlight   int                 // dispatches whose result is still to come through results
	hedgeTimer <-chan time.Time
	timer      *time.Timer
	response   *openResponse
	refused    bool
	trial      time.Time // the reservation, if the request is held and sent as a trial
}

// dispatch is one attempt to have the request served by a target.
type dispatch struct {
	ticket   ticket
	decision pool.Action
	started  time.Time
	cancel   context.CancelFunc
	response *forward.Response
	alive    bool // the target answered a check just before, which is made for trials only
}

// dispatchResult is the failure of a dispatch or the head of its response.
type dispatchResult struct {
	index      int
	response   *forward.Response
	failure    *forward.Failure
	panicValue any // recovered in a separate goroutine, nil without a panic
}

func newDispatcher(ctx context.Context, e *Entry, q *request) *dispatcher {
	d := &dispatcher{entry: e, q: q, ctx: ctx, queueSpan: noSpan}
	d.call = call.New(call.Config{
		MaxDispatches: q.policy.MaxDispatches,
		RetryAfter:    q.policy.RetryAfter,
		Budget:        q.service.retryBudget.Load(),
	})
	return d
}

// run executes the request. It returns the target's response, which is to be
// copied to the caller. If that is nil, the entry responds with final instead.
func (d *dispatcher) run() (p *openResponse, final call.Final) {
	finished := false
	defer func() {
		if !finished {
			d.releaseAll()
		}
	}()
	d.perform(d.call.Arrive(d.q.arrived, d.arrival()))
	for d.response == nil && !d.refused {
		d.perform(d.nextEvent())
	}
	if d.timer != nil {
		d.timer.Stop()
	}
	finished = true
	if d.inFlight > 0 {
		go d.discardLateResults()
	}
	if d.response == nil {
		d.endTrial()
	}
	return d.response, d.q.withBodyError(d.call.Final())
}

func (d *dispatcher) arrival() call.Arrival {
	q := d.q
	a := call.Arrival{
		Deadline:   q.deadline,
		Idempotent: q.idempotent(),
		Attempt:    q.header.Attempt,
		Depth:      q.header.Depth,
	}
	var h call.Hold
	h, d.trial = d.entry.awaitTrial(d.ctx, q.arrived, q.fingerprint())
	a.QuarantineRemaining, a.Trial = h.Remaining, !d.trial.IsZero()
	if q.policy.Hedge && q.stream == nil && a.Idempotent {
		a.HedgeDelay = q.policy.HedgeAfter
		d.results = make(chan dispatchResult, call.MaxDispatches)
	}
	return a
}

// nextEvent waits for the next event and passes it to the state machine. A
// decision of the balancer takes precedence over other events.
func (d *dispatcher) nextEvent() call.Actions {
	var decision chan pool.Action
	if d.isPending {
		decision = d.pending.decision
	}
	select {
	case a := <-decision:
		return d.handleDecision(a)
	default:
	}
	select {
	case a := <-decision:
		return d.handleDecision(a)
	case r := <-d.results:
		d.inFlight--
		return d.handleResult(r)
	case <-d.hedgeTimer:
		d.hedgeTimer = nil
		return d.call.Hedge(time.Now())
	case <-d.ctx.Done():
		if d.ctx.Err() == context.DeadlineExceeded {
			return d.call.Expire(time.Now())
		}
		return d.call.CallerLeft(time.Now())
	}
}

// handleDecision passes the balancer's decision, a target or a refusal, to the
// state machine.
func (d *dispatcher) handleDecision(a pool.Action) call.Actions {
	d.isPending = false
	if a.Kind == pool.Refuse {
		endSpan(d.queueSpan, a.Reason.String())
		return d.call.Decline(time.Now(), call.Decline{Reason: refusalReason(a.Reason), RetryAfter: a.RetryAfter})
	}
	d.queueSpan.End()
	alive := !d.trial.IsZero() && d.entry.answersCheck(d.ctx, time.Until(d.q.deadline)/4, a.Addr, d.q.policy.ProbePath)
	d.dispatches[d.nextIndex()] = dispatch{ticket: d.pending, decision: a, alive: alive}
	return d.call.Choose(time.Now(), call.Choice{Target: a.Addr})
}

// nextIndex returns the index that the state machine assigns to the next
// dispatch: the first unused one.
func (d *dispatcher) nextIndex() (n int) {
	for n = range d.dispatches {
		if d.dispatches[n].cancel == nil {
			return n
		}
	}
	return n
}

// perform executes actions. A dispatch in the request's own goroutine returns
// with its result, which leads to further actions.
func (d *dispatcher) perform(acts call.Actions) {
	for _, a := range acts.All() {
		switch a.Kind {
		case call.ActionAcquire:
			d.acquire()
		case call.ActionAcquireHedge:
			d.acquireHedge()
		case call.ActionWithdraw:
			d.isPending = false
			endSpan(d.queueSpan, "withdrawn")
			d.pending.cancel(time.Now())
		case call.ActionRelease:
			d.pending.cancel(time.Now())
		case call.ActionDispatch:
			d.dispatch(a)
		case call.ActionStartHedgeTimer:
			d.timer = time.NewTimer(a.After)
			d.hedgeTimer = d.timer.C
		case call.ActionCancel:
			d.cancel(a.Dispatch)
		case call.ActionRespond:
			sent := &d.dispatches[a.Dispatch]
			d.response = &openResponse{response: sent.response, ticket: sent.ticket, dispatcher: d, dispatch: sent}
		case call.ActionRefuse:
			d.refused = true
		}
	}
}

// acquire asks the balancer for a target, preferably not the target of the latest
// dispatch.
func (d *dispatcher) acquire() {
	avoid := ""
	for i := range d.dispatches {
		if d.dispatches[i].cancel != nil {
			avoid = d.dispatches[i].decision.Target
		}
	}
	d.isPending = true
	_, d.queueSpan = d.entry.tracing.start(d.ctx, "queue")
	d.pending = d.q.service.acquire(time.Now(), pool.Arrival{Deadline: d.q.deadline, Idempotent: d.q.idempotent(), Avoid: avoid})
}

// acquireHedge acquires a target for a hedge only if a slot is free at once. A
// queued hedge would delay the first dispatch of another request.
func (d *dispatcher) acquireHedge() {
	d.acquire()
	select {
	case a := <-d.pending.decision:
		d.perform(d.handleDecision(a))
	default:
		d.isPending = false
		endSpan(d.queueSpan, "no free slot")
		d.pending.cancel(time.Now())
		d.perform(d.call.Decline(time.Now(), call.Decline{Reason: call.ReasonUnavailable}))
	}
}

// dispatch sends the request to the target that the balancer chose, in a separate
// goroutine if the request may be hedged.
func (d *dispatcher) dispatch(a call.Action) {
	sent := &d.dispatches[a.Dispatch]
	ctx, cancel := context.WithCancel(d.ctx)
	sent.cancel, sent.started = cancel, time.Now()
	d.q.service.metrics.dispatched(a.Dispatch, d.inFlight)
	if d.results == nil {
		d.perform(d.handleResult(d.send(ctx, a, sent.decision)))
		return
	}
	d.inFlight++
	go d.sendAsync(ctx, a, sent.decision)
}

// send dispatches the request to one target, within its own span.
func (d *dispatcher) send(ctx context.Context, a call.Action, to pool.Action) (r dispatchResult) {
	e, q := d.entry, d.q
	ctx, span := e.tracing.start(ctx, "dispatch")
	defer span.End()
	var header http.Header
	if e.tracing.enabled {
		header = make(http.Header, 1)
		e.tracing.propagator.Inject(ctx, propagation.HeaderCarrier(header))
		defer func() { setDispatchAttributes(span, to.Target, a.Attempt, r) }()
	}
	r.index = a.Dispatch
	if q.stream != nil {
		defer context.AfterFunc(ctx, q.upload.interrupt)()
	}
	r.response, r.failure = e.forward.Dispatch(ctx, forward.DispatchParams{
		Target: to.Addr, Request: q.incoming, Path: q.path,
		Body: [][]byte{q.body}, Stream: q.stream, Length: q.incoming.ContentLength,
		Timeout: a.After, Attempt: a.Attempt, Depth: q.header.Depth, Header: q.addAccount(header), Omit: q.omit,
	})
	return r
}

// setDispatchAttributes records the target and the result of a dispatch on its
// span.
func setDispatchAttributes(span trace.Span, target string, attempt int, r dispatchResult) {
	span.SetAttributes(attribute.String("target", target), attribute.Int("attempt", attempt))
	switch {
	case r.failure != nil:
		span.SetAttributes(attribute.String("failure", r.failure.Stage.String()))
	case r.response != nil:
		span.SetAttributes(attribute.Int("status", r.response.Status))
	}
}

// handleResult passes the result of a dispatch to the state machine.
func (d *dispatcher) handleResult(r dispatchResult) call.Actions {
	if r.panicValue != nil {
		panic(r.panicValue)
	}
	now := time.Now()
	sent := &d.dispatches[r.index]
	replay := d.q.stream == nil
	if r.failure != nil {
		sent.cancel()
		sent.ticket.done(now, d.outcomeOfFailure(r.failure.Stage), pool.Load{})
		return d.call.Fail(now, call.Failed{
			Dispatch: r.index, Stage: r.failure.Stage, Execution: r.failure.Execution, Replayable: replay,
			Quarantined: d.recordFailure(now, r.failure, sent),
		})
	}
	sent.response = r.response
	if r.response.Body == nil && !r.response.Load.Shed {
		d.entry.recordAnswer(now, d.q.fingerprint(), r.response.Status)
	}
	return d.call.ReceiveHead(now, call.ResponseHead{Dispatch: r.index, Status: r.response.Status, Shed: r.response.Load.Shed, Replayable: replay})
}

// outcomeOfFailure returns the outcome that a failed dispatch counts as for its
// target. A timeout while the caller is still sending the body isn't the
// target's fault and counts as cancelled.
func (d *dispatcher) outcomeOfFailure(s call.Stage) pool.Outcome {
	if s == call.StageTimeout && d.q.uploading() {
		return pool.Cancelled
	}
	return outcomeOfStage(s)
}

// recordFailure records a failure that may be a crash of the target, announces it
// to the peers and reports whether the request is quarantined or held.
func (d *dispatcher) recordFailure(now time.Time, f *forward.Failure, sent *dispatch) bool {
	failed := call.FailedDispatch{
		Target: f.Target, Stage: f.Stage, Began: sent.started, Trial: d.trial, Alive: sent.alive, Content: d.q.fingerprint(),
		Checked: sent.alive && f.Stage != call.StageCut,
	}
	if f.Stage == call.StageTimeout {
		go d.entry.recordIfSilent(d.q.fingerprint(), d.q.service, failed)
		return false
	}
	if !f.Stage.MayBeCrash() {
		return false
	}
	quarantined := d.entry.suspects.RecordFailure(now, d.q.fingerprint(), failed)
	go d.entry.announceSuspect(d.q.fingerprint())
	if failed.Checked {
		go d.entry.checkTrial(d.q.fingerprint(), d.q.service, failed)
	}
	return quarantined
}

// endTrial ends the trial of a held request.
func (d *dispatcher) endTrial() {
	if !d.trial.IsZero() {
		d.entry.suspects.EndTrial(time.Now(), d.q.fingerprint(), d.trial, d.call.Outcome() != call.NotRun)
	}
}
