package gateway

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
	"plumpitch.example/plumpitch/platform"
)

// The targets of a service start to fail for all entries at once, after each entry has
// saved up retries. No entry knows what the others spend. All together may make at most the
// allowed share of the requests, plus the slack, in retries and hedges within a window. The
// requests are those of this window or of the one before, whichever are more.
func TestRetryBudgetOverAllEntries(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		before  int // requests of the window before, over all entries
		during  int
		slack   int
	}{
		{"few, busy", 14, 3000, 3000, 56},
		{"few, idle before", 14, 0, 1000, 56},
		{"few, idle after", 14, 1000, 0, 56},
		{"few, hardly a request", 14, 28, 14, 56},
		{"many, busy", 113, 9000, 9000, 182},
		{"many, hardly a request", 113, 1500, 113, 182},
		{"many, busy long ago only", 113, 0, 113, 182},
		{"three", 3, 300, 300, 56},
		{"two owners", 2, 3000, 3000, 56},
		{"two owners, idle after", 2, 3000, 0, 56},
		{"two owners, hardly a request", 2, 700, 20, 56},
		{"two owners, busy long ago only", 2, 0, 20, 56},
		{"few, busy long ago only", 14, 0, 14, 56},
		{"one that receives no reports", 1, 3000, 10, 56},
	}
	// earlier is how many requests fill the budgets before the first counted window.
	const earlier = 20000
	const windowSeconds = 10
	for _, tt := range tests {
		b := platform.Bounds{RetryShare: 0.2, RetrySlack: tt.slack, RetryWindow: windowSeconds * time.Second}
		spent := 0
		for range tt.entries {
			budget := retryBudget(b, rand.New(rand.NewPCG(1, 2)).Float64)
			budget.SetBurst(retryBurst(b, retryView{trafficShare: 1 / float64(tt.entries), contact: 1, age: time.Hour, rate: float64(tt.during) / windowSeconds / float64(tt.entries)}))
			for range earlier / tt.entries {
				budget.CountFirst(0, 0)
			}
			budget.StartPeriod()
			for range tt.before / tt.entries {
				budget.CountFirst(0, 0)
			}
			budget.StartPeriod()
			for i := range tt.during/tt.entries + 1 {
				for _, notRun := range []bool{true, false} {
					for range 10 {
						if _, ok := budget.Take(0, 0, notRun); ok {
							spent++
						}
					}
				}
				if i < tt.during/tt.entries {
					budget.CountFirst(0, 0)
				}
			}
		}
		allowed := b.RetryShare*float64(max(tt.before, tt.during)) + float64(tt.slack)
		qt.Assert(t, float64(spent) <= allowed, qt.IsTrue, qt.Commentf("%s: %d spent of %v", tt.name, spent, allowed))
	}
}

// Reloaded settings lower the retry ratio while all targets fail. From then on retries
// must stay within the new ratio and slack.
func TestReloadedRatioBoundsRepeats(t *testing.T) {
	const (
		requests = 300
		slack    = 20
	)
	w := newWorld(t, worldConfig{targets: 4})
	w.retryShare = 1
	e := w.startEntry("a").waitReady()
	s := e.cfg.Settings
	for _, k := range w.workers {
		k.SetFaults(func(*http.Request) worker.Fault { return worker.Fault{Fail: true} })
	}
	for range requests {
		e.call("GET", "/a/x", "")
	}
	s.Bounds.RetryShare, s.Bounds.RetrySlack = 0.2, slack
	e.Reload(s, nil)
	time.Sleep(2 * tickInterval)
	before := w.arrivals()
	for range requests {
		e.call("GET", "/a/x", "")
	}
	retries := w.arrivals() - before - requests
	w.c.Assert(retries <= requests/5+slack, qt.IsTrue, qt.Commentf("%d retries of %d requests", retries, requests))
	w.c.Assert(retries > 0, qt.IsTrue)
}
