package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/probe"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Package tree defines the policy names of the settings separately from package
// pool. A name that pool doesn't have would prevent the settings from being
// applied at all.
func TestSettingsPoliciesMatchPool(t *testing.T) {
	names := []string{tree.FreeSlot, tree.LeastInFlight, tree.TwoChoices, tree.RoundRobin, tree.Random}
	qt.Assert(t, names, qt.ContentEquals, pool.PolicyNames())
	for _, name := range names {
		_, err := newBalancer(tree.Policy{Policy: name}, probe.New(probe.Config{}))
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", name))
	}
}

// A target reports in a response that it is leaving, and the VM list doesn't show
// that yet. An operator then changes a limit, which replaces the balancer. The new
// balancer must inherit the leaving notice, so that it gives the target no new work.
func TestLeavingNoticeSurvivesBalancerReplacement(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	p := tree.Policy{Policy: tree.FreeSlot, Slots: 2, LeaveHold: time.Minute}
	s, err := newService(serviceConfig{Name: "s", Policy: p, AnnounceLeaving: func(string, uint64) {}})
	c.Assert(err, qt.IsNil)
	defer s.close()
	s.setTargets(now, []pool.Target{{ID: "t1", Boot: 1, Addr: "127.0.0.1:1"}})
	s.markLeaving(now, "t1", 1)
	c.Assert(s.explain(now)[0].Why, qt.Equals, "leaving")
	p.Slots = 3
	c.Assert(s.configure(now, p), qt.IsNil)
	c.Assert(s.explain(now)[0].Why, qt.Equals, "leaving")
}

// A request crashes its target in the middle of a streamed response. The received
// head must not clear the request from suspicion. Otherwise the same request, sent
// again and again, would crash one target after another.
func TestCrashInStreamedResponseCounts(t *testing.T) {
	var runs atomic.Int64
	crashing := func() string {
		return startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
	}
	w := start(t, testService{name: "crash", targets: []string{crashing(), crashing(), crashing(), crashing()}})
	for range 20 {
		res, err := http.Get(w.url + "/v1/call/crash/")
		w.c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	w.c.Assert(runs.Load() <= 4, qt.IsTrue, qt.Commentf("%d runs", runs.Load()))
	w.c.Assert(w.request("GET", "/v1/call/crash/", nil).outcome(), qt.Equals, "not-run quarantined")
}

// All targets close their connections for a while and none of them ends. Guards against a
// refusal that lasts longer than the failure, or that doesn't tell the caller when to return.
func TestLostConnectionsQuarantineNoRequest(t *testing.T) {
	tests := []struct {
		name     string
		answered bool // targets have answered the request before
		failure  time.Duration
	}{
		{"ten requests at once", false, 0},
		{"answered before", true, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { runLostConnections(t, tt.answered, tt.failure) })
	}
}

// A request that targets have answered begins to crash them, and their ports go on accepting
// connections. Guards against trials without end of a request that was sound.
func TestSoundRequestTurnsDeadly(t *testing.T) {
	const (
		lateTime = 3 * time.Second
		maxLate  = 3
	)
	var mu sync.Mutex
	var ends []time.Time
	var deadly atomic.Bool
	target := func() string {
		ended := false
		return startTarget(t, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if !ended && deadly.Load() && strings.HasSuffix(r.URL.Path, "/poison") {
				ended = true
				ends = append(ends, time.Now())
			}
			if ended {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ok")
		})
	}
	var targets []string
	for range 16 {
		targets = append(targets, target())
	}
	w := start(t, testService{name: "deadly", targets: targets})
	w.c.Assert(w.request("GET", "/v1/call/deadly/poison", nil).StatusCode, qt.Equals, http.StatusOK)
	deadly.Store(true)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		w.request("GET", "/v1/call/deadly/poison", nil)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range ends {
		if at.Sub(ends[min(2, len(ends)-1)]) > lateTime {
			late++
		}
	}
	t.Logf("%d targets ended, %d late", len(ends), late)
	w.c.Assert(late <= maxLate, qt.IsTrue, qt.Commentf("%d late of %d", late, len(ends)))
}

// maxFreeTime is how long after a failure of its targets a request is served again.
const maxFreeTime = time.Second

func runLostConnections(t *testing.T, answered bool, failure time.Duration) {
	var failing atomic.Bool
	target := func() string {
		return startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			if failing.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ok")
		})
	}
	w := start(t, testService{name: "lost", targets: []string{target(), target(), target(), target()}})
	if answered {
		w.c.Assert(w.request("GET", "/v1/call/lost/", nil).StatusCode, qt.Equals, http.StatusOK)
	}
	failing.Store(true)
	for until := time.Now().Add(failure); time.Now().Before(until); time.Sleep(30 * time.Millisecond) {
		w.request("GET", "/v1/call/lost/", nil)
	}
	for range 10 {
		w.request("GET", "/v1/call/lost/", nil)
	}
	failing.Store(false)
	for ended := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		r := w.request("GET", "/v1/call/lost/", nil)
		if r.StatusCode == http.StatusOK {
			return
		}
		w.c.Assert(r.outcome(), qt.Equals, "not-run quarantined")
		retry, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(retry <= maxFreeTime.Seconds(), qt.IsTrue, qt.Commentf("Retry-After: %v s", retry))
		w.c.Assert(time.Since(ended) < maxFreeTime, qt.IsTrue)
	}
}
