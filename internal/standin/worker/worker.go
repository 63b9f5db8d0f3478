// Package worker is a fake of a target of the users' platform. It runs requests in a
// few slots, adds a signature and the request ID to its responses, reports its load,
// and can inject the faults of real targets. It logs each run before the work
// begins, so that tests can check which requests ran.
package worker

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is the fault that the worker injects into a request. The zero value injects
// none.
type Fault struct {
	Shed              bool          // refuses the request without running it
	RetryAfter        string        // with Shed: value of the Retry-After header
	Fail              bool          // responds with 500 after the run
	LoseResponse      bool          // closes the connection after the run without a response
	Cut               bool          // closes the connection within the response body
	Length            int           // bytes of the response body; 0 for a short text
	DuplicateResponse bool          // sends the response twice
	DuplicateDelay    time.Duration // delay between the two responses
	Unsigned          bool          // responds without a signature
	NoLength          bool          // the response has no length, its body ends with the connection
	WrongRequestID    bool          // responds with the ID of another request
	NoResponse        bool          // runs the request and never responds
	EarlyResponse     bool          // responds before reading the request body
	Late              bool          // responds with 504 after the run, as at the deadline
	Plain503          bool          // responds with 503 after the run, without the Plumpitch-Not-Executed header
	ReplacedBy        string        // ID of the target that now has this address
	Crash             bool          // the run terminates the target by calling OnCrash
	Stray             string        // sent when the request has been read, before it runs; belongs to no request
	Endless           Endless       // sent in place of the response, after the run, until the caller closes
	ShedStatus        string        // with Shed: status line of the refusal; empty for 503
	Copy              Copy          // the response to an earlier request with the same ID on the connection comes again first
	EarlyReset        time.Duration // responds 200 with a part of the body at once, and resets the connection after this time
	Head              Head          // what is odd about the head of the response, after the run
}

// Run is the log entry of a run.
type Run struct {
	Request      string
	Path         string
	Body         string
	Deadline     string
	StartedAt    time.Time
	EndedAt      time.Time // when the work ended
	CallerLeftAt time.Time // when the caller's connection closed during the run
	Status       int       // of the response that was sent; 0 if none was, or a part or an invalid one
	Unread       bool      // the body wasn't read
	Account      string    // account named by Plumpitch-Tenant-Id
	LeakedKey    string    // value of Authorization, if one arrived
}

// Worker is the fake target.
type Worker struct {
	ID      string
	Slots   int
	Queue   int    // limit of the requests that wait for a slot, set by LimitQueue
	OnCrash func() // called by a run with Fault.Crash

	l               net.Listener
	admitted        chan struct{} // a token for each request that runs or waits; nil without LimitQueue
	slots           chan struct{} // a token for each request that runs; nil without LimitQueue
	mu              sync.Mutex
	serviceTime     time.Duration
	pace            float64 // factor on the service time
	fault           func(*http.Request) Fault
	runs            []Run
	refusals        []Run
	probes          []time.Time // when requests for the health path arrived
	peakConns       int         // most connections that were open at once
	running         int
	conns           map[net.Conn]bool
	closed          bool
	ended           bool // by End, with an ending other than Refusing
	ending          Ending
	coldUntil       time.Time // end of the warm-up
	coldLimit       int       // requests in any second that the worker can handle while it is cold
	reportsWarmup   bool      // responses to probes contain the remaining warm-up time
	overloadCrashes int       // crashes because of more than coldLimit requests in a second
	limit           string    // value of the Server-Limit header; empty omits it
	leaving         bool      // responses say that the worker is leaving
	healthDelay     time.Duration
	probeLoadOnly   bool // responses to probes contain the load, but no limit and no leaving notice
	endlessBytes    int64
	copies          int
	aliases         []string // other IDs under which it serves requests
}

// Start starts a worker on a loopback port.
func Start(id string) (w *Worker, err error) {
	w = &Worker{ID: id, Slots: 2, conns: make(map[net.Conn]bool), pace: 1, fault: func(*http.Request) Fault { return Fault{} }}
	if w.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go w.accept(w.l)
	return w, nil
}

