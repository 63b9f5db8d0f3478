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
type drive struct {
	entry   *Entry
	q       *request
	ctx     context.Context
	call    call.Call
	seek    ticket // latest acquisition of a target
	seeking bool   // the balancer hasn't decided on it yet
	wait    trace.Span
	tries   [call.MaxDispatches]flight
	results chan result // from separate goroutines; nil if the request may not be hedged
	flying  int         // dispatches whose result is still to come through results
	hedge   <-chan time.Time
	timer   *time.Timer
	won     *passing
	refused bool
}

// dispatch is one attempt to have the request served by a target.
type flight struct {
	ticket ticket
	action pool.Action
	began  time.Time
	cancel context.CancelFunc
	answer *forward.Response
}

// dispatchResult is the failure of a dispatch or the head of its response.
type result struct {
	try      int
	answer   *forward.Response
	failure  *forward.Failure
	panicked any
}

func newDrive(ctx context.Context, e *Entry, q *request) *drive {
	d := &drive{entry: e, q: q, ctx: ctx, wait: noSpan}
	d.call = call.New(call.Config{
		MaxDispatches: q.policy.Attempts,
		RetryAfter:    q.policy.RetryAfter,
		Budget:        q.service.budget.Load(),
	})
	return d
}

// run executes the request. It returns the response to copy to the caller, or
// nil and the final response.
func (d *drive) run() (p *passing, final call.Final) {
	finished := false
	defer func() {
		if !finished {
			d.abandon()
		}
	}()
	d.perform(d.call.Arrive(d.q.arrived, d.arrival()))
	for d.won == nil && !d.refused {
		d.perform(d.next())
	}
	if d.timer != nil {
		d.timer.Stop()
	}
	finished = true
	if d.flying > 0 {
		go d.reap()
	}
	return d.won, d.q.explain(d.call.Final())
}

func (d *drive) arrival() call.Arrival {
	q := d.q
	a := call.Arrival{
		Deadline:            q.deadline,
		Idempotent:          q.idempotent(),
		Attempt:             q.header.Attempt,
		Depth:               q.header.Depth,
		QuarantineRemaining: d.entry.suspects.QuarantineRemaining(q.arrived, q.fingerprint()),
	}
	if q.policy.Hedge && q.stream == nil && a.Idempotent {
		a.HedgeDelay = q.policy.HedgeAfter
		d.results = make(chan result, call.MaxDispatches)
	}
	return a
}

