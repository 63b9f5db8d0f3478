package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mode is what a proxy does to the bytes that come.
type mode uint8

const (
	pass    mode = iota
	swallow      // both ways, connections stay open
	deaf         // answers are swallowed
	refuse       // connections are reset, new ones as well
)

// proxy passes bytes between gateways and one stand-in.
type proxy struct {
	l  net.Listener
	to string

	mu    sync.Mutex // guards what follows
	mode  mode
	delay time.Duration // of each piece of an answer
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &proxy{l: l, to: to, conns: make(map[net.Conn]bool)}
	t.Cleanup(p.close)
	go p.accept()
	return p
}

// close ends all connections; new ones find no listener.
func (p *proxy) close() {
	p.l.Close()
	p.set(refuse, 0)
}

func (p *proxy) address() string { return p.l.Addr().String() }

// set sets what the proxy does. Connections are reset where it refuses.
func (p *proxy) set(m mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
	if m != refuse {
		return
	}
	for c := range p.conns {
		p.reset(c)
	}
}

func (p *proxy) reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) state() (mode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *proxy) accept() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		if m, _ := p.state(); m == refuse {
			p.reset(in)
			continue
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

// copy passes one way of a connection on, until either end is closed.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		to.Close()
		from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		m, delay := p.state()
		if m == swallow || m == deaf && answers {
			continue
		}
		if answers && delay > 0 {
			time.Sleep(delay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
