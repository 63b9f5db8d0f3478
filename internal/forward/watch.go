package forward

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// watch follows one dispatch through the transport.
type watch struct {
	trace   httptrace.ClientTrace
	cancel  context.CancelCauseFunc
	asked   atomic.Int32
	conn    atomic.Pointer[conn]
	start   int64
	stale   atomic.Bool
	askedAt time.Time    // for a connection
	took    atomic.Int64 // how long that took, in ns
	// connected is called when a connection is had, before anything is written to it.
	connected func()
}

func (w *watch) attach(ctx context.Context) context.Context {
	w.trace.GetConn = w.getConn
	w.trace.GotConn = w.gotConn
	w.trace.GotFirstResponseByte = w.firstByte
	return httptrace.WithClientTrace(ctx, &w.trace)
}

// getConn runs before the transport chooses a connection. A second call means
// that the transport sends the request again: a caller would see its deposit
// taken twice. The panic stops it before a connection is chosen.
func (w *watch) getConn(string) {
	if w.asked.Add(1) > 1 {
		panic(errResent)
	}
	w.askedAt = time.Now()
}

func (w *watch) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	w.took.Store(int64(time.Since(w.askedAt)))
	w.start = c.begin()
	w.connected()
	w.conn.Store(c)
}

// firstByte runs when an answer begins. Bytes that were read before this
// request was written answer an earlier one: its caller's answer would reach
// another caller. The transport takes them for the answer, so it is stopped.
func (w *watch) firstByte() {
	c := w.conn.Load()
	if c != nil && c.stale() {
		w.stale.Store(true)
		w.cancel(errStale)
	}
}

// ran tells after a failure whether the request may have run.
func (w *watch) ran() call.Execution {
	c := w.conn.Load()
	if c == nil {
		return call.DidNotRun
	}
	if c.sent.Load() == w.start {
		return call.DidNotRun
	}
	return call.MayHaveRun
}

// connect is how long a connection took; 0 where none was had.
func (w *watch) connect() time.Duration { return time.Duration(w.took.Load()) }

// broken reports whether the target ended the connection.
func (w *watch) broken() bool {
	c := w.conn.Load()
	return c != nil && c.broken.Load()
}

// drop closes the connection, so that nothing left on it is read as an answer
// to a later request.
func (w *watch) drop() {
	if c := w.conn.Load(); c != nil {
		c.Close()
	}
}
