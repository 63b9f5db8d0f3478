package forward

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// transportTrace records the progress of one dispatch in the transport.
type watch struct {
	trace   httptrace.ClientTrace
	cancel  context.CancelCauseFunc
	asked   atomic.Int32 // calls of getConn
	conn    atomic.Pointer[conn]
	start   int64        // bytes written to conn before this request
	stale   atomic.Bool  // the response belongs to an earlier request
	askedAt time.Time    // when a connection was requested
	took    atomic.Int64 // time until it was obtained, in ns
	// onConnected is called when a connection is obtained, before anything is written to it.
	connected func()
}

// attach returns a context with the trace hooks.
func (t *watch) attach(ctx context.Context) context.Context {
	t.trace.GetConn = t.getConn
	t.trace.GotConn = t.gotConn
	t.trace.GotFirstResponseByte = t.firstByte
	return httptrace.WithClientTrace(ctx, &t.trace)
}

// getConn runs before the transport chooses a connection. A second call means
// that the transport is resending the request, which could run it twice, for
// example a caller's deposit. The panic stops the transport before it chooses a
// connection.
func (t *watch) getConn(string) {
	if t.asked.Add(1) > 1 {
		panic(errResent)
	}
	t.askedAt = time.Now()
}

func (t *watch) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.took.Store(int64(time.Since(t.askedAt)))
	t.start = c.begin()
	t.connected()
	t.conn.Store(c)
}

// firstByte runs when a response begins. Bytes that were read before this
// request was written belong to the response to an earlier request, which may be
// another caller's. The transport would take them for the response to this
// request, so the dispatch is cancelled.
func (t *watch) firstByte() {
	c := t.conn.Load()
	if c != nil && c.stale() {
		t.stale.Store(true)
		t.cancel(errStale)
	}
}

// execution returns, after a failure, whether the request may have run.
func (t *watch) ran() call.Execution {
	c := t.conn.Load()
	if c == nil {
		return call.DidNotRun
	}
	if c.sent.Load() == t.start {
		return call.DidNotRun
	}
	return call.MayHaveRun
}

// connectTime returns the time until a connection was obtained; 0 if there was none.
func (t *watch) connect() time.Duration { return time.Duration(t.took.Load()) }

// broken reports whether the target ended the connection.
func (t *watch) broken() bool {
	c := t.conn.Load()
	return c != nil && c.broken.Load()
}

// closeConn closes the connection, so that bytes left on it are never taken for the
// response to a later request.
func (t *watch) drop() {
	if c := t.conn.Load(); c != nil {
		c.Close()
	}
}
