package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a sound worker. It reads a request, waits for a slot, works and answers with its
// signature. It drops a request whose connection closes.
type Worker struct {
	ID, Address string
	Slots       int
	// Work returns how long a request takes.
	Work func(*http.Request) time.Duration
	// Crashes reports whether a request crashes the worker as soon as it runs; nil means that none
	// does.
	Crashes func(*http.Request) bool
	// OnCrash is called after a crash.
	OnCrash func()

	record           *Record
	server           *http.Server
	crashOnce        sync.Once
	slots            chan struct{}
	running, waiting atomic.Int64
	mu               sync.Mutex
	started          map[string]bool // requests that it has begun to work on, by ID
}

func startWorker(id, address string, record *Record) (*Worker, error) {
	w := &Worker{ID: id, Address: address, Slots: 2, record: record, started: make(map[string]bool)}
	w.slots = make(chan struct{}, w.Slots)
	w.Work = func(*http.Request) time.Duration { return 60 * time.Millisecond }
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
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
	if w.Crashes != nil && w.Crashes(r) {
		w.crashOnce.Do(func() {
			w.record.Add("worker %s crashes under %s", w.ID, id)
			w.server.Close() // its port refuses connections from now on
			w.OnCrash()
		})
		return
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
