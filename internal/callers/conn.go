package callers

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// readerState says what the reading goroutine of a connection does.
type readerState int

const (
	readerBusy     readerState = iota // reads a request, or waits for a handler to read a body
	readerIdle                        // waits for the first byte of a request
	readerWatching                    // doesn't read, but notices the caller's close
	readerHead                        // reads the head of a request
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	rwc    net.Conn
	lease  Lease
	raw    syscall.RawConn // nil if rwc has no descriptor
	ctx    context.Context
	cancel context.CancelFunc
	remote string

	in       input         // used by the reading goroutine or by the handler that reads a body
	br       *bufio.Reader // reads from in; nil while it is empty and no request is being read
	lastPost bool          // the latest request was a POST
	head     headSize      // charged for the head that is being read

	maxRequests int

	// Used by the response whose turn it is.
	writeDeadline time.Time
	written       int  // bytes of it
	sendWide      bool // the send buffer has been widened for it

	mu      sync.Mutex
	changed sync.Cond // on mu; broadcast on each change that a wait may depend on
	active  []*response
	waiting int // bytes of responses that wait for earlier ones
	reader  readerState
	timed   bool // a read deadline is set; owned by the reading goroutine while it is busy
	arrives bool // bytes of a request have been read that isn't active yet
	closing bool // no further request is read
	dropped bool // a response closes the connection: no further handler is started
	gone    bool // the caller has closed its side
	broken  bool // nothing more can be written
	linger  bool // the caller may still be sending when the connection is closed
	wide    bool // the receive buffer has been widened
}

func newConn(s *Server, rwc net.Conn) *conn {
	c := &conn{server: s, rwc: rwc, remote: rwc.RemoteAddr().String(), maxRequests: 1}
	if f := s.cfg.Pipelines; f == nil || f() {
		c.maxRequests = s.cfg.MaxRequests
	}
	c.changed.L = &c.mu
	c.in.conn = c
	if sc, ok := rwc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	ctx := context.WithValue(context.Background(), http.LocalAddrContextKey, rwc.LocalAddr())
	if f := s.cfg.ConnContext; f != nil {
		ctx = f(ctx, rwc)
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// serve reads requests and starts their handlers until the connection ends.
func (c *conn) serve() {
	defer c.cancel()
	for c.next() {
	}
	c.end()
}

// next reads a request and starts its handler. It returns false if no further request is to
// be read.
func (c *conn) next() bool {
	if !c.awaitByte() || !c.awaitRoom() {
		return false
	}
	r, err := c.readRequest()
	if err != nil {
		c.freeHead()
		c.reject(err)
		return false
	}
	q := newResponse(c, r)
	if !c.start(q) {
		return false
	}
	if q.body != nil {
		c.awaitBody(q)
	}
	return true
}

// awaitRoom waits until the bounds allow another request.
func (c *conn) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.await(func() bool { return c.hasRoom() || c.stopped() })
	return !c.stopped()
}

// hasRoom reports whether the bounds allow another request. The caller must hold c.mu.
func (c *conn) hasRoom() bool {
	cfg := &c.server.cfg
	return len(c.active) == 0 || len(c.active) < c.maxRequests && c.waiting <= cfg.MaxWaitingBytes
}

// stopped reports whether no further handler may be started. The caller must hold c.mu.
func (c *conn) stopped() bool { return c.dropped || c.gone || c.broken }

// admits reports whether a request may be served now. The caller must hold c.mu.
func (c *conn) admits(q *response) bool {
	if len(c.active) == 0 {
		return true
	}
	return q.concurrent && c.active[0].concurrent && c.hasRoom()
}

// start runs the handler of a request once the request may be served. It returns false if
// the request was dropped instead.
func (c *conn) start(q *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.await(func() bool { return c.admits(q) || c.stopped() })
	if c.stopped() || !c.lease.Begin(q.body == nil) {
		return false
	}
	q.arrived = q.body == nil
	if q.body != nil {
		c.setReadTimeout(c.server.cfg.ReadTimeout)
	}
	if q.wantsClose {
		c.closing = true
	}
	c.active = append(c.active, q)
	c.arrives = false
	go q.run()
	return true
}

// awaitBody waits until a handler has read the body of its request, or ended.
func (c *conn) awaitBody(q *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !q.bodyRead && !q.finished && !c.broken {
		c.changed.Wait()
	}
}

// finish removes a request whose handler has ended.
func (c *conn) finish(q *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.finished = true
	c.lease.End(q.arrived, q.served(), q.head.bytes, q.head.lines)
	if i := slices.Index(c.active, q); i >= 0 {
		if i == 0 {
			c.endSend()
		}
		c.active = slices.Delete(c.active, i, i+1)
	}
	c.changed.Broadcast()
	switch c.reader {
	case readerWatching:
		c.interrupt()
	case readerIdle:
		if len(c.active) == 0 && !c.closing && !c.server.down.Load() {
			c.setReadTimeout(c.idleTimeout())
		}
	}
}

// dropAfter ends the reading of requests and drops those whose handlers haven't started,
// because q closes the connection.
func (c *conn) dropAfter(q *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped {
		return
	}
	c.dropped, c.closing = true, true
	c.linger = c.linger || !q.wantsClose
	c.changed.Broadcast()
	c.interrupt()
}

// setLinger makes the connection wait for the caller's close at its end.
func (c *conn) setLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// isLast reports whether a response is the last one of its connection. The response must be
// about to write its head.
func (c *conn) isLast(q *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q != c.active[len(c.active)-1] {
		return false
	}
	read := (q.body == nil || q.bodyRead) && !c.arrives // all that has arrived belongs to q and earlier ones
	if !c.closing && (q.leaving || c.server.down.Load()) && read && !c.hasUnread() && !c.readable() {
		c.closing, c.linger = true, true // the caller may send further requests until it reads this
		c.interrupt()
	}
	return c.closing
}

// leave handles the caller's close: all requests are cancelled, and only a response whose
// turn has come may still be written.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveLocked()
}

