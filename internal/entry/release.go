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

// cancel ends a dispatch whose answer is not wanted. One that still flies in a
// goroutine is cleared away when its result comes.
func (d *drive) cancel(try int) {
	f := &d.tries[try]
	f.cancel()
	if f.answer == nil {
		return
	}
	f.answer.Close()
	kind := kindOf(f.answer.Status)
	if f.answer.Load.Shed {
		kind = pool.Shed
	}
	f.ticket.done(time.Now(), kind, loadOf(f.answer.Load))
}

// reap clears away the results that come after the request has ended.
func (d *drive) reap() {
	for ; d.flying > 0; d.flying-- {
		r := <-d.results
		f := &d.tries[r.try]
		f.cancel()
		if r.answer != nil {
			r.answer.Close()
		}
		f.ticket.done(time.Now(), pool.Cancelled, pool.Load{})
	}
}

// abandon gives back all that the request holds when its handling panics. A
// slot that stayed taken would count against its target for as long as the
// entry runs, and a few such requests would leave the service without slots.
// The pool ignores the end of a request that has ended before.
func (d *drive) abandon() {
	now := time.Now()
	d.seek.drop(now)
	d.wait.End()
	for i := range d.tries {
		f := &d.tries[i]
		if f.cancel != nil {
			f.cancel()
		}
		if f.answer != nil {
			f.answer.Close()
		}
		f.ticket.drop(now)
	}
	if d.flying > 0 {
		go d.reap()
	}
}

// drop gives a ticket back, if there is one.
func (t ticket) drop(now time.Time) {
	if t.service != nil {
		t.cancel(now)
	}
}

// sendApart dispatches in a goroutine of its own. A panic there would end the
// process with all its requests, so it goes on in the request's goroutine.
func (d *drive) sendApart(ctx context.Context, a call.Action, to pool.Action) {
	r := result{try: a.Try}
	defer func() {
		if v := recover(); v != nil {
			d.entry.log.WithField("stack", string(debug.Stack())).Errorf("panic in a dispatch: %v", v)
			r = result{try: a.Try, panicked: v}
		}
		d.results <- r
	}()
	r = d.send(ctx, a, to)
}

// end gives the slot back once the whole answer is passed on, or cut.
func (p *passing) end(f *forward.Failure) {
	now := time.Now()
	kind := kindOf(p.answer.Status)
	if f != nil {
		kind = kindOfStage(f.Stage)
		p.drive.crashed(now, f, p.began)
	} else if p.answer.Body != nil {
		p.drive.entry.suspects.Answered(now, p.drive.q.fingerprint())
	}
	p.ended = true
	p.ticket.done(now, kind, loadOf(p.answer.Load))
}

// release ends an answer that was not passed on to its end. A panic on the way
// would keep the slot otherwise.
func (p *passing) release() {
	p.cancel()
	if p.ended {
		return
	}
	p.ended = true
	p.answer.Close()
	p.ticket.done(time.Now(), pool.Broken, pool.Load{})
}

// logPanic logs a recovered panic of a request.
func (e *Entry) logPanic(id string, v any) {
	e.log.WithFields(log.Fields{"request": id, "stack": string(debug.Stack())}).Errorf("panic: %v", v)
}
