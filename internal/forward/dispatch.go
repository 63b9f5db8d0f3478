package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
)

// Try is one dispatch of a request.
type Try struct {
	Target  string        // host:port
	Request *http.Request // as received; it is only read
	Path    string        // escaped path for the target; empty keeps the request's
	Body    []byte        // whole body, when Stream is nil
	Stream  io.Reader     // body that can be read once
	Length  int64         // bytes of Stream; negative when not known
	Timeout time.Duration // until the answer head, and the whole of a short answer; 0 is none
	Attempt int           // earlier dispatches that may have run
	Depth   int           // level of the request in its call tree
	Header  http.Header   // set for the target, over what the caller sent
	// Timed are further such headers, by the time that is left of Timeout. They are made
	// when a connection is had: what waits for one has less than at its dispatch.
	Timed func(left time.Duration) http.Header
}

// Dispatch sends t to its target once. Exactly one of answer and failure is
// not nil. Cancelling ctx cancels the request at the target, until the answer
// is closed.
func (f *Forwarder) Dispatch(ctx context.Context, t Try) (*Answer, *Failure) {
	d := &dispatch{try: &t, parent: ctx, began: time.Now(), stall: f.cfg.Stall, echo: f.cfg.Echo}
	d.id = strconv.FormatUint(f.sent.Add(1), 36)
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.watch.cancel = d.cancel
	if t.Timeout > 0 {
		d.timer = time.AfterFunc(t.Timeout, func() { d.cancel(errTimeout) })
	}
	req, err := d.request(d.watch.attach(d.ctx))
	if err != nil {
		return nil, d.fail(nil, err)
	}
	d.watch.connected = func() { d.timed(req.Header) }
	resp, err := d.roundTrip(f.transport, req)
	if err != nil {
		return nil, d.fail(nil, err)
	}
	a, err := d.answer(resp, f)
	if err != nil {
		resp.Body.Close()
		return nil, d.fail(resp, err)
	}
	return a, nil
}

// dispatch is the state of one Dispatch until its answer is closed.
type dispatch struct {
	try    *Try
	parent context.Context
	began  time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	stall  time.Duration
	id     string // by which the answer is known
	echo   string // Config.Echo
	body   body
	watch  watch
}

// timed sets the headers that tell how much of the time is left.
func (d *dispatch) timed(h http.Header) {
	if d.try.Timeout <= 0 {
		return
	}
	left := max(d.try.Timeout-time.Since(d.began), 0)
	if d.echo == "" {
		h.Set(call.HeaderTimeout, left.String())
	}
	if d.try.Timed == nil {
		return
	}
	for k, v := range d.try.Timed(left) {
		h[k] = v
	}
}

func (d *dispatch) roundTrip(t *http.Transport, req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if r := recover(); r != nil {
			if r != any(errResent) {
				panic(r)
			}
			err = errResent
		}
	}()
	return t.RoundTrip(req)
}

// fail ends the dispatch and says how far it came. resp is nil where no head came.
func (d *dispatch) fail(resp *http.Response, err error) *Failure {
	if d.watch.stale.Load() {
		resp, err = nil, errStale
	}
	f := &Failure{Target: d.try.Target, Cause: err}
	if resp != nil {
		f.Status, f.Header = resp.StatusCode, resp.Header
	}
	f.Stage = d.stage(f.Status, err)
	f.Ran = d.watch.ran()
	f.Replay = !d.body.used()
	f.Connect = d.watch.connect()
	if success(f.Status) {
		f.Ran = call.DidRun
	}
	d.end(err)
	d.watch.drop()
	return f
}

// stage tells whose doing a failure is: first that of the clock and the
// caller, whose going breaks connections too, then that of the target.
func (d *dispatch) stage(status int, err error) call.Stage {
	cause := context.Cause(d.ctx)
	switch {
	case cause == errTimeout, cause == errStalled, errors.Is(cause, context.DeadlineExceeded):
		return call.StageTimeout
	case d.parent.Err() != nil:
		return call.StageCancelled
	case d.body.err() != nil:
		return call.StageCaller
	case d.watch.conn.Load() == nil:
		return connectStage(err)
	case d.watch.ran() == call.DidNotRun:
		return call.StageUnsent
	case !d.watch.broken() || err == errUnframed:
		return call.StageInvalid
	case status != 0:
		return call.StageCut
	default:
		return call.StageSent
	}
}

func connectStage(err error) call.Stage {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return call.StageRefused
	}
	return call.StageConnect
}

// success reports whether a head alone shows that the request ran; with any
// other status the target may have refused to begin it.
func success(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// end stops the timer and releases the context.
func (d *dispatch) end(cause error) {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.cancel(cause)
}
