package dial

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Conn is a TCP connection whose reader learns of a reset even if a write was told of it. The
// kernel reports the error of a connection once; a later read finds the bytes that had arrived and
// then an end like that of a connection which the peer closed.
//
// A system call and the record of its error are one step under Lock, so that a read that finds the
// end finds the error too.
type Conn struct {
	net.Conn
	// OnRead is called with the number of bytes of each read while the connection is locked; nil
	// calls nothing. It must be set before the first read.
	OnRead func(n int)

	raw   syscall.RawConn
	read  op
	write op

	mu     sync.Mutex
	failed syscall.Errno // the first error of the connection; 0 if none
}

// op is a read or a write.
type op struct {
	mu   sync.Mutex // held by the caller of Read or Write
	name string
	wait func(func(fd uintptr) bool) error // calls call until it returns true, each time when the socket is ready
	call func(fd uintptr) bool
	p    []byte
	n    int
	err  error
}

// NewConn returns a Conn for a connection with a socket, which may be a Conn already.
func NewConn(c net.Conn) (k *Conn, err error) {
	if k, ok := c.(*Conn); ok {
		return k, nil
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("found %T, expected a connection with a file descriptor", c)
	}
	k = &Conn{Conn: c}
	if k.raw, err = sc.SyscallConn(); err != nil {
		return nil, err
	}
	k.read.name, k.read.wait, k.read.call = "read", k.raw.Read, k.readFD
	k.write.name, k.write.wait, k.write.call = "write", k.raw.Write, k.writeFD
	return k, nil
}

// SyscallConn returns the raw connection. What reads or writes it, or takes its error, must hold the
// lock, and takes the error from later reads.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Lock keeps reads and writes from the socket until Unlock.
func (c *Conn) Lock() { c.mu.Lock() }

// Unlock ends Lock.
func (c *Conn) Unlock() { c.mu.Unlock() }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.do(&c.read, p)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	return c.do(&c.write, p)
}

// do performs a read or a write.
func (c *Conn) do(o *op, p []byte) (n int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.p, o.n, o.err = p, 0, nil
	waitErr := o.wait(o.call)
	n, err = o.n, o.err
	o.p, o.err = nil, nil
	if err == nil {
		err = unwrapRaw(waitErr)
	}
	if err == nil || err == io.EOF {
		return n, err
	}
	if errno, ok := err.(syscall.Errno); ok {
		err = os.NewSyscallError(o.name, errno)
	}
	return n, &net.OpError{Op: o.name, Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// unwrapRaw returns the cause of an error of a raw connection, such as that of a deadline.
func unwrapRaw(err error) error {
	var e *net.OpError
	if errors.As(err, &e) {
		return e.Err
	}
	return err
}

// readFD reads without blocking, and returns false if there is nothing to read yet.
func (c *Conn) readFD(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := retry(syscall.Read, fd, c.read.p)
	switch {
	case err == syscall.EAGAIN:
		return false
	case err != nil:
		c.record(err)
		c.read.err = err
	case n > 0:
		c.read.n = n
		if c.OnRead != nil {
			c.OnRead(n)
		}
	case c.failed != 0:
		c.read.err = c.failed
	default:
		c.read.err = io.EOF
	}
	return true
}

// writeFD writes without blocking, and returns false if bytes are left.
func (c *Conn) writeFD(fd uintptr) bool {
	for o := &c.write; o.n < len(o.p); {
		n, err := c.writeSome(fd, o.p[o.n:])
		o.n += n
		switch {
		case err == syscall.EAGAIN:
			return false
		case err != nil:
			o.err = err
			return true
		case n == 0:
			o.err = io.ErrUnexpectedEOF
			return true
		}
	}
	return true
}

// writeSome makes one write and records its error.
func (c *Conn) writeSome(fd uintptr, p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = retry(syscall.Write, fd, p)
	c.record(err)
	return n, err
}

// record records the first error of the connection. EPIPE isn't one: it follows an error that was
// reported before, or the peer's end of its side, up to which all was read.
func (c *Conn) record(err error) {
	errno, ok := err.(syscall.Errno)
	if ok && errno != syscall.EAGAIN && errno != syscall.EPIPE && c.failed == 0 {
		c.failed = errno
	}
}

// retry makes a system call again while it is interrupted.
func retry(call func(fd int, p []byte) (int, error), fd uintptr, p []byte) (n int, err error) {
	for {
		n, err = call(int(fd), p)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}
