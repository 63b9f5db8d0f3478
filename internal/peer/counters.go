package peer

import (
	"io"
	"net"
	"net/http"
	"path"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Method is a method of the peer protocol.
type Method uint8

// Methods of the peer protocol. Other stands for requests to unknown paths.
const (
	Gossip Method = iota
	Ping
	Reach
	Settings
	Other
	methodCount
)

var methodNames = [methodCount]string{"Gossip", "Ping", "Reach", "Settings", "Other"}

func (m Method) String() string { return methodNames[m] }

func methodOf(r *http.Request) Method {
	name := path.Base(r.URL.Path)
	for m, n := range methodNames {
		if n == name {
			return Method(m)
		}
	}
	return Other
}

// Counters counts the traffic with peers since the start of the process, as client
// and as server. The counters of a method are calls and bytes of message bodies;
// ConnIn and ConnOut are all bytes of the connections, HTTP headers included.
type Counters struct {
	calls [methodCount]atomic.Int64
	in    [methodCount]atomic.Int64
	out   [methodCount]atomic.Int64

	ConnIn  atomic.Int64
	ConnOut atomic.Int64
}

// Count is the traffic of one method.
type Count struct {
	Method Method
	Calls  int64 // as client and as server
	In     int64 // bytes of message bodies received
	Out    int64 // bytes of message bodies sent
}

// Counts returns the traffic of every method.
func (c *Counters) Counts() []Count {
	var all []Count
	for m := range methodCount {
		all = append(all, Count{Method: m, Calls: c.calls[m].Load(), In: c.in[m].Load(), Out: c.out[m].Load()})
	}
	return all
}

// Listener wraps l to count the bytes of the connections that it accepts.
func (c *Counters) Listener(l net.Listener) net.Listener { return listener{l, c} }

type listener struct {
	net.Listener
	counters *Counters
}

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.counters}, nil
}

type countedConn struct {
	net.Conn
	counters *Counters
}

// SyscallConn gives the server access to the socket.
func (c countedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return sc.SyscallConn()
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.ConnIn.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.ConnOut.Add(int64(n))
	return n, err
}

// countedBody counts the bytes read from a body, and fails reads past its size limit.
type countedBody struct {
	io.ReadCloser
	total     *atomic.Int64
	remaining int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.total.Add(int64(n))
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n, errTooLong
	}
	return n, err
}

type countedWriter struct {
	http.ResponseWriter
	total *atomic.Int64
}

func (w countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.total.Add(int64(n))
	return n, err
}
