package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/pkg/call"
)

// DispatchParams describes one dispatch of a request.
type DispatchParams struct {
	Target  string        // host:port
	Request *http.Request // as received; not modified
	Path    string        // escaped path at the target; if empty, that of Request
	Body    [][]byte      // complete body in parts if Stream is nil
	Stream  io.Reader     // body that can be read once
	Length  int64         // bytes of Stream; negative if unknown
	Timeout time.Duration // until the response head, or the end of a buffered response; 0 means no timeout
	Attempt int           // earlier dispatches that may have run
	Depth   int           // level of the request in its call tree
	Header  http.Header   // added to the request; replaces the caller's headers of the same name
	// Omit names the caller's headers and trailers that are not forwarded, in any case and
	// with an underscore for a hyphen too. Header may add headers of these names.
	Omit []string
	// TimeoutHeader returns further such headers for the remaining part of Timeout. It is
	// called once a connection is obtained, since waiting for one uses up part of Timeout.
	TimeoutHeader func(left time.Duration) http.Header
}

// Dispatch sends the request to its target once. Exactly one of the results is
// not nil. Until the response is closed, cancelling ctx cancels the request at
// the target.
//
// A connection that has carried the request's ID is closed before anything is written to it, and
// the next one is tried. Each try closes one connection, so MaxConns of them leave none of the
// old ones.
func (f *Forwarder) Dispatch(ctx context.Context, p DispatchParams) (*Response, *Failure) {
	started := time.Now()
	for tries, repeatedIDs := 0, 0; ; tries++ {
		d := f.newDispatch(ctx, &p, started)
		r, fail := d.send(f)
		if d.trace.repeatedID {
			repeatedIDs++
		}
		switch {
		case r != nil:
			r.RepeatedIDs = repeatedIDs
			return r, nil
		case !d.trace.givenUp || tries >= f.cfg.MaxConns:
			fail.RepeatedIDs = repeatedIDs
			return nil, fail
		}
	}
}

// newDispatch returns a dispatch on one connection, for a Dispatch call that started earlier.
func (f *Forwarder) newDispatch(ctx context.Context, p *DispatchParams, started time.Time) *dispatch {
	d := &dispatch{params: p, parent: ctx, started: started, stallTimeout: f.cfg.StallTimeout, echoHeader: f.cfg.EchoHeader}
	d.id = strconv.FormatUint(f.lastID.Add(1), 36)
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.trace.cancel, d.trace.body = d.cancel, &d.body
	d.trace.interim.Left = f.cfg.MaxHeaderBytes
	if p.Timeout > 0 {
		d.timer = time.AfterFunc(p.Timeout-time.Since(started), func() { d.cancel(errTimeout) })
	}
	return d
}

// send sends the request and reads the head of the response.
func (d *dispatch) send(f *Forwarder) (*Response, *Failure) {
	req, err := d.newRequest(d.trace.attach(d.ctx))
	if err != nil {
		return nil, d.fail(nil, err)
	}
	d.trace.onConnected = func() { d.setTimeoutHeaders(req.Header) }
	resp, err := d.roundTrip(f.transport, req)
	if err != nil {
		return nil, d.fail(nil, err)
	}
	r, err := d.readResponse(resp, f)
	if err != nil {
		resp.Body.Close()
		return nil, d.fail(resp, err)
	}
	return r, nil
}

// dispatch is the state of a request on one connection until its response is closed.
type dispatch struct {
	params       *DispatchParams
	parent       context.Context
	started      time.Time
	ctx          context.Context
	cancel       context.CancelCauseFunc
	timer        *time.Timer
	stallTimeout time.Duration
	id           string // identifies the response
	echoHeader   string // Config.EchoHeader
	body         body
	trace        transportTrace
}

// setTimeoutHeaders sets the headers that contain the remaining time.
func (d *dispatch) setTimeoutHeaders(h http.Header) {
	if d.params.Timeout <= 0 {
		return
	}
	left := max(d.params.Timeout-time.Since(d.started), 0)
	if d.echoHeader == "" {
		h.Set(call.HeaderTimeout, left.String())
	}
	if d.params.TimeoutHeader == nil {
		return
	}
	for k, v := range d.params.TimeoutHeader(left) {
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

// fail ends the dispatch and returns its failure, with the stage at which it occurred.
// resp is nil if no response head was received.
func (d *dispatch) fail(resp *http.Response, err error) *Failure {
	switch {
	case d.trace.givenUp:
		resp, err = nil, errGivenUp
	case d.trace.stale.Load():
		resp, err = nil, errStaleConnection
	}
	if errors.As(err, new(*reply.Error)) || errors.As(err, new(*StrayError)) {
		resp = nil
	}
	f := &Failure{Target: d.params.Target, Cause: err}
	if resp != nil {
		f.Status, f.Header = resp.StatusCode, resp.Header
	}
	f.Stage = d.stage(f.Status, err)
	f.Execution = d.trace.execution()
	f.Replayable = !d.body.readBegun()
	f.ConnectTime = d.trace.connectTime()
	if isSuccess(f.Status) {
		f.Execution = call.DidRun
	}
	d.release(err)
	d.trace.closeConn()
	return f
}

// stage classifies a failure. It first checks for a timeout, a cancellation and an
// error of the caller's body, because each of them also breaks the connection to the
// target. Only a failure with none of these causes is attributed to the target.
func (d *dispatch) stage(status int, err error) call.Stage {
	cause := context.Cause(d.ctx)
	switch {
	case cause == errTimeout, cause == errStalled, errors.Is(cause, context.DeadlineExceeded):
		return call.StageTimeout
	case d.parent.Err() != nil:
		return call.StageCancelled
	case d.body.err() != nil:
		return call.StageCaller
	case d.trace.conn.Load() == nil:
		return connectStage(err)
	case d.trace.execution() == call.DidNotRun:
		return call.StageUnsent
	case !d.trace.broken() || err == errUnframed || errors.As(err, new(*reply.Error)):
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
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// release stops the timer and cancels the context. The last request of a connection closes it.
func (d *dispatch) release(cause error) {
	if d.trace.lastRequest {
		d.trace.closeConn()
	}
	if d.timer != nil {
		d.timer.Stop()
	}
	d.cancel(cause)
}
