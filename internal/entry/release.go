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
func (d *drive) cancel(try int) {
	sent := &d.tries[try]
	sent.cancel()
	if sent.answer == nil {
		return
	}
	sent.answer.Close()
	outcome := kindOf(sent.answer.Status)
	if sent.answer.Load.Shed {
		outcome = pool.Shed
	}
	sent.ticket.done(time.Now(), outcome, loadOf(sent.answer.Load))
}

// discardLateResults receives the results that arrive after the request has ended
// and frees their slots.
func (d *drive) reap() {
	for ; d.flying > 0; d.flying-- {
		r := <-d.results
		sent := &d.tries[r.try]
		sent.cancel()
		if r.answer != nil {
			r.answer.Close()
		}
		sent.ticket.done(time.Now(), pool.Cancelled, pool.Load{})
	}
}

// releaseAll releases everything that the request holds when its handler panics.
// A slot that isn't freed would stay occupied for as long as the entry runs, and a
// few such requests would leave the service without slots. The balancer ignores
// the cancellation of a request that has already ended.
func (d *drive) abandon() {
	now := time.Now()
	d.seek.drop(now)
	d.wait.End()
	for i := range d.tries {
		sent := &d.tries[i]
		if sent.cancel != nil {
			sent.cancel()
		}
		if sent.answer != nil {
			sent.answer.Close()
		}
		sent.ticket.drop(now)
	}
	if d.flying > 0 {
		go d.reap()
	}
}

// cancelIfSet cancels the ticket unless it is the zero value.
func (t ticket) drop(now time.Time) {
	if t.service != nil {
		t.cancel(now)
	}
}

// sendAsync sends a dispatch from a separate goroutine. An unrecovered panic there
// would end the process with all its requests, so it is passed as a result and
// raised again in the request's goroutine.
func (d *drive) sendApart(ctx context.Context, a call.Action, to pool.Action) {
	r := result{try: a.Dispatch}
	defer func() {
		if v := recover(); v != nil {
			d.entry.log.WithField("stack", string(debug.Stack())).Errorf("panic in a dispatch: %v", v)
			r = result{try: a.Dispatch, panicked: v}
		}
		d.results <- r
	}()
	r = d.send(ctx, a, to)
}

// finish frees the slot once the response is copied completely or has failed.
func (o *passing) end(f *forward.Failure) {
	now := time.Now()
	outcome := kindOf(o.answer.Status)
	if f != nil {
		outcome = kindOfStage(f.Stage)
		o.drive.crashed(now, f, o.began)
	} else if o.answer.Body != nil {
		o.drive.entry.suspects.RecordResponse(now, o.drive.q.fingerprint())
	}
	o.ended = true
	o.ticket.done(now, outcome, loadOf(o.answer.Load))
}

// release closes a response that wasn't finished, so that a panic while it is
// copied doesn't leave the slot occupied.
func (o *passing) release() {
	o.cancel()
	if o.ended {
		return
	}
	o.ended = true
	o.answer.Close()
	o.ticket.done(time.Now(), pool.ConnectionLost, pool.Load{})
}

// logPanic logs a panic in the handling of a request, with the stack.
func (e *Entry) logPanic(id string, v any) {
	e.log.WithFields(log.Fields{"request": id, "stack": string(debug.Stack())}).Errorf("panic: %v", v)
}
