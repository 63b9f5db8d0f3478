package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// rawTarget is a target for which a test writes each byte of the responses. It
// counts what it receives, to verify which requests may have run.
type rawTarget struct {
	net.Listener
	conns    atomic.Int64
	bytes    atomic.Int64
	requests atomic.Int64
}

// targetConn is one connection of a rawTarget.
type targetConn struct {
	net.Conn
	br     *bufio.Reader
	target *rawTarget
	echoID string // request id to echo in responses; empty to omit it
}

func newRaw(t testing.TB, serve func(p *targetConn)) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	r := &rawTarget{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.conns.Add(1)
			p := &targetConn{Conn: c, target: r}
			p.br = bufio.NewReader(p)
			go func() {
				defer c.Close()
				serve(p)
			}()
		}
	}()
	return r
}

func (r *rawTarget) addr() string {
	return r.Addr().String()
}

func (p *targetConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.target.bytes.Add(int64(n))
	return n, err
}

// request reads and counts one complete request. It returns nil if the connection
// ends first.
func (p *targetConn) request() *http.Request {
	r, err := http.ReadRequest(p.br)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	p.target.requests.Add(1)
	return r
}

// write sends s and ignores errors: the connection may be closed already.
func (p *targetConn) write(s string) {
	_, _ = io.WriteString(p.Conn, s)
}

// respond writes a response, with the request id if one is set.
func (p *targetConn) respond(body string) {
	s := okResponse(body)
	if p.echoID != "" {
		s = strings.Replace(s, "\r\n", "\r\n"+call.HeaderRequest+": "+p.echoID+"\r\n", 1)
	}
	p.write(s)
}

// reset closes the connection with a TCP RST.
func (p *targetConn) reset() {
	_ = p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
}

// ok is a complete response.
const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
