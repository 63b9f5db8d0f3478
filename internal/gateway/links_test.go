package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// linkMode is what happens to the connections of an entry to its targets.
type linkMode uint8

const (
	linksUp     linkMode = iota
	linksHang            // open connections carry nothing, and new ones get no answer
	linksReset           // open connections are reset, and new ones refused
	linksRefuse          // open connections live on, and new ones are refused
)

// targetLinks passes the connections of one entry to its targets through sockets that can be cut.
type targetLinks struct {
	mu     sync.Mutex
	mode   linkMode
	conns  map[*net.TCPConn]string // address of the target of each
	spared string                  // address of a target whose links stay up
}

// set changes what happens to the connections.
func (l *targetLinks) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m != linksReset {
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
func (l *targetLinks) current(address string) linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == l.spared {
		return linksUp
	}
	return l.mode
}

// dial opens a connection to a target.
func (l *targetLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.current(address) {
	case linksHang:
		<-ctx.Done()
		return nil, ctx.Err()
	case linksReset, linksRefuse:
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
	go l.copy(address, target.(*net.TCPConn), far)
	go l.copy(address, far, target.(*net.TCPConn))
	return near, nil
}

// copy copies what one end sends to the other, unless the links hang.
func (l *targetLinks) copy(address string, to, from *net.TCPConn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if l.current(address) != linksHang {
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
