// Package target is a small fake of a target of a service: an HTTP server with a
// fixed number of slots, a queue of requests that wait for one, a log of runs and
// faults that can be injected. A run is logged before its work begins, so that tests
// can check which requests ran.
//
// Besides the service's own paths it serves:
//
//	GET  /-/log    JSON: the runs, oldest first
//	POST /-/fault  JSON Fault: replaces the injected faults
//	POST /-/drain  later responses say that the target is leaving
//	GET  /-/load   the load report in the response header: inflight and leaving
package target

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// Config configures a target.
type Config struct {
	Name            string
	Service         string
	Slots           int           // requests that run at once; default 2
	MeanServiceTime time.Duration // mean of the lognormal service time; 0 responds at once
	Sigma           float64       // sigma of the lognormal service time; 0 makes all service times equal
	Seed            uint64
	MaxLog          int // maximum number of logged runs; default 1,000,000
}

// Fault is the set of injected faults. The zero value is a healthy target.
type Fault struct {
	Factor float64       // factor on the service time; 0 counts as 1
	Fail   bool          // responds with 500 after the run
	Shed   bool          // refuses with 503 without running the request, and sets shed in the load report
	Cut    bool          // closes the connection in the middle of the response body
	Crash  bool          // closes the connection after the run without a response
	Stall  time.Duration // added to the service time
}

// Run is the log entry of a run.
type Run struct {
	ID     string // the request's X-Request-Id
	Key    string // its Idempotency-Key
	Method string
}

// Target is the fake target. It is an http.Handler.
type Target struct {
	cfg      Config
	slots    chan struct{}
	inflight atomic.Int64
	leaving  atomic.Bool
	fault    atomic.Pointer[Fault]

	mu  sync.Mutex
	rnd *rand.Rand
	log []Run
}

// Defaults of Config.
const (
	defaultSlots  = 2
	defaultMaxLog = 1_000_000
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 16 << 20

// New returns a healthy target.
func New(cfg Config) *Target {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.MaxLog == 0 {
		cfg.MaxLog = defaultMaxLog
	}
	t := &Target{
		cfg:   cfg,
		slots: make(chan struct{}, cfg.Slots),
		rnd:   rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Name)))),
	}
	t.fault.Store(&Fault{})
	return t
}

// SetFault replaces the injected faults.
func (t *Target) SetFault(f Fault) { t.fault.Store(&f) }

// Drain makes later responses say that the target is leaving.
func (t *Target) Drain() { t.leaving.Store(true) }

// Runs returns a copy of the log.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.log...)
}

// Inflight returns the number of requests that were received and have no response yet.
func (t *Target) Inflight() int { return int(t.inflight.Load()) }

// ServeHTTP serves the control paths and runs everything else.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/log":
		t.serveLog(w)
	case "/-/fault":
		t.serveFault(w, r)
	case "/-/drain":
		t.Drain()
	case "/-/load":
		t.setLoadHeader(w)
	default:
		t.run(w, r)
	}
}

func (t *Target) serveLog(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.Runs())
}

func (t *Target) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFault(f)
}

func (t *Target) setLoadHeader(w http.ResponseWriter) {
	v := "inflight=" + strconv.Itoa(t.Inflight())
	if t.leaving.Load() {
		v += " leaving"
	}
	w.Header().Set(call.HeaderLoad, v)
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	f := *t.fault.Load()
	w.Header().Set(call.HeaderRequest, r.Header.Get(call.HeaderRequest))
	if f.Shed {
		w.Header().Set(call.HeaderLoad, "shed inflight="+strconv.Itoa(t.Inflight()))
		http.Error(w, "shedding", http.StatusServiceUnavailable)
		return
	}
	t.inflight.Add(1)
	defer t.inflight.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	t.record(r)
	if !t.work(r, f) {
		return
	}
	t.respond(w, r, f, len(body))
}

func (t *Target) record(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.log) < t.cfg.MaxLog {
		t.log = append(t.log, Run{ID: r.Header.Get("X-Request-Id"), Key: r.Header.Get(call.HeaderKey), Method: r.Method})
	}
}

// work waits for the service time. It returns false if the request is cancelled in
// the meantime.
func (t *Target) work(r *http.Request, f Fault) bool {
	d := t.randomServiceTime(f) + f.Stall
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// randomServiceTime returns a service time from the lognormal distribution with the
// mean cfg.MeanServiceTime, multiplied by the fault's factor.
func (t *Target) randomServiceTime(f Fault) time.Duration {
	factor := f.Factor
	if factor == 0 {
		factor = 1
	}
	t.mu.Lock()
	z := t.rnd.NormFloat64()
	t.mu.Unlock()
	s := t.cfg.Sigma
	return time.Duration(float64(t.cfg.MeanServiceTime) * factor * math.Exp(s*z-s*s/2))
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, f Fault, received int) {
	if f.Crash {
		panic(http.ErrAbortHandler)
	}
	t.setLoadHeader(w)
	if f.Fail {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	line := fmt.Sprintf("id=%s service=%s target=%s received=%d\n", r.Header.Get("X-Request-Id"), t.cfg.Service, t.cfg.Name, received)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(line)))
	if f.Cut {
		_, _ = io.WriteString(w, line[:len(line)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, line)
}
