package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// proxyMode is how a proxy treats the data it receives.
type proxyMode uint8

const (
	modePass    proxyMode = iota
	modeDropAll           // drops data in both directions and keeps connections open
	modeDropResponses
	modeReset // resets open and new connections
	modeClose // closes open and new connections
)

// proxy forwards connections from gateways to one fake.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex // guards the fields below
	backend string
	mode    proxyMode
	delay   time.Duration // before each write of response data
	conns   map[net.Conn]bool
}

func newProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &proxy{listener: l, backend: to, conns: make(map[net.Conn]bool)}
	t.Cleanup(p.close)
	go p.accept()
	return p
}

// close stops the listener and resets all connections.
func (p *proxy) close() {
	p.listener.Close()
	p.setMode(modeReset, 0)
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setBackend sets the address to which new connections are forwarded.
func (p *proxy) setBackend(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = address
}

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.reset(c)
	}
}

// setMode sets the mode and the delay of responses. modeReset and modeClose end all open connections.
func (p *proxy) setMode(m proxyMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
	for c := range p.conns {
		switch m {
		case modeReset:
			p.reset(c)
		case modeClose:
			c.Close()
		}
	}
}

// reset closes a connection with a TCP reset.
func (p *proxy) reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) state() (proxyMode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *proxy) currentBackend() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backend
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		switch m, _ := p.state(); m {
		case modeReset:
			p.reset(in)
			continue
		case modeClose:
			in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.currentBackend())
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

// copy forwards one direction of a connection until either end is closed.
func (p *proxy) copy(to, from net.Conn, responses bool) {
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
		if m == modeDropAll || m == modeDropResponses && responses {
			continue
		}
		if responses && delay > 0 {
			time.Sleep(delay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
