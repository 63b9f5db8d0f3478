// Package worker is a stand-in for a target as the users' platform has them:
// it runs requests in a few slots, signs and names its answers, tells its load,
// and fails in the ways that targets do. It logs each run before the work
// begins, and so is the witness of the tests.
package worker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is how a target answers. The zero value is one that is well.
type Fault struct {
	Shed     bool          // refuses, runs nothing
	After    string        // with Shed: when to come back, as the text of the header
	Fail     bool          // answers 500 after the run
	Lose     bool          // runs, then closes the connection without an answer
	Cut      bool          // closes the connection within the body
	Extra    bool          // sends its answer twice
	ExtraIn  time.Duration // how long after the first the second one comes
	Unsigned bool          // answers without its signature
	Unframed bool          // the body ends with the connection
	Crossed  bool          // answers under another request's id
	Mute     bool          // runs and never answers
	Early    bool          // answers before it has read the body
	Plain503 bool          // answers 503 after the run, without word that it didn't run
	Other    string        // the address belongs to this target now
	Crash    bool          // the run ends the target, as Crashed says
}

// Run is one logged run.
type Run struct {
	Request  string
	Path     string
	Body     string
	Deadline string
	At       time.Time
	Gone     time.Time // when the caller's connection ended during the run
}

// Worker is the stand-in.
type Worker struct {
	ID      string
	Slots   int
	Queue   int    // requests that wait for a slot; beyond them it refuses. 0: it has no bound
	Crashed func() // called by a run that ends the target

	l      net.Listener
	free   chan struct{} // a token for each request that runs or waits, where Queue bounds them
	slots  chan struct{} // a token for each request that runs, the same
	mu     sync.Mutex
	work   time.Duration
	pace   float64 // how many times as long as usual work takes
	fault  func(*http.Request) Fault
	runs   []Run
	sheds  []Run
	now    int
	open   map[net.Conn]bool
	closed bool
	cold   time.Time // until then it bears few requests
	bears  int       // requests in any second while it is cold
	tells  bool      // it says so when it is asked
	falls  int       // how often it crashed since it got more
	limit  string    // that it names in its answers
	leaves bool      // it says in its answers that it leaves
	silent bool      // it reports its load alone in answers to questions
}

// Start runs a worker on loopback.
func Start(id string) (w *Worker, err error) {
	w = &Worker{ID: id, Slots: 2, open: make(map[net.Conn]bool), pace: 1, fault: func(*http.Request) Fault { return Fault{} }}
	if w.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go w.accept()
	return w, nil
}

// Address is where it listens.
func (w *Worker) Address() string { return w.l.Addr().String() }

// Close ends the worker and its connections.
func (w *Worker) Close() {
	w.mu.Lock()
	w.closed = true
	for c := range w.open {
		c.Close()
	}
	w.mu.Unlock()
	w.l.Close()
}

// Work sets how long a request takes.
func (w *Worker) Work(d time.Duration) { w.set(func() { w.work = d }) }

// Pace sets how many times as long as usual work takes; it is told with the load.
func (w *Worker) Pace(x float64) { w.set(func() { w.pace = x }) }

// Fail sets the faults of each request; nil ends them.
func (w *Worker) Fail(f func(*http.Request) Fault) {
	w.set(func() {
		if f == nil {
			f = func(*http.Request) Fault { return Fault{} }
		}
		w.fault = f
	})
}

// Chill makes it cold for so long, in which it bears that many requests in any second.
// Above that it crashes: all that runs there is lost. Whether it tells of it is up to
// tells.
func (w *Worker) Chill(d time.Duration, bears int, tells bool) {
	w.set(func() { w.cold, w.bears, w.tells = time.Now().Add(d), bears, tells })
}

// Limit has it name a limit in its answers, as the text of the header; empty ends that.
func (w *Worker) Limit(text string) { w.set(func() { w.limit = text }) }

// Leave has it say in its answers that it leaves.
func (w *Worker) Leave() { w.set(func() { w.leaves = true }) }

// Stay has it say no more that it leaves, as one that has started again.
func (w *Worker) Stay() { w.set(func() { w.leaves = false }) }

// KeepSilent has it report its load alone in answers to questions.
func (w *Worker) KeepSilent() { w.set(func() { w.silent = true }) }

// Falls returns how often it crashed since it got more than it bears.
func (w *Worker) Falls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.falls
}

// overdone reports whether a cold worker got more in the last second than it bears. The
// lock is held.
func (w *Worker) overdone(now time.Time) bool {
	if !now.Before(w.cold) || len(w.runs) <= w.bears {
		return false
	}
	return now.Sub(w.runs[len(w.runs)-1-w.bears].At) < time.Second
}

// crash ends all connections. The lock is held.
func (w *Worker) crash() {
	w.falls++
	for c := range w.open {
		c.Close()
	}
}

func (w *Worker) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Runs returns the runs so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Sheds returns the requests that it refused; Body is when they were told to come back.
func (w *Worker) Sheds() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.sheds...)
}

func (w *Worker) accept() {
	for {
		c, err := w.l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.open[c] = true
		w.mu.Unlock()
		go func() {
			defer func() {
				w.set(func() { delete(w.open, c) })
				c.Close()
			}()
			w.serve(c)
		}()
	}
}

