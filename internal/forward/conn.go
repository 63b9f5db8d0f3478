package forward

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/dial"
)

// conn counts the bytes of one connection. The counts show whether any part of
// a failed request left the process, and whether a response was received before
// its request was written.
//
// Reading bytes from the kernel and counting them is one step under mu. Between
// two separate steps, bytes of an earlier response would be neither in the kernel
// nor counted, and would be taken for the response to the next request.
type conn struct {
	*dial.Conn
	rawConn   syscall.RawConn
	written   atomic.Int64 // bytes that the kernel accepted, and those of a write in progress
	broken    atomic.Bool  // the target ended the connection
	received  atomic.Int64 // bytes read since the start or the first write of the current request
	unwritten atomic.Bool  // nothing of the current request was written yet
	ids       carriedIDs   // used by the dispatch that has the connection

	mu       sync.Locker // held for each read and for the peek before a write
	peekFunc func(fd uintptr)
	empty    bool // result of peekFunc: open, with nothing to read
}

func newConn(c net.Conn) (k *conn, err error) {
	defer func() { err = errors.WithMessage(err, "connection to a target") }()
	d, err := dial.NewConn(c)
	if err != nil {
		return nil, err
	}
	k = &conn{Conn: d, mu: d}
	k.peekFunc = k.peekFD
	d.OnRead = func(n int) { k.received.Add(int64(n)) }
	k.rawConn, err = d.SyscallConn()
	return k, err
}

// peekFD sets empty if the connection is open and has no bytes to read.
func (c *conn) peekFD(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.empty = err == syscall.EAGAIN
}

func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.recordError(err)
	return n, err
}

// Write counts the bytes before the system call and corrects the count after it,
// so that a write in progress is never taken for no write.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.unwritten.Load() && !c.startWrite() {
		return 0, errStaleConnection
	}
	c.written.Add(int64(len(p)))
	n, err = c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	c.recordError(err)
	return n, err
}

// ReadFrom sends a request body. Without it, the transport's io.Copy would
// allocate a buffer for each body.
func (c *conn) ReadFrom(r io.Reader) (n int64, err error) {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(writerOnly{c}, r, buf[:])
}

// writerOnly hides ReadFrom, which io.CopyBuffer would otherwise call recursively.
type writerOnly struct {
	io.Writer
}

// recordError marks the connection as broken unless this process closed it.
func (c *conn) recordError(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken.Store(true)
	}
}

// beginRequest starts a request on the connection and returns the number of bytes
// written before.
func (c *conn) beginRequest() int64 {
	c.received.Store(0)
	c.unwritten.Store(true)
	return c.written.Load()
}

// startWrite runs just before the first write of a request. It reports whether
// the connection can be used: a reused one must be open with nothing to read.
// The transport detects a close or unread bytes only when its read loop runs.
// Until then, a request written to a closed connection would be lost, and its
// caller would receive the outcome unknown although it never ran. A request
// written to a connection with unread bytes would receive the response to an
// earlier request. startWrite writes nothing, so a request that fails here did
// not run.
func (c *conn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written.Load() > 0 && (c.received.Load() > 0 || c.rawConn.Control(c.peekFunc) != nil || !c.empty) {
		return false
	}
	c.received.Store(0)
	c.unwritten.Store(false)
	return true
}

// stale reports whether a response that begins now was read before the request
// was written, and so belongs to an earlier request.
func (c *conn) stale() bool {
	return c.unwritten.Load() || c.received.Load() == 0
}
