package forward

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// conn counts the bytes of one connection, so that a failed dispatch can tell
// whether any of its request left the process.
type conn struct {
	net.Conn
	sent   atomic.Int64 // bytes that the kernel took or is being offered
	got    atomic.Int64 // bytes read since the first write of the current request
	idle   atomic.Bool  // the current request has written nothing yet
	broken atomic.Bool  // the target ended the connection
	raw    syscall.RawConn
	peek   func(fd uintptr) // sets silent
	silent bool             // nothing to read at the last peek
}

func newConn(c net.Conn) (k *conn, err error) {
	k = &conn{Conn: c}
	if sc, ok := c.(syscall.Conn); ok {
		k.raw, err = sc.SyscallConn()
	}
	var b [1]byte
	k.peek = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		k.silent = err == syscall.EAGAIN
	}
	return k, errors.WithMessage(err, "connection to a target")
}

// Write counts the bytes before the call as well, so that a write in progress
// is never taken for none.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.idle.Load() {
		if !c.quiet() {
			return 0, errStale
		}
		c.got.Store(0)
		c.idle.Store(false)
	}
	c.sent.Add(int64(len(p)))
	n, err = c.Conn.Write(p)
	c.sent.Add(int64(n - len(p)))
	c.note(err)
	return n, err
}

// ReadFrom sends a request body. Without it the transport's io.Copy would take
// a new buffer for each.
func (c *conn) ReadFrom(r io.Reader) (n int64, err error) {
	buf := chunks.Get().(*[chunk]byte)
	defer chunks.Put(buf)
	return io.CopyBuffer(writer{c}, r, buf[:])
}

// writer hides ReadFrom, which io.CopyBuffer would call again.
type writer struct {
	io.Writer
}

func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.got.Add(int64(n))
	c.note(err)
	return n, err
}

func (c *conn) note(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken.Store(true)
	}
}

// begin starts a request on the connection and returns the bytes sent before.
func (c *conn) begin() int64 {
	c.got.Store(0)
	c.idle.Store(true)
	return c.sent.Load()
}

// quiet reports whether a reused connection is still open with nothing to read,
// just before a request is written to it. The transport learns of an end or of
// left bytes only when its reader gets to run. Until then a request would be
// lost in a connection that the target has closed, and its caller told unknown
// of what never ran; or it would be answered with an earlier request's bytes.
// Nothing is written here, so what fails here surely did not run.
func (c *conn) quiet() bool {
	if c.sent.Load() == 0 {
		return true
	}
	if c.got.Load() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	return c.raw.Control(c.peek) == nil && c.silent
}

// stale reports whether an answer that begins now was read before the request
// was written: it then belongs to an earlier request.
func (c *conn) stale() bool {
	return c.idle.Load() || c.got.Load() == 0
}
