// Package link is a fake of the network between an entry and its targets. It passes connections
// through sockets that can be cut.
package link

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// Mode is what happens to the connections of an entry to its targets.
type Mode uint8

// Modes of links.
const (
	Up     Mode = iota
	Hang        // open connections carry nothing, and new ones get no answer
	Reset       // open connections are reset, and new ones refused
	Refuse      // open connections live on, and new ones are refused
)

// Links are the connections of one entry to its targets. It is safe for concurrent use.
type Links struct {
	mu     sync.Mutex
	mode   Mode
	conns  map[*net.TCPConn]string // address of the target of each
	spared string
}

// New returns links that are up.
func New() *Links { return &Links{conns: make(map[*net.TCPConn]string)} }

// Spare keeps the links to the target at an address up.
func (l *Links) Spare(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spared = address
}

// Set changes what happens to the connections.
func (l *Links) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m != Reset {
		return
	}
	for c, address := range l.conns {
		if address != l.spared {
			_ = c.SetLinger(0)
			c.Close()
		}
	}
}

// current returns what happens to the connections to a target.
func (l *Links) current(address string) Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == l.spared {
		return Up
	}
	return l.mode
}

// Dial opens a connection to a target.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.current(address) {
	case Hang:
		<-ctx.Done()
		return nil, ctx.Err()
	case Reset, Refuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	target, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	near, far, err := socketPair()
	if err != nil {
		target.Close()
		return nil, err
	}
	l.mu.Lock()
	l.conns[far] = address
	l.mu.Unlock()
	go func() {
		defer l.remove(far)
		l.copy(address, target.(*net.TCPConn), far)
	}()
	go l.copy(address, far, target.(*net.TCPConn))
	return near, nil
}

// remove forgets a connection that has ended.
func (l *Links) remove(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// copy copies what one end sends to the other, unless the links hang.
func (l *Links) copy(address string, to, from *net.TCPConn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if l.current(address) != Hang {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// socketPair returns the two ends of a TCP connection.
func socketPair() (near, far *net.TCPConn, err error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, nil, err
	}
	defer listener.Close()
	if near, err = net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr)); err != nil {
		return nil, nil, err
	}
	if far, err = listener.AcceptTCP(); err != nil {
		near.Close()
	}
	return near, far, err
}