func (c *conn) leaveLocked() {
	if c.gone {
		return
	}
	c.gone, c.closing = true, true
	if len(c.active) > 0 {
		c.cancelAfter(c.active[0])
	}
	c.cancel()
	c.changed.Broadcast()
	c.interrupt()
}

// cancelAfter cancels the requests behind q, whose responses will not be sent.
func (c *conn) cancelAfter(q *response) {
	i := slices.Index(c.active, q)
	for _, later := range c.active[i+1:] {
		later.dead = true
		if later.cancel != nil { // nil for the reply to a malformed request
			later.cancel()
		}
	}
}

// fail closes a connection on which nothing more can be written, and cancels its requests.
func (c *conn) fail() {
	c.breakOff()
	c.rwc.Close()
}

// breakOff ends the responses of a connection where they are. The reading goroutine closes
// the connection.
func (c *conn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken, c.closing, c.linger = true, true, true
	c.cancel()
	c.closeWrite()
	c.changed.Broadcast()
	c.interrupt()
}

// closeWrite ends the outgoing stream if the connection can do so on its own.
func (c *conn) closeWrite() {
	if t, ok := c.rwc.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
}

// lingerTimeout bounds the wait for the caller's close. Closing while unread bytes arrive
// resets the connection, and the reset may destroy responses that the caller hasn't read.
const lingerTimeout = 500 * time.Millisecond

// end waits for the handlers and closes the connection.
func (c *conn) end() {
	c.mu.Lock()
	c.closing = true
	c.await(func() bool { return len(c.active) == 0 || c.broken })
	linger := !c.gone && (c.linger || c.hasUnread() || c.readable())
	c.mu.Unlock()
	if linger {
		c.closeWrite()
		c.discard(time.Now().Add(lingerTimeout))
	}
	c.rwc.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.active) > 0 {
		c.changed.Wait()
	}
}

// discard reads and drops what the caller sends, up to a deadline.
func (c *conn) discard(deadline time.Time) {
	_ = c.rwc.SetReadDeadline(deadline)
	buf := discardBuffers.Get().(*[discardSize]byte)
	defer discardBuffers.Put(buf)
	for {
		n, err := c.rwc.Read(buf[:])
		if err != nil || !c.pause(min(c.lease.Read(n, 0), time.Until(deadline))) {
			return
		}
	}
}

const discardSize = 16 << 10

var discardBuffers = sync.Pool{New: func() any { return new([discardSize]byte) }}

// Write writes to the caller. It fails, and the connection is closed, if a write makes no
// progress for the write timeout.
func (c *conn) Write(p []byte) (n int, err error) {
	c.widenSend(len(p))
	for {
		limit := c.server.writeTimeout
		// Moving the deadline for every write would cost more than the write of a small
		// response needs.
		if now := time.Now(); c.writeDeadline.Sub(now) < limit-limit/8 {
			c.writeDeadline = now.Add(limit)
			_ = c.rwc.SetWriteDeadline(c.writeDeadline)
		}
		c.lease.Write()
		m, err := c.rwc.Write(p[n:])
		c.lease.Written(m)
		n += m
		if err == nil {
			return n, nil
		}
		if m == 0 || !isTimeout(err) {
			c.fail()
			return n, err
		}
	}
}
