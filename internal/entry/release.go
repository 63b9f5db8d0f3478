package entry

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/pool"
)

// cancel ends a dispatch whose response isn't needed. If the dispatch is still in
// flight in its goroutine, discardLateResults frees its slot later.
func (d *dispatcher) cancel(index int) {
	sent := &d.dispatches[index]
	sent.cancel()
	if sent.response == nil {
		return
	}
	sent.response.Close()
	outcome := outcomeOfStatus(sent.response.Status)
	if sent.response.Load.Shed {
		outcome = pool.Shed
	}
	sent.ticket.done(time.Now(), outcome, poolLoad(sent.response.Load))
}

// discardLateResults receives the results that arrive after the request has ended
// and frees their slots.
func (d *dispatcher) discardLateResults() {
	for ; d.inFlight > 0; d.inFlight-- {
		r := <-d.results
		sent := &d.dispatches[r.index]
		sent.cancel()
		if r.response != nil {
			r.response.Close()
		}
		sent.ticket.done(time.Now(), pool.Cancelled, pool.Load{})
	}
}

// releaseAll releases everything that the request holds when its handler panics.
// A slot that isn't freed would stay occupied for as long as the entry runs, and a
// few such requests would leave the service without slots. The balancer ignores
// the cancellation of a request that has already ended.
func (d *dispatcher) releaseAll() {
	now := time.Now()
	d.pending.cancelIfSet(now)
	d.queueSpan.End()
	for i := range d.dispatches {
		sent := &d.dispatches[i]
		if sent.cancel != nil {
			sent.cancel()
		}
		if sent.response != nil {
			sent.response.Close()
		}
		sent.ticket.cancelIfSet(now)
	}
	if d.inFlight > 0 {
		go d.discardLateResults()
	}
}

// cancelIfSet cancels the ticket unless it is the zero value.
func (t ticket) cancelIfSet(now time.Time) {
	if t.service != nil {
		t.cancel(now)
	}
}

// sendAsync sends a dispatch from a separate goroutine. An unrecovered panic there
// would end the process with all its requests, so it is passed as a result and
// raised again in the request's goroutine.
func (d *dispatcher) sendAsync(ctx context.Context, a call.Action, to pool.Action) {
	r := dispatchResult{index: a.Dispatch}
	defer func() {
		if v := recover(); v != nil {
			d.entry.log.WithField("stack", string(debug.Stack())).Errorf("panic in a dispatch: %v", v)
			r = dispatchResult{index: a.Dispatch, panicValue: v}
		}
		d.results <- r
	}()
	r = d.send(ctx, a, to)
}

// finish frees the slot once the response is copied completely or has failed.
func (o *openResponse) finish(f *forward.Failure) {
	now := time.Now()
	outcome := outcomeOfStatus(o.response.Status)
	if f != nil {
		outcome = outcomeOfStage(f.Stage)
		o.dispatcher.recordFailure(now, f, o.dispatch)
	} else if o.response.Body != nil {
		o.dispatcher.entry.recordAnswer(now, o.dispatcher.q.fingerprint(), o.response.Status)
	}
	o.dispatcher.endTrial()
	o.finished = true
	o.ticket.done(now, outcome, poolLoad(o.response.Load))
}

// release closes a response that wasn't finished, so that a panic while it is
// copied doesn't leave the slot occupied.
func (o *openResponse) release() {
	o.cancel()
	if o.finished {
		return
	}
	o.finished = true
	o.dispatcher.endTrial()
	o.response.Close()
	o.ticket.done(time.Now(), pool.ConnectionLost, pool.Load{})
}

// logPanic logs a panic in the handling of a request, with the stack.
func (e *Entry) logPanic(id string, v any) {
	e.log.WithFields(log.Fields{"request": id, "stack": string(debug.Stack())}).Errorf("panic: %v", v)
}