// Address returns the address that the worker listens on.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.l.Addr().String()
}

// SetServiceTime sets how long a request takes at pace 1.
func (w *Worker) SetServiceTime(d time.Duration) { w.set(func() { w.serviceTime = d }) }

// SetHealthDelay sets how long a response to a health check takes.
func (w *Worker) SetHealthDelay(d time.Duration) { w.set(func() { w.healthDelay = d }) }

// SetPace sets the factor on the service time. The load report contains it.
func (w *Worker) SetPace(x float64) { w.set(func() { w.pace = x }) }

// SetFaults sets the function that returns the fault of each request; nil removes all
// faults.
func (w *Worker) SetFaults(f func(*http.Request) Fault) {
	w.set(func() {
		if f == nil {
			f = func(*http.Request) Fault { return Fault{} }
		}
		w.fault = f
	})
}

// StartCold makes the worker cold for d. While it is cold, more than limit requests
// in any second crash it, and all requests that run there are lost. If report is set,
// responses to probes contain the remaining warm-up time.
func (w *Worker) StartCold(d time.Duration, limit int, report bool) {
	w.set(func() { w.coldUntil, w.coldLimit, w.reportsWarmup = time.Now().Add(d), limit, report })
}

// SetLimit sets the Server-Limit header of the responses; an empty text removes it.
func (w *Worker) SetLimit(text string) { w.set(func() { w.limit = text }) }

// AnnounceLeaving makes the responses say that the worker is leaving.
func (w *Worker) AnnounceLeaving() { w.set(func() { w.leaving = true }) }

// StopLeaving ends the announcement, as after a restart of the target.
func (w *Worker) StopLeaving() { w.set(func() { w.leaving = false }) }

// ProbeLoadOnly makes responses to probes contain the load, but no limit and no
// leaving notice.
func (w *Worker) ProbeLoadOnly() { w.set(func() { w.probeLoadOnly = true }) }

// OverloadCrashes returns how often the worker crashed because it got too many
// requests while it was cold.
func (w *Worker) OverloadCrashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overloadCrashes
}

// exceedsColdLimit reports whether the worker is cold and got more than coldLimit
// requests in the last second. The caller holds the lock.
func (w *Worker) exceedsColdLimit(now time.Time) bool {
	if !now.Before(w.coldUntil) || len(w.runs) <= w.coldLimit {
		return false
	}
	return now.Sub(w.runs[len(w.runs)-1-w.coldLimit].StartedAt) < time.Second
}

func (w *Worker) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Runs returns a copy of the log of runs.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Refusals returns the requests that the worker refused. Body is the value of their
// Retry-After header.
func (w *Worker) Refusals() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.refusals...)
}

// Probes returns the times of the requests for the health path.
func (w *Worker) Probes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.probes...)
}

// PeakConns returns the largest number of connections that were open at once.
func (w *Worker) PeakConns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peakConns
}

// reportHeaders returns the header lines that report the load, the limit and that the
// worker is leaving. The caller holds the lock.
func (w *Worker) reportHeaders(probe bool) string {
	limit := ""
	if probe && w.probeLoadOnly {
		return w.loadHeader()
	}
	if w.limit != "" {
		limit = "Server-Limit: " + w.limit + "\r\n"
	}
	if w.leaving {
		limit += "Server-Leaving: 1\r\n"
	}
	return limit + w.loadHeader()
}

// loadHeader returns the header line that reports the load. The caller holds the lock.
func (w *Worker) loadHeader() string {
	waiting := 0
	if w.admitted != nil {
		waiting = max(len(w.admitted)-len(w.slots), 0)
	}
	return fmt.Sprintf("Plumpitch-Server-Load: %d,%d,%d,%.0f\r\n", w.running, waiting, w.Slots, 100*w.pace)
}