// conn is a connection of which the end is noticed during a run.
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
			w.health(k)
			continue
		}
		if !w.request(k, r, f) {
			return
		}
	}
}

// load are the headers in which it reports its load, its limit and that it leaves. The lock is held.
func (w *Worker) load(question bool) string {
	limit := ""
	if question && w.silent {
		return w.plain()
	}
	if w.limit != "" {
		limit = "Server-Limit: " + w.limit + "\r\n"
	}
	if w.leaves {
		limit += "Server-Leaving: 1\r\n"
	}
	return limit + w.plain()
}

func (w *Worker) plain() string {
	waiting := 0
	if w.free != nil {
		waiting = max(len(w.free)-len(w.slots), 0)
	}
	return fmt.Sprintf("Plumpitch-Server-Load: %d,%d,%d,%.0f\r\n", w.now, waiting, w.Slots, 100*w.pace)
}

func (w *Worker) health(k *conn) {
	w.mu.Lock()
	head := "HTTP/1.1 200 OK\r\nPlumpitch-Instance-Id: " + w.ID + "\r\n" + w.load(true)
	if left := time.Until(w.cold); w.tells && left > 0 {
		head += "Plumpitch-Warmup-Remaining: " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n"
	}
	head += "Content-Length: 0\r\n\r\n"
	w.mu.Unlock()
	_, _ = io.WriteString(k, head)
}

// request serves one request and reports whether the connection goes on.
func (w *Worker) request(k *conn, r *http.Request, f Fault) bool {
	id := r.Header.Get("Plumpitch-Request-Id")
	if f.Early {
		_, _ = io.WriteString(k, "HTTP/1.1 413 Content Too Large\r\nPlumpitch-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if f.Early {
		return true
	}
	if want := r.Header.Get("Plumpitch-Target-Instance"); want != "" && want != w.ID || f.Other != "" && want != f.Other {
		_, _ = io.WriteString(k, "HTTP/1.1 421 Misdirected Request\r\nPlumpitch-Instance-Id: "+f.Other+"\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if f.Shed || !w.enter() {
		w.shed(k, id, f.After)
		return true
	}
	w.run(k, r, string(body))
	if f.Crash {
		w.Crashed()
		return false
	}
	return w.answer(k, r, f, string(body))
}

// shed refuses a request.
func (w *Worker) shed(k *conn, id, after string) {
	w.set(func() { w.sheds = append(w.sheds, Run{Request: id, Body: after, At: time.Now()}) })
	head := "HTTP/1.1 503 Service Unavailable\r\nPlumpitch-Not-Executed: 1\r\nPlumpitch-Request-Id: " + id + "\r\n"
	if after != "" {
		head += "Retry-After: " + after + "\r\n"
	}
	_, _ = io.WriteString(k, head+"Content-Length: 0\r\n\r\n")
}

// run logs a run, works, and notes when the caller left meanwhile.
func (w *Worker) run(k *conn, r *http.Request, body string) {
	w.mu.Lock()
	i := len(w.runs)
	w.runs = append(w.runs, Run{
		Request: r.Header.Get("Plumpitch-Request-Id"), Path: r.URL.RequestURI(), Body: body,
		Deadline: r.Header.Get("Plumpitch-Request-Deadline"), At: time.Now(),
	})
	w.mu.Unlock()
	defer w.begin()()
	began := time.Now()
	w.mu.Lock()
	w.now++
	if w.overdone(began) {
		w.crash()
	}
	work := time.Duration(float64(w.work) * w.pace)
	w.mu.Unlock()
	if work > 0 {
		_ = k.SetReadDeadline(time.Now().Add(work))
		if _, err := k.br.Peek(1); err != nil && !isTimeout(err) {
			w.set(func() { w.runs[i].Gone = time.Now() })
		} else if rest := time.Until(began.Add(work)); rest > 0 {
			time.Sleep(rest)
		}
		_ = k.SetReadDeadline(time.Time{})
	}
	w.set(func() { w.now-- })
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

func (w *Worker) answer(k *conn, r *http.Request, f Fault, body string) bool {
	text := "ran " + r.URL.Path + " " + body
	id := r.Header.Get("Plumpitch-Request-Id")
	if f.Crossed {
		id = "another"
	}
	status, sign := "200 OK", "Plumpitch-Response-Signature: signed-by-"+w.ID+"\r\n"
	switch {
	case f.Lose:
		return false
	case f.Mute:
		_, _ = io.Copy(io.Discard, k)
		return false
	case f.Plain503:
		status = "503 Service Unavailable"
	case f.Fail:
		status = "500 Internal Server Error"
	}
	if f.Unsigned {
		sign = ""
	}
	w.mu.Lock()
	head := "HTTP/1.1 " + status + "\r\nPlumpitch-Request-Id: " + id + "\r\n" + sign + w.load(false)
	w.mu.Unlock()
	if f.Unframed {
		_, _ = io.WriteString(k, head+"\r\n"+text)
		return false
	}
	whole := head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	if f.Cut {
		_, _ = io.WriteString(k, whole[:len(whole)-1])
		return false
	}
	_, _ = io.WriteString(k, whole)
	if f.Extra {
		if f.ExtraIn > 0 {
			time.Sleep(f.ExtraIn)
		}
		_, _ = io.WriteString(k, whole)
	}
	return true
}
