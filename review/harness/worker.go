package harness

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Worker is a sound worker. It reads a request, waits for a slot, works and answers with its
// signature. It drops a request whose connection closes.
type Worker struct {
	ID, Address string
	Slots       int
	// Work returns how long a request takes.
	Work func(*http.Request) time.Duration
	// BeforeBody is called before a request body is read; nil does nothing.
	BeforeBody func(*http.Request)

	record           *Record
	slots            chan struct{}
	running, waiting atomic.Int64
	mu               sync.Mutex
	started          map[string]bool // requests that it has begun to work on, by ID
}

// startWorker starts a worker. readBuffer is the size of its sockets' receive buffers; 0 leaves it
// to the system.
func startWorker(id, address string, readBuffer int, record *Record) (*Worker, error) {
	w := &Worker{ID: id, Address: address, Slots: 2, record: record, started: make(map[string]bool)}
	w.slots = make(chan struct{}, w.Slots)
	w.Work = func(*http.Request) time.Duration { return 60 * time.Millisecond }
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if readBuffer == 0 {
			return nil
		}
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, w) }()
	return w, nil
}

// Started reports whether the worker has begun to work on a request.
func (w *Worker) Started(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started[id]
}

func (w *Worker) noteStarted(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started[id] = true
}

func (w *Worker) load() string {
	return fmt.Sprintf("%d,%d,%d,100", w.running.Load(), w.waiting.Load(), w.Slots)
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Plumpitch-Server-Load", w.load())
	if r.URL.Path == "/health" {
		h.Set("Plumpitch-Instance-Id", w.ID)
		return
	}
	id := r.Header.Get("Plumpitch-Request-Id")
	h.Set("Plumpitch-Request-Id", id)
	if t := r.Header.Get("Plumpitch-Target-Instance"); t != "" && t != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	const queue = 4
	if w.waiting.Add(1) > queue+int64(w.Slots) {
		w.waiting.Add(-1)
		w.refuse(rw, id)
		return
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return
	}
	w.waiting.Add(-1)
	defer func() { <-w.slots }()
	w.running.Add(1)
	defer w.running.Add(-1)
	w.record.Add("worker %s runs %s %s %s", w.ID, id, r.Method, r.URL.RequestURI())
	w.noteStarted(id)
	if w.BeforeBody != nil {
		w.BeforeBody(r)
	}
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		w.record.Add("worker %s lost %s after %d bytes of its body: %v", w.ID, id, n, err)
		return
	}
	select {
	case <-time.After(w.Work(r)):
	case <-r.Context().Done():
		w.record.Add("worker %s drops %s, its connection has closed", w.ID, id)
		return
	}
	body := fmt.Sprintf("%s %d %s", id, n, hex.EncodeToString(sum.Sum(nil)))
	h.Set("Plumpitch-Server-Load", w.load())
	h.Set("Plumpitch-Response-Signature", "signed-by-"+w.ID)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	w.record.Add("worker %s answers %s with 200", w.ID, id)
	_, _ = io.WriteString(rw, body)
}

func (w *Worker) refuse(rw http.ResponseWriter, id string) {
	w.record.Add("worker %s refuses %s, it is full", w.ID, id)
	rw.Header().Set("Plumpitch-Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}
