package worker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Close stops the worker and closes its connections, like the end of its process.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.l.Close()
	for c := range w.conns {
		c.Close()
	}
}

// Ending is how a worker ends, as its callers see it.
type Ending uint8

// Endings.
const (
	Refusing  Ending = iota // open connections end, and new ones are refused
	Accepting               // the port goes on accepting connections, and closes them
	Resetting               // the port goes on accepting connections, and resets them
	Mute                    // open connections end, and the port accepts new ones that stay silent
	Dark                    // open and new connections stay silent
	Lingering               // open connections end, and for LingerTime new ones get answers to health checks
)

// LingerTime is how long a worker that ends as Lingering accepts connections.
const LingerTime = 500 * time.Millisecond

// End ends the worker.
func (w *Worker) End(how Ending) {
	if how == Refusing {
		w.Close()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended, w.ending = true, how
	if how == Lingering {
		w.fault = func(*http.Request) Fault { return Fault{LoseResponse: true} }
		time.AfterFunc(LingerTime, w.Close)
	}
	if how == Dark {
		return
	}
	for c := range w.conns {
		reset(c)
	}
}

// Resume makes a worker serve again after End, with an ending other than Refusing and Lingering.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = false
	for c := range w.conns {
		reset(c)
	}
}

// silent reports whether the worker has ended and its connections stay silent.
func (w *Worker) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended && (w.ending == Mute || w.ending == Dark)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Restart makes a closed worker listen on its address again, with the same ID.
func (w *Worker) Restart() (err error) {
	defer func() { err = errors.WithMessage(err, "restarting worker "+w.ID) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.l, err = net.Listen("tcp", w.l.Addr().String()); err != nil {
		return err
	}
	w.closed = false
	go w.accept(w.l)
	return nil
}

// crash closes all connections. The caller holds the lock.
func (w *Worker) crash() {
	w.overloadCrashes++
	for c := range w.conns {
		c.Close()
	}
}

func (w *Worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			c.Close()
			return
		}
		if w.ended && w.ending == Accepting {
			w.mu.Unlock()
			c.Close()
			continue
		}
		if w.ended && w.ending == Resetting {
			w.mu.Unlock()
			reset(c)
			continue
		}
		w.conns[c] = true
		w.peakConns = max(w.peakConns, len(w.conns))
		w.mu.Unlock()
		go func() {
			defer func() {
				w.set(func() { delete(w.conns, c) })
				c.Close()
			}()
			w.serve(c)
		}()
	}
}

// conn is a connection with a buffered reader. A run peeks into the reader to detect
// that the caller closed the connection.
type conn struct {
	net.Conn
	br     *bufio.Reader
	worker *Worker
	sent   map[string]string // the latest response to each request ID
}

// Write reports success for data that a silent worker drops.
func (c *conn) Write(p []byte) (int, error) {
	if c.worker.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// drain keeps the connection of a silent worker open until either end closes it.
func (c *conn) drain() { _, _ = io.Copy(io.Discard, c.Conn) }

func (w *Worker) serve(c net.Conn) {
	k := &conn{Conn: c, br: bufio.NewReader(c), worker: w, sent: make(map[string]string)}
	for {
		r, err := http.ReadRequest(k.br)
		if err != nil {
			return
		}
		if w.silent() {
			k.drain()
			return
		}
		w.mu.Lock()
		f := w.fault(r)
		w.mu.Unlock()
		if r.Method == http.MethodGet && r.URL.Path == "/health" {
			if !w.serveHealth(k, f) {
				return
			}
			continue
		}
		open := w.serveRequest(k, r, f)
		if w.silent() {
			k.drain()
			return
		}
		if !open {
			return
		}
	}
}
