package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/probe"
)

func budget(now time.Time) *probe.Budget {
	b := probe.New(probe.Config{Window: 100 * ms, Budget: 10 * ms, Cost: ms})
	b.SetShare(now, probe.Share{Count: 1})
	return b
}

// idle ticks the pool for a while and returns the number of probes of each target.
func (b *harness) idle(duration time.Duration, ok func(target string) bool) map[string]int {
	probed := map[string]int{}
	for until := b.now.Add(duration); b.now.Before(until); b.now = b.now.Add(10 * ms) {
		for _, a := range b.pool.Tick(b.now, nil) {
			if a.Kind == pool.Probe {
				probed[a.Target]++
				b.record(b.pool.ProbeDone(b.now.Add(ms), pool.ProbeResult{Target: a.Target, OK: ok(a.Target)}, nil))
			}
		}
	}
	return probed
}

func healthy(string) bool { return true }

// Probes consume capacity of the targets. A target must be probed only when the result
// could change a decision.
func TestWorthProbing(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(b *harness)
		most    int  // limit of probes of t0 in the next second
		none    bool // no probe at all
	}{
		{"busy", func(b *harness) { b.load(4, time.Second, nil) }, 0, true},
		{"silent for a second", func(b *harness) { b.load(4, time.Second, nil); b.now = b.now.Add(500 * ms) }, 0, true},
		{"silent for a minute", func(b *harness) { b.now = b.now.Add(time.Minute) }, 1, false},
		{"leaving and silent", func(b *harness) { b.pool.MarkLeaving(b.now, "t0", 1, nil); b.now = b.now.Add(30 * time.Second) }, 0, true},
		{"slow, not gone", func(b *harness) {
			b.load(6, 500*ms, nil)
			b.load(6, 500*ms, map[string]behavior{"t0": slowBy(10)})
		}, 0, true},
		{"gone", func(b *harness) { b.load(6, 500*ms, map[string]behavior{"t0": always(ms, pool.ConnectFailed)}) }, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newHarness(c, "", pool.Config{ProbeBudget: budget(start)}, targets(4))
			b.idle(500*ms, healthy)
			test.prepare(b)
			got := b.idle(time.Second, healthy)
			c.Check(got["t0"] <= test.most, qt.IsTrue, qt.Commentf("%v", got))
			c.Check(got["t0"] == 0, qt.Equals, test.none, qt.Commentf("%v", got))
		})
	}
}

// A target of a service with few requests is gone: its connections fail. Without probes,
// one request after the other would fail there. A trial request must be sent only after a
// successful probe, or without one if there is no probe budget.
func TestProbeBeforeTrial(t *testing.T) {
	gone := map[string]behavior{"t0": always(ms, pool.ConnectFailed)}
	tests := []struct {
		name   string
		budget bool
		most   int // limit of requests to the target in 4 s
	}{
		{"with a budget", true, 1},
		{"without", false, 16},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cfg := pool.Config{}
			if test.budget {
				cfg.ProbeBudget = budget(start)
			}
			b := newHarness(c, "", cfg, targets(6))
			b.load(6, 500*ms, nil)
			got := b.load(6, 4*time.Second, gone)
			c.Check(got["t0"] <= test.most, qt.IsTrue, qt.Commentf("%v", got))
			b.idle(time.Second, healthy)
			b.load(6, time.Second, nil)
			got = b.load(6, time.Second, nil)
			c.Check(got["t0"] > got["t1"]*4/5, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// With few requests per second, each pause before a trial ends between two requests. The
// number of arrivals must limit the trials too: otherwise every second request would go to
// a target that is known to be slow.
func TestTrialsWithFewRequests(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "", pool.Config{}, targets(6))
	b.load(6, time.Second, nil)
	b.load(0, 100*ms, nil)
	got := 0
	for range 1000 {
		id, _ := b.arrive(time.Minute)
		took, target := 5*ms, b.sent[id]
		if target == "t0" {
			took = 80 * ms
			got++
		}
		b.now = b.now.Add(took)
		b.done(id, pool.Served)
		b.now = b.now.Add(400 * ms)
	}
	c.Check(got <= 20, qt.IsTrue, qt.Commentf("%d", got))
}

// An idle pool without a share of the probe budget must need no ticks: ticks of all
// services would use as much CPU as requests.
func TestNextTick(t *testing.T) {
	tests := []struct {
		name    string
		of      int // entries that share the probe budget; zero: this entry has no share
		prepare func(b *harness)
		after   time.Duration // zero: never
	}{
		{"idle, no share", 0, func(*harness) {}, 0},
		{"in flight, no share", 0, func(b *harness) { b.arrive(time.Minute) }, 0},
		{"idle with a share", 1, func(*harness) {}, 50 * ms},
		{"queued", 0, func(b *harness) { b.load(40, ms/4, nil) }, ms},
		{"notice of a leaving target", 0, func(b *harness) { b.pool.MarkLeaving(b.now, "t0", 1, nil) }, time.Second},
	}
	for _, test := range tests {
		c := qt.New(t)
		shared := probe.New(probe.Config{Window: 100 * ms, Budget: 10 * ms, Cost: ms})
		shared.SetShare(start, probe.Share{Count: test.of})
		b := newHarness(c, "", pool.Config{ProbeBudget: shared}, targets(4))
		b.pool.Tick(b.now.Add(50*ms), nil)
		b.now = b.now.Add(50 * ms)
		test.prepare(b)
		next := b.pool.NextTick()
		c.Check(next.IsZero(), qt.Equals, test.after == 0, qt.Commentf(test.name))
		if test.after > 0 {
			c.Check(next.Sub(b.now) <= test.after, qt.IsTrue, qt.Commentf(test.name))
		}
	}
}

// The result of a probe may never arrive. The target must be probed again nevertheless.
func TestProbeWithoutResult(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "", pool.Config{ProbeBudget: budget(start)}, targets(1))
	probes := 0
	for range 600 {
		b.now = b.now.Add(10 * ms)
		probes += len(b.pool.Tick(b.now, nil))
	}
	c.Check(probes >= 2, qt.IsTrue, qt.Commentf("%d", probes))
	c.Check(probes <= 4, qt.IsTrue, qt.Commentf("%d", probes))
}

// The result of a health endpoint can be wrong in both directions. One failed probe must
// not eject a target, and a successful probe must not readmit a slow one.
func TestWrongProbeResults(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "", pool.Config{ProbeBudget: budget(start)}, targets(6))
	b.load(6, time.Second, nil)
	b.pool.ProbeDone(b.now, pool.ProbeResult{Target: "t1"}, nil)
	c.Check(b.ejectedCount(), qt.Equals, 0)
	b.load(10, 2*time.Second, map[string]behavior{"t2": slowBy(10)})
	c.Check(b.ejectedCount(), qt.Equals, 1)
	b.pool.ProbeDone(b.now, pool.ProbeResult{Target: "t2", OK: true}, nil)
	c.Check(b.ejectedCount(), qt.Equals, 1)
}
