package entry

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/probe"
	"plumpitch.example/plumpitch/pkg/tree"
)

// The settings name policies by words of their own package. A word that the
// pool doesn't know would keep the whole settings from coming into force.
func TestEveryPolicyOfTheSettingsIsAPools(t *testing.T) {
	words := []string{tree.FreeSlot, tree.LeastInFlight, tree.TwoChoices, tree.RoundRobin, tree.Random}
	qt.Assert(t, words, qt.ContentEquals, pool.Names())
	for _, w := range words {
		_, err := newChooser(tree.Policy{Policy: w}, probe.New(probe.Config{}))
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", w))
	}
}

// A target has said on an answer that it is leaving, and the lists don't know
// yet. An operator changes a limit, so the pool is replaced. The target must not
// get new work again: its word goes to the new pool.
func TestLeavingWordOutlivesItsPool(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	p := tree.Policy{Policy: tree.FreeSlot, Slots: 2, LeaveHold: time.Minute}
	s, err := newService(serviceConfig{Name: "s", Policy: p, Left: func(string, uint64) {}})
	c.Assert(err, qt.IsNil)
	defer s.close()
	s.targets(now, []pool.Target{{ID: "t1", Boot: 1, Addr: "127.0.0.1:1"}})
	s.leave(now, "t1", 1)
	c.Assert(s.explain(now)[0].Why, qt.Equals, "leaving")
	p.Slots = 3
	c.Assert(s.configure(now, p), qt.IsNil)
	c.Assert(s.explain(now)[0].Why, qt.Equals, "leaving")
}

// A request makes its target die in the middle of a long answer. Its head had
// come, which must not clear the request: sent again and again it would take
// one target after the other.
func TestCrashInAStreamedAnswerCounts(t *testing.T) {
	var runs atomic.Int64
	dying := func() string {
		return target(t, func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
	}
	w := start(t, served{name: "crash", targets: []string{dying(), dying(), dying(), dying()}})
	for range 20 {
		res, err := http.Get(w.url + "/v1/call/crash/")
		w.c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	w.c.Assert(runs.Load() <= 4, qt.IsTrue, qt.Commentf("%d runs", runs.Load()))
	w.c.Assert(w.ask("GET", "/v1/call/crash/", nil).outcome(), qt.Equals, "not-run quarantined")
}
