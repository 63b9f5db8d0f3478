// Package dial opens TCP connections whose kernel buffers and silences are bounded, and whose
// readers learn of each reset.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config of a dialer. Zero fields take the defaults of net.Dialer.
type Config struct {
	Timeout   time.Duration // for connecting
	KeepAlive net.KeepAliveConfig
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the connection counts as
	// broken.
	UnackedTimeout time.Duration
	// ReadBuffer bounds the bytes that the kernel holds unread, which it doubles for its own data.
	// Without it the buffer of a connection whose bytes aren't read can grow to megabytes.
	ReadBuffer int
}

// Dialer opens connections.
type Dialer struct {
	dialer net.Dialer
}

// New returns a dialer.
func New(cfg Config) *Dialer {
	return &Dialer{net.Dialer{Timeout: cfg.Timeout, KeepAliveConfig: cfg.KeepAlive, Control: cfg.control}}
}

// DialContext opens a connection, which is a *Conn.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	k, err := NewConn(c)
	if err != nil {
		c.Close()
		return nil, err
	}
	return k, nil
}

// control sets the options of a socket before it connects.
func (cfg Config) control(_, _ string, c syscall.RawConn) error {
	var err error
	set := func(fd uintptr) { err = cfg.set(int(fd)) }
	if controlErr := c.Control(set); controlErr != nil {
		return controlErr
	}
	return err
}

func (cfg Config) set(fd int) (err error) {
	if cfg.UnackedTimeout > 0 {
		err = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UnackedTimeout.Milliseconds()))
	}
	if err == nil && cfg.ReadBuffer > 0 {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, cfg.ReadBuffer)
	}
	return err
}
