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

// DispatchParams describes one dispatch of a request.
type Try struct {
	Target  string        // host:port
	Request *http.Request // as received; not modified
	Path    string        // escaped path at the target; if empty, that of Request
	Body    []byte        // complete body if Stream is nil
	Stream  io.Reader     // body that can be read once
	Length  int64         // bytes of Stream; negative if unknown
	Timeout time.Duration // until the response head, or the end of a buffered response; 0 means no timeout
	Attempt int           // earlier dispatches that may have run
	Depth   int           // level of the request in its call tree
	Header  http.Header   // added to the request; replaces the caller's headers of the same name
	// TimeoutHeader returns further such headers for the remaining part of Timeout. It is
	// called once a connection is obtained, since waiting for one uses up part of Timeout.
	Timed func(left time.Duration) http.Header
}

// Dispatch sends the request to its target once. Exactly one of the results is
// not nil. Until the response is closed, cancelling ctx cancels the request at
// the target.
func (f *Forwarder) Dispatch(ctx context.Context, p Try) (*Answer, *Failure) {
	d := &dispatch{try: &p, parent: ctx, began: time.Now(), stall: f.cfg.Stall, echo: f.cfg.Echo}
	d.id = strconv.FormatUint(f.sent.Add(1), 36)
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.watch.cancel = d.cancel
	if p.Timeout > 0 {
		d.timer = time.AfterFunc(p.Timeout, func() { d.cancel(errTimeout) })
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
	r, err := d.answer(resp, f)
	if err != nil {
		resp.Body.Close()
		return nil, d.fail(resp, err)
	}
	return r, nil
}

// dispatch is the state of one Dispatch call until its response is closed.
type dispatch struct {
	try    *Try
	parent context.Context
	began  time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	stall  time.Duration
	id     string // identifies the response
	echo   string // Config.EchoHeader
	body   body
	watch  watch
}

// setTimeoutHeaders sets the headers that contain the remaining time.
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

// roundTrip sends req and converts the panic of the GetConn hook to an error.
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

// fail ends the dispatch and returns the stage at which it failed. resp is nil if no
// response head was received.
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

// stage classifies a failure. It checks for a timeout and for the caller first,
// because both also break connections; only then is the target the cause.
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

// isSuccess reports whether the status alone shows that the request ran. With
// another status, the target may have refused to start it.
func success(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// release stops the timer and cancels the context.
func (d *dispatch) end(cause error) {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.cancel(cause)
}
