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

// raw is a target that a test drives byte by byte. It counts what it was sent,
// and so is the witness for what may have run.
type raw struct {
	net.Listener
	conns    atomic.Int64
	bytes    atomic.Int64
	requests atomic.Int64
}

// peer is one connection of a raw target.
type peer struct {
	net.Conn
	br     *bufio.Reader
	target *raw
	name   string // of the request, to repeat on its answer
}

func newRaw(t testing.TB, serve func(p *peer)) *raw {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	r := &raw{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.conns.Add(1)
			p := &peer{Conn: c, target: r}
			p.br = bufio.NewReader(p)
			go func() {
				defer c.Close()
				serve(p)
			}()
		}
	}()
	return r
}

func (r *raw) addr() string {
	return r.Addr().String()
}

func (p *peer) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.target.bytes.Add(int64(n))
	return n, err
}

// request reads one whole request and logs it; nil at the end of the connection.
func (p *peer) request() *http.Request {
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

func (p *peer) say(s string) {
	_, _ = io.WriteString(p.Conn, s)
}

// answer answers a request, by its name if it has one.
func (p *peer) answer(body string) {
	s := answer(body)
	if p.name != "" {
		s = strings.Replace(s, "\r\n", "\r\n"+call.HeaderRequest+": "+p.name+"\r\n", 1)
	}
	p.say(s)
}

// reset ends the connection by RST.
func (p *peer) reset() {
	_ = p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
