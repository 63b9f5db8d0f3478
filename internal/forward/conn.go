package forward

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// conn counts the bytes of one connection, so that a failed dispatch can tell
// whether any of its request left the process, and an answer whether it was
// there before its request.
//
// Reads go through the raw connection, so that taking bytes from the kernel and
// counting them is one step under mu. Between the two, bytes of an earlier
// answer would be neither left in the kernel nor counted, and pass for the
// answer to the next request.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	sent   atomic.Int64 // bytes that the kernel took or is being offered
	broken atomic.Bool  // the target ended the connection
	got    atomic.Int64 // bytes read since the first write of the current request
	idle   atomic.Bool  // the current request has written nothing yet

	mu     sync.Mutex // held for each read and for the peek before a write
	peek   func(fd uintptr)
	silent bool // result of peek
	pull   func(fd uintptr) bool
	pulled pulled
}

// pulled is the argument and the result of one read.
type pulled struct {
	p   []byte
	n   int
	err error
}

func newConn(c net.Conn) (k *conn, err error) {
	defer func() { err = errors.WithMessage(err, "connection to a target") }()
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("found %T, expected a socket", c)
	}
	k = &conn{Conn: c}
	k.peek = k.peekFD
	k.pull = k.pullFD
	k.raw, err = sc.SyscallConn()
	return k, err
}

func (c *conn) peekFD(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.silent = err == syscall.EAGAIN
}

// pullFD reads without waiting, and reports false when there is nothing yet.
func (c *conn) pullFD(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.pulled
	r.n, r.err = syscall.Read(int(fd), r.p)
	for r.err == syscall.EINTR {
		r.n, r.err = syscall.Read(int(fd), r.p)
	}
	r.n = max(r.n, 0)
	if r.err == syscall.EAGAIN {
		return false
	}
	c.got.Add(int64(r.n))
	return true
}

// Read has one caller at a time, the transport's reader.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.pulled = pulled{p: p}
	err = c.raw.Read(c.pull)
	n = c.pulled.n
	switch {
	case err != nil:
	case c.pulled.err != nil:
		err = os.NewSyscallError("read", c.pulled.err)
	case n == 0:
		err = io.EOF
	}
	c.pulled = pulled{}
	c.note(err)
	return n, err
}

// Write counts the bytes before the call as well, so that a write in progress
// is never taken for none.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.idle.Load() && !c.quiet() {
		return 0, errStale
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

// quiet begins the writing of a request, and reports whether a reused connection is still open with nothing to read,
// just before a request is written to it. The transport learns of an end or of
// left bytes only when its reader gets to run. Until then a request would be
// lost in a connection that the target has closed, and its caller told unknown
// of what never ran; or it would be answered with an earlier request's bytes.
// Nothing is written here, so what fails here surely did not run.
func (c *conn) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent.Load() > 0 && (c.got.Load() > 0 || c.raw.Control(c.peek) != nil || !c.silent) {
		return false
	}
	c.got.Store(0)
	c.idle.Store(false)
	return true
}

// stale reports whether an answer that begins now was read before the request
// was written: it then belongs to an earlier request.
func (c *conn) stale() bool {
	return c.idle.Load() || c.got.Load() == 0
}
