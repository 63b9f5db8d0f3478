package worker

import (
	"bufio"
	"net"
	"net/http"

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
	br *bufio.Reader
}

func (w *Worker) serve(c net.Conn) {
	k := &conn{c, bufio.NewReader(c)}
	for {
		r, err := http.ReadRequest(k.br)
		if err != nil {
			return
		}
		w.mu.Lock()
		f := w.fault(r)
		w.mu.Unlock()
		if r.Method == http.MethodGet && r.URL.Path == "/health" {
			w.serveHealth(k)
			continue
		}
		if !w.serveRequest(k, r, f) {
			return
		}
	}
}
