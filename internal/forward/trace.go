package forward

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/pkg/call"
)

// transportTrace records the progress of one dispatch in the transport.
type transportTrace struct {
	hooks           httptrace.ClientTrace
	cancel          context.CancelCauseFunc
	connRequests    atomic.Int32 // calls of getConn
	conn            atomic.Pointer[conn]
	writtenBefore   int64       // bytes written to conn before this request
	stale           atomic.Bool // the response belongs to an earlier request
	id              string      // the caller's ID; empty if there is none
	idOnce          bool        // no connection may carry id twice
	body            *body
	repeatedID      bool         // conn had carried the ID already
	givenUp         bool         // conn was closed before anything of the request was written
	connRequestedAt time.Time    // when a connection was requested
	connectNanos    atomic.Int64 // time until it was obtained, in ns
	// onConnected is called when a connection is obtained, before anything is written to it.
	onConnected func()
	interim     reply.Interim
}

// attach returns a context with the trace hooks.
func (t *transportTrace) attach(ctx context.Context) context.Context {
	t.hooks.GetConn = t.getConn
	t.hooks.GotConn = t.gotConn
	t.hooks.GotFirstResponseByte = t.firstByte
	t.hooks.Got1xxResponse = t.interim.Check
	return httptrace.WithClientTrace(ctx, &t.hooks)
}

// getConn runs before the transport chooses a connection. A second call means
// that the transport is resending the request, which could run it twice, for
// example a caller's deposit. The panic stops the transport before it chooses a
// connection.
func (t *transportTrace) getConn(string) {
	if t.connRequests.Add(1) > 1 {
		panic(errResent)
	}
	t.connRequestedAt = time.Now()
}

func (t *transportTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.connectNanos.Store(int64(time.Since(t.connRequestedAt)))
	t.writtenBefore = c.beginRequest()
	if t.carry(c) {
		t.onConnected()
	} else {
		t.giveUp(c)
	}
	t.conn.Store(c)
}

// firstByte runs when a response begins. Bytes that were read before this
// request was written belong to the response to an earlier request, which may be
// another caller's. The transport would take them for the response to this
// request, so the dispatch is cancelled.
func (t *transportTrace) firstByte() {
	c := t.conn.Load()
	if c != nil && c.stale() {
		t.stale.Store(true)
		t.cancel(errStaleConnection)
	}
}

// execution returns, after a failure, whether the request may have run.
func (t *transportTrace) execution() call.Execution {
	c := t.conn.Load()
	if c == nil {
		return call.DidNotRun
	}
	if c.written.Load() == t.writtenBefore {
		return call.DidNotRun
	}
	return call.MayHaveRun
}

// connectTime returns the time until a connection was obtained; 0 if there was none.
func (t *transportTrace) connectTime() time.Duration { return time.Duration(t.connectNanos.Load()) }

// broken reports whether the target ended the connection.
func (t *transportTrace) broken() bool {
	c := t.conn.Load()
	return c != nil && c.broken.Load()
}

// closeConn closes the connection, so that bytes left on it are never taken for the
// response to a later request.
func (t *transportTrace) closeConn() {
	if c := t.conn.Load(); c != nil {
		c.Close()
	}
}