// nextEvent waits for the next event and passes it to the state machine. A
// decision of the balancer takes precedence over other events.
func (d *drive) next() call.Actions {
	var decision chan pool.Action
	if d.seeking {
		decision = d.seek.answer
	}
	select {
	case a := <-decision:
		return d.chosen(a)
	default:
	}
	select {
	case a := <-decision:
		return d.chosen(a)
	case r := <-d.results:
		d.flying--
		return d.took(r)
	case <-d.hedge:
		d.hedge = nil
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
func (d *drive) chosen(a pool.Action) call.Actions {
	d.seeking = false
	if a.Kind == pool.Refuse {
		ended(d.wait, a.Reason.String())
		return d.call.Decline(time.Now(), call.Decline{Reason: reasonOf(a.Reason), RetryAfter: a.RetryAfter})
	}
	d.wait.End()
	d.tries[d.free()] = flight{ticket: d.seek, action: a}
	return d.call.Choose(time.Now(), call.Choice{Target: a.Addr})
}

// nextIndex returns the index that the state machine assigns to the next
// dispatch: the first unused one.
func (d *drive) free() (n int) {
	for n = range d.tries {
		if d.tries[n].cancel == nil {
			return n
		}
	}
	return n
}

// perform executes actions. A dispatch in the request's own goroutine returns
// with its result, which leads to further actions.
func (d *drive) perform(acts call.Actions) {
	for _, a := range acts.All() {
		switch a.Kind {
		case call.ActionAcquire:
			d.enter()
		case call.ActionAcquireHedge:
			d.enterHedge()
		case call.ActionWithdraw:
			d.seeking = false
			ended(d.wait, "withdrawn")
			d.seek.cancel(time.Now())
		case call.ActionRelease:
			d.seek.cancel(time.Now())
		case call.ActionDispatch:
			d.dispatch(a)
		case call.ActionStartHedgeTimer:
			d.timer = time.NewTimer(a.After)
			d.hedge = d.timer.C
		case call.ActionCancel:
			d.cancel(a.Dispatch)
		case call.ActionRespond:
			sent := &d.tries[a.Dispatch]
			d.won = &passing{answer: sent.answer, ticket: sent.ticket, drive: d, began: sent.began}
		case call.ActionRefuse:
			d.refused = true
		}
	}
}

// acquire asks the balancer for a target other than that of the latest dispatch.
func (d *drive) enter() {
	avoid := ""
	for i := range d.tries {
		if d.tries[i].cancel != nil {
			avoid = d.tries[i].action.Target
		}
	}
	d.seeking = true
	_, d.wait = d.entry.tracing.start(d.ctx, "queue")
	d.seek = d.q.service.enter(time.Now(), pool.Arrival{Deadline: d.q.deadline, Idempotent: d.q.idempotent(), Avoid: avoid})
}

// acquireHedge acquires a target for a hedge only if a slot is free at once. A
// queued hedge would delay the first dispatch of another request.
func (d *drive) enterHedge() {
	d.enter()
	select {
	case a := <-d.seek.answer:
		d.perform(d.chosen(a))
	default:
		d.seeking = false
		ended(d.wait, "no free slot")
		d.seek.cancel(time.Now())
		d.perform(d.call.Decline(time.Now(), call.Decline{Reason: call.ReasonUnavailable}))
	}
}

// dispatch sends the request to the target that the balancer chose, in a separate
// goroutine if the request may be hedged.
func (d *drive) dispatch(a call.Action) {
	sent := &d.tries[a.Dispatch]
	ctx, cancel := context.WithCancel(d.ctx)
	sent.cancel, sent.began = cancel, time.Now()
	d.q.service.metrics.dispatched(a.Dispatch, d.flying)
	if d.results == nil {
		d.perform(d.took(d.send(ctx, a, sent.action)))
		return
	}
	d.flying++
	go d.sendApart(ctx, a, sent.action)
}

// send dispatches the request to one target, within its own span.
func (d *drive) send(ctx context.Context, a call.Action, to pool.Action) (r result) {
	e, q := d.entry, d.q
	ctx, span := e.tracing.start(ctx, "dispatch")
	defer span.End()
	var header http.Header
	if e.tracing.on {
		header = make(http.Header, 1)
		e.tracing.carry.Inject(ctx, propagation.HeaderCarrier(header))
		defer func() { describe(span, to.Target, a.Attempt, r) }()
	}
	r.try = a.Dispatch
	if q.stream != nil {
		defer context.AfterFunc(ctx, q.upload.interrupt)()
	}
	r.answer, r.failure = e.forward.Dispatch(ctx, forward.DispatchParams{
		Target: to.Addr, Request: q.in, Path: q.path,
		Body: q.body, Stream: q.stream, Length: q.in.ContentLength,
		Timeout: a.After, Attempt: a.Attempt, Depth: q.header.Depth, Header: header,
	})
	return r
}

// setDispatchAttributes records the target and the result of a dispatch on its
// span.
func describe(span trace.Span, target string, attempt int, r result) {
	span.SetAttributes(attribute.String("target", target), attribute.Int("attempt", attempt))
	switch {
	case r.failure != nil:
		span.SetAttributes(attribute.String("failure", r.failure.Stage.String()))
	case r.answer != nil:
		span.SetAttributes(attribute.Int("status", r.answer.Status))
	}
}

// handleResult passes the result of a dispatch to the state machine.
func (d *drive) took(r result) call.Actions {
	if r.panicked != nil {
		panic(r.panicked)
	}
	now := time.Now()
	sent := &d.tries[r.try]
	replay := d.q.stream == nil
	if r.failure != nil {
		sent.cancel()
		sent.ticket.done(now, d.kindOf(r.failure.Stage), pool.Load{})
		return d.call.Fail(now, call.Failed{
			Dispatch: r.try, Stage: r.failure.Stage, Execution: r.failure.Execution, Replayable: replay,
			Quarantined: d.crashed(now, r.failure, sent.began),
		})
	}
	sent.answer = r.answer
	if r.answer.Body == nil {
		d.entry.suspects.RecordResponse(now, d.q.fingerprint())
	}
	return d.call.ReceiveHead(now, call.ResponseHead{Dispatch: r.try, Status: r.answer.Status, Shed: r.answer.Load.Shed, Replayable: replay})
}

// outcomeOfFailure returns the outcome that a failed dispatch counts as for its
// target. A timeout while the caller is still sending the body isn't the
// target's fault and counts as cancelled.
func (d *drive) kindOf(s call.Stage) pool.Outcome {
	if s == call.StageTimeout && d.q.uploading() {
		return pool.Cancelled
	}
	return kindOfStage(s)
}

// recordCrash records a failure that may be a crash of the target, announces it
// to the peers and reports whether the request is quarantined.
func (d *drive) crashed(now time.Time, f *forward.Failure, began time.Time) bool {
	if !f.Stage.MayBeCrash() {
		return false
	}
	quarantined := d.entry.suspects.RecordCrash(now, d.q.fingerprint(), f.Target, began)
	go d.entry.tellSuspect(d.q.fingerprint())
	return quarantined
}