// serveHealth responds to a health check and reports whether the connection stays open.
func (w *Worker) serveHealth(k *conn, f Fault) bool {
	_, _ = io.WriteString(k, f.Stray)
	if f.Endless != NotEndless {
		w.sendEndless(k, f.Endless, "Plumpitch-Instance-Id: "+w.ID+"\r\n")
		return false
	}
	w.mu.Lock()
	w.probes = append(w.probes, time.Now())
	head := "HTTP/1.1 200 OK\r\nPlumpitch-Instance-Id: " + w.ID + "\r\n" + w.reportHeaders(true)
	if left := time.Until(w.coldUntil); w.reportsWarmup && left > 0 {
		head += "Plumpitch-Warmup-Remaining: " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n"
	}
	head += "Content-Length: 0\r\n\r\n"
	delay := w.healthDelay
	w.mu.Unlock()
	time.Sleep(delay)
	_, _ = io.WriteString(k, head)
	return true
}

// serveRequest serves one request and reports whether the connection stays open.
func (w *Worker) serveRequest(k *conn, r *http.Request, f Fault) bool {
	id := r.Header.Get("Plumpitch-Request-Id")
	if f.EarlyReset > 0 {
		w.resetEarly(k, r, f)
		return false
	}
	if f.EarlyResponse {
		_, _ = io.WriteString(k, "HTTP/1.1 413 Content Too Large\r\nPlumpitch-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if f.EarlyResponse {
		return true
	}
	_, _ = io.WriteString(k, f.Stray)
	k.sendCopy(f.Copy, id)
	if expected := r.Header.Get("Plumpitch-Target-Instance"); w.isOther(expected) || f.ReplacedBy != "" && expected != f.ReplacedBy {
		k.send(id, "HTTP/1.1 421 Misdirected Request\r\nPlumpitch-Not-Executed: 1\r\nPlumpitch-Request-Id: "+id+"\r\nPlumpitch-Instance-Id: "+f.ReplacedBy+"\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if f.Shed || !w.admit() {
		return w.refuse(k, r, f)
	}
	i := w.run(k, r, Digest(string(body)))
	if f.Crash {
		w.OnCrash()
		return false
	}
	return w.respond(k, r, f, i)
}

// SetAliases sets other IDs under which the worker serves requests, as a target with several records.
func (w *Worker) SetAliases(ids ...string) { w.set(func() { w.aliases = ids }) }

// isOther reports whether an ID is that of another target.
func (w *Worker) isOther(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return id != "" && id != w.ID && !slices.Contains(w.aliases, id)
}

// refuse refuses a request without running it, and reports whether the connection stays open.
// With Fault.Cut or Fault.NoResponse the body of the refusal ends early or stays out, and with
// Fault.Endless it has no end.
func (w *Worker) refuse(k *conn, r *http.Request, f Fault) bool {
	id := r.Header.Get("Plumpitch-Request-Id")
	refusal := Run{Request: id, Body: f.RetryAfter, StartedAt: time.Now(), Account: field(r, "Plumpitch-Tenant-Id"), LeakedKey: field(r, "Authorization")}
	w.set(func() { w.refusals = append(w.refusals, refusal) })
	head := "HTTP/1.1 " + cmp.Or(f.ShedStatus, "503 Service Unavailable") + "\r\nPlumpitch-Not-Executed: 1\r\nPlumpitch-Request-Id: " + id + "\r\n"
	if f.RetryAfter != "" {
		head += "Retry-After: " + f.RetryAfter + "\r\n"
	}
	switch {
	case f.Endless != NotEndless:
		w.sendEndless(k, f.Endless, "Plumpitch-Request-Id: "+id+"\r\n")
		return false
	case f.Cut:
		_, _ = io.WriteString(k, head+"Content-Length: 8\r\n\r\nsh")
		return false
	case f.NoResponse:
		_, _ = io.WriteString(k, head+"Content-Length: 8\r\n\r\nsh")
		_, _ = io.Copy(io.Discard, k)
		return false
	}
	k.send(id, head+"Content-Length: 0\r\n\r\n")
	return true
}

// logRun adds a run to the log and returns its index.
func (w *Worker) logRun(r *http.Request, body string) (i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, Run{
		Request: r.Header.Get("Plumpitch-Request-Id"), Path: r.URL.RequestURI(), Body: body,
		Deadline: r.Header.Get("Plumpitch-Request-Deadline"), StartedAt: time.Now(),
		Account: field(r, "Plumpitch-Tenant-Id"), LeakedKey: field(r, "Authorization"),
	})
	return len(w.runs) - 1
}

// run logs a run, waits for the service time, and records when the caller left in the
// meantime. It returns the index of the run in the log.
func (w *Worker) run(k *conn, r *http.Request, body string) (i int) {
	i = w.logRun(r, body)
	defer w.acquireSlot()()
	began := time.Now()
	w.mu.Lock()
	w.running++
	if w.exceedsColdLimit(began) {
		w.crash()
	}
	duration := time.Duration(float64(w.serviceTime) * w.pace)
	w.mu.Unlock()
	if duration > 0 {
		_ = k.SetReadDeadline(time.Now().Add(duration))
		if _, err := k.br.Peek(1); err != nil && !isTimeout(err) {
			w.set(func() { w.runs[i].CallerLeftAt = time.Now() })
		} else if rest := time.Until(began.Add(duration)); rest > 0 {
			time.Sleep(rest)
		}
		_ = k.SetReadDeadline(time.Time{})
	}
	w.set(func() {
		w.running--
		w.runs[i].EndedAt = time.Now()
	})
	return i
}

// field returns the values of a header and trailer field, joined by ", ". Names with
// underscores count too, because many servers do not distinguish them from hyphens.
func field(r *http.Request, name string) string {
	var values []string
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for k, v := range h {
			if strings.EqualFold(strings.ReplaceAll(k, "_", "-"), name) {
				values = append(values, v...)
			}
		}
	}
	return strings.Join(values, ", ")
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

// respond responds to the request of the run with index i, and reports whether the connection stays
// open.
func (w *Worker) respond(k *conn, r *http.Request, f Fault, i int) bool {
	w.mu.Lock()
	text := "ran " + r.URL.Path + " " + w.runs[i].Body
	w.mu.Unlock()
	if f.Length > 0 {
		text = strings.Repeat("x", f.Length)
	}
	id := r.Header.Get("Plumpitch-Request-Id")
	if f.WrongRequestID {
		id = "another"
	}
	status, sign := "200 OK", "Plumpitch-Response-Signature: signed-by-"+w.ID+"\r\n"
	switch {
	case f.LoseResponse:
		return false
	case f.Endless != NotEndless:
		w.sendEndless(k, f.Endless, "Plumpitch-Request-Id: "+id+"\r\n")
		return false
	case f.NoResponse:
		_, _ = io.Copy(io.Discard, k)
		return false
	case f.Late:
		status = "504 Gateway Timeout"
	case f.Plain503:
		status = "503 Service Unavailable"
	case f.Fail:
		status = "500 Internal Server Error"
	}
	if f.Unsigned {
		sign = ""
	}
	w.mu.Lock()
	head := "\r\nPlumpitch-Request-Id: " + id + "\r\n" + sign + w.reportHeaders(false)
	if !f.Cut && f.Head == SoundHead {
		w.runs[i].Status, _ = strconv.Atoi(status[:3])
	}
	w.mu.Unlock()
	if f.Head != SoundHead {
		_, _ = io.WriteString(k, "HTTP/1.1 "+f.Head.response(head, text))
		return false
	}
	head = "HTTP/1.1 " + status + head
	if f.NoLength {
		_, _ = io.WriteString(k, head+"\r\n"+text)
		return false
	}
	response := head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	if f.Cut {
		_, _ = io.WriteString(k, response[:len(response)-1])
		return false
	}
	k.send(r.Header.Get("Plumpitch-Request-Id"), response)
	if f.DuplicateResponse {
		if f.DuplicateDelay > 0 {
			time.Sleep(f.DuplicateDelay)
		}
		_, _ = io.WriteString(k, response)
	}
	return true
}
