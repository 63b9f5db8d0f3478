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

// drive carries out what the lifecycle of one request decides. It runs in the
// goroutine of the request; only a request that may be hedged dispatches in
// goroutines of its own.
type drive struct {
	entry   *Entry
	q       *request
	ctx     context.Context
	call    call.Call
	seek    ticket // waits for the pool while seeking
	seeking bool
	wait    trace.Span // of seeking
	tries   [call.MaxTries]flight
	results chan result // from dispatches in goroutines
	flying  int         // of these, not yet received
	hedge   <-chan time.Time
	timer   *time.Timer
	won     *passing
	refused bool
}

// flight is one dispatch.
type flight struct {
	ticket ticket
	action pool.Action
	began  time.Time
	cancel context.CancelFunc
	answer *forward.Answer
}

// result is how a dispatch ended, or the head of its answer.
type result struct {
	try      int
	answer   *forward.Answer
	failure  *forward.Failure
	panicked any
}

func newDrive(ctx context.Context, e *Entry, q *request) *drive {
	d := &drive{entry: e, q: q, ctx: ctx, wait: noSpan}
	d.call = call.New(call.Config{
		Tries:  q.policy.Attempts,
		Retry:  q.policy.RetryAfter,
		Budget: q.service.budget.Load(),
	})
	return d
}

// run ends with an answer to pass on, or with what to tell the caller.
func (d *drive) run() (p *passing, final call.Final) {
	whole := false
	defer func() {
		if !whole {
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
	whole = true
	if d.flying > 0 {
		go d.reap()
	}
	return d.won, d.q.explain(d.call.Final())
}

func (d *drive) arrival() call.Arrival {
	q := d.q
	a := call.Arrival{
		Deadline:    q.deadline,
		Idempotent:  q.idempotent(),
		Attempt:     q.header.Attempt,
		Depth:       q.header.Depth,
		Quarantined: d.entry.suspects.Quarantined(q.arrived, q.fingerprint()),
	}
	if q.policy.Hedge && q.stream == nil && a.Idempotent {
		a.Hedge = q.policy.HedgeAfter
		d.results = make(chan result, call.MaxTries)
	}
	return a
}

// next waits for the next event and gives it to the lifecycle.
func (d *drive) next() call.Actions {
	var answer chan pool.Action
	if d.seeking {
		answer = d.seek.answer
	}
	select {
	case a := <-answer:
		return d.chosen(a)
	default:
	}
	select {
	case a := <-answer:
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
		return d.call.Leave(time.Now())
	}
}

// chosen takes the pool's answer.
func (d *drive) chosen(a pool.Action) call.Actions {
	d.seeking = false
	if a.Kind == pool.Refuse {
		ended(d.wait, a.Reason.String())
		return d.call.Decline(time.Now(), call.Decline{Reason: reasonOf(a.Reason), Retry: a.RetryAfter})
	}
	d.wait.End()
	d.tries[d.free()] = flight{ticket: d.seek, action: a}
	return d.call.Choose(time.Now(), call.Choice{Target: a.Addr})
}

// free is the index that the lifecycle gives to the next dispatch.
func (d *drive) free() (n int) {
	for n = range d.tries {
		if d.tries[n].cancel == nil {
			return n
		}
	}
	return n
}

// perform carries out actions. An inline dispatch leads to further ones.
func (d *drive) perform(acts call.Actions) {
	for _, a := range acts.All() {
		switch a.Do {
		case call.DoSeek:
			d.enter()
		case call.DoHedge:
			d.enterHedge()
		case call.DoWithdraw:
			d.seeking = false
			ended(d.wait, "withdrawn")
			d.seek.cancel(time.Now())
		case call.DoRelease:
			d.seek.cancel(time.Now())
		case call.DoDispatch:
			d.dispatch(a)
		case call.DoTimer:
			d.timer = time.NewTimer(a.After)
			d.hedge = d.timer.C
		case call.DoCancel:
			d.cancel(a.Try)
		case call.DoAnswer:
			f := &d.tries[a.Try]
			d.won = &passing{answer: f.answer, ticket: f.ticket, drive: d, began: f.began}
		case call.DoRefuse:
			d.refused = true
		}
	}
}

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

// enterHedge takes a slot that is free at once. A hedge that queues would take
// the place of a first dispatch.
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

func (d *drive) dispatch(a call.Action) {
	f := &d.tries[a.Try]
	ctx, cancel := context.WithCancel(d.ctx)
	f.cancel, f.began = cancel, time.Now()
	d.q.service.metrics.dispatched(a.Try, d.flying)
	if d.results == nil {
		d.perform(d.took(d.send(ctx, a, f.action)))
		return
	}
	d.flying++
	go d.sendApart(ctx, a, f.action)
}

// send dispatches the request to one target, in a span of its own.
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
	r.try = a.Try
	if q.stream != nil {
		defer context.AfterFunc(ctx, q.upload.interrupt)()
	}
	r.answer, r.failure = e.forward.Dispatch(ctx, forward.Try{
		Target: to.Addr, Request: q.in, Path: q.path,
		Body: q.body, Stream: q.stream, Length: q.in.ContentLength,
		Timeout: a.After, Attempt: a.Attempt, Depth: q.header.Depth, Header: header,
	})
	return r
}

// describe tells of a dispatch on its span.
func describe(span trace.Span, target string, attempt int, r result) {
	span.SetAttributes(attribute.String("target", target), attribute.Int("attempt", attempt))
	switch {
	case r.failure != nil:
		span.SetAttributes(attribute.String("failure", r.failure.Stage.String()))
	case r.answer != nil:
		span.SetAttributes(attribute.Int("status", r.answer.Status))
	}
}

// took gives a dispatch's result to the lifecycle.
func (d *drive) took(r result) call.Actions {
	if r.panicked != nil {
		panic(r.panicked)
	}
	now := time.Now()
	f := &d.tries[r.try]
	replay := d.q.stream == nil
	if r.failure != nil {
		f.cancel()
		f.ticket.done(now, d.kindOf(r.failure.Stage), pool.Load{})
		return d.call.Fail(now, call.Failed{
			Try: r.try, Stage: r.failure.Stage, Ran: r.failure.Ran, Replay: replay,
			Quarantined: d.crashed(now, r.failure, f.began),
		})
	}
	f.answer = r.answer
	if r.answer.Body == nil {
		d.entry.suspects.Answered(now, d.q.fingerprint())
	}
	return d.call.Head(now, call.Head{Try: r.try, Status: r.answer.Status, Shed: r.answer.Load.Shed, Replay: replay})
}

// kindOf is how a failed dispatch counts for its target, which can't answer in
// time while the caller holds back the body.
func (d *drive) kindOf(s call.Stage) pool.Kind {
	if s == call.StageTimeout && d.q.uploading() {
		return pool.Cancelled
	}
	return kindOfStage(s)
}

func (d *drive) crashed(now time.Time, f *forward.Failure, began time.Time) bool {
	if !f.Stage.Crash() {
		return false
	}
	held := d.entry.suspects.Crashed(now, d.q.fingerprint(), f.Target, began)
	go d.entry.tellSuspect(d.q.fingerprint())
	return held
}
