package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
)

const ms = time.Millisecond

// behavior returns the response time and outcome of request n, which a target gets at the
// time at, counted from start.
type behavior func(at time.Duration, n int) (took time.Duration, outcome pool.Outcome)

// normal spreads response times over 2 to 10 ms.
func normal(_ time.Duration, n int) (time.Duration, pool.Outcome) {
	return 2*ms + time.Duration(uint32(n)*2654435761>>8%9)*ms, pool.Served
}

func slowBy(factor int) behavior {
	return func(at time.Duration, n int) (time.Duration, pool.Outcome) {
		took, outcome := normal(at, n)
		return time.Duration(factor) * took, outcome
	}
}

// always returns a behavior with a fixed response time and outcome.
func always(took time.Duration, outcome pool.Outcome) behavior {
	return func(time.Duration, int) (time.Duration, pool.Outcome) { return took, outcome }
}

// during returns a behavior that is bad from one time to another, and normal otherwise.
func during(from, to time.Duration, bad behavior) behavior {
	return func(at time.Duration, n int) (time.Duration, pool.Outcome) {
		if at >= from && at < to {
			return bad(at, n)
		}
		return normal(at, n)
	}
}

// dispatched is a request at a target.
type dispatched struct {
	id      uint64
	target  string
	end     time.Time
	outcome pool.Outcome
}

// load keeps n requests queued or in flight for a while, and returns the number of
// requests that each target got.
func (b *harness) load(n int, duration time.Duration, targets map[string]behavior) map[string]int {
	got := map[string]int{}
	until := b.now.Add(duration)
	process := func(out []pool.Action) {
		for _, a := range out {
			if a.Kind == pool.Probe {
				b.probe(a.Target, targets[a.Target])
			}
			if a.Kind != pool.Dispatch {
				continue
			}
			got[a.Target]++
			do := targets[a.Target]
			if do == nil {
				do = normal
			}
			took, outcome := do(b.now.Sub(start), int(a.ID))
			b.dispatches = append(b.dispatches, dispatched{a.ID, a.Target, b.now.Add(took), outcome})
		}
	}
	for ; b.now.Before(until); b.now = b.now.Add(ms / 4) {
		for i := 0; i < len(b.dispatches); i++ {
			f := b.dispatches[i]
			if f.end.After(b.now) {
				continue
			}
			b.dispatches = append(b.dispatches[:i], b.dispatches[i+1:]...)
			i--
			process(b.pool.Done(b.now, pool.Completion{ID: f.id, Outcome: f.outcome}, nil))
		}
		process(b.pool.Tick(b.now, nil))
		for queued, inFlight := b.pool.RequestCounts(); queued+inFlight < n; queued, inFlight = b.pool.RequestCounts() {
			b.id++
			out := b.pool.Submit(b.now, pool.Arrival{ID: b.id, Deadline: b.now.Add(time.Minute), Idempotent: true}, nil)
			process(out)
			if len(out) > 0 && out[0].Kind == pool.Refuse {
				b.refused++
				break
			}
		}
	}
	return got
}

// probe returns a probe result at once. Only a target that refuses connections fails it.
func (b *harness) probe(target string, do behavior) {
	ok := true
	if do != nil {
		_, outcome := do(b.now.Sub(start), 0)
		ok = outcome != pool.ConnectFailed
	}
	b.pool.ProbeDone(b.now, pool.ProbeResult{Target: target, OK: ok}, nil)
}

// A target becomes bad at 1 s, without notice, so that callers would see its delays and
// errors. Its responses, or their absence, compare badly with those of the other targets.
// It must be ejected for that, get only trial requests, and get its full share again 2 s
// after its recovery.
func TestEjection(t *testing.T) {
	tests := []struct {
		name  string
		bad   behavior
		n     int // requests queued or in flight at any time
		limit int // limit of its requests in 2 s, of about 4000
	}{
		{"ten times slower", slowBy(10), 10, 40},
		{"five times slower", slowBy(5), 10, 80},
		{"stuck", func(at time.Duration, _ int) (time.Duration, pool.Outcome) { return 3*time.Second - at, pool.Served }, 10, 4},
		{"stuck under full load", func(at time.Duration, _ int) (time.Duration, pool.Outcome) { return 3*time.Second - at, pool.Served }, 40, 5},
		{"fails fast", always(ms, pool.Failed), 10, 20},
		{"refuses connections", always(ms/2, pool.ConnectFailed), 10, 16},
		{"breaks connections", always(ms, pool.ConnectionLost), 10, 16},
		{"sheds all", always(ms/2, pool.Shed), 10, 24},
		{"times out", always(200*ms, pool.TimedOut), 10, 16},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newHarness(c, "", pool.Config{}, targets(8))
			bad := map[string]behavior{"t3": during(time.Second, 3*time.Second, test.bad)}
			before := b.load(test.n, time.Second, bad)
			c.Check(before["t3"] > 100, qt.IsTrue, qt.Commentf("before: %v", before))
			during := b.load(test.n, 2*time.Second, bad)
			c.Check(during["t3"] <= test.limit, qt.IsTrue, qt.Commentf("during: %v", during))
			b.load(test.n, 2*time.Second, bad)
			after := b.load(test.n, time.Second, bad)
			c.Check(after["t3"] > after["t2"]*4/5, qt.IsTrue, qt.Commentf("after: %v %+v", after, b.pool.Explain(b.now)[3]))
		})
	}
}

// A fault that many targets share looks like a fault of each. If all of them were ejected,
// callers would be refused by a service that can still respond. So at least two thirds
// of the targets must stay in use, and a pool of two must never eject one.
func TestMaxEjected(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		bad     int
		do      behavior
		out     int // limit of ejected targets at the end
	}{
		{"all fail", 6, 6, always(ms, pool.Failed), 0},
		{"all are slow", 6, 6, slowBy(10), 0},
		{"half refuse connections", 6, 3, always(ms, pool.ConnectFailed), 2},
		{"all refuse connections", 6, 6, always(ms, pool.ConnectFailed), 0},
		{"one of two fails", 2, 1, always(ms, pool.Failed), 0},
		{"a single target fails", 1, 1, always(ms, pool.Failed), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			list := targets(test.targets)
			b := newHarness(c, "", pool.Config{}, list)
			bad := map[string]behavior{}
			for i := range test.bad {
				bad[list[i].ID] = during(time.Second, time.Hour, test.do)
			}
			most := int(0.34 * float64(test.targets))
			for i := range 32 {
				b.load(2*test.targets, 500*ms, bad)
				c.Check(b.ejectedCount() <= most, qt.IsTrue, qt.Commentf("after %d", i))
			}
			c.Check(b.ejectedCount() <= test.out, qt.IsTrue, qt.Commentf("%+v", b.pool.Explain(b.now)))
		})
	}
}

func (b *harness) ejectedCount() (n int) {
	for _, r := range b.pool.Explain(b.now) {
		if len(r.Why) > 7 && r.Why[:7] == "ejected" {
			n++
		}
	}
	return n
}

// All targets stall for ten seconds while requests are queued, then continue. The queue does
// not advance meanwhile. If the mean interval between completions included the stall, every
// request that finds the slots full would be refused, permanently, because the interval is
// measured only while requests are queued.
func TestQueueIntervalRecovers(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "", pool.Config{}, targets(3))
	stalled := func(at time.Duration, n int) (time.Duration, pool.Outcome) {
		if at > time.Second && at < 11*time.Second {
			return 11*time.Second - at, pool.Served
		}
		return normal(at, n)
	}
	bad := map[string]behavior{"t0": stalled, "t1": stalled, "t2": stalled}
	b.load(20, 12*time.Second, bad)
	b.refused = 0
	b.load(20, time.Second, nil)
	c.Check(b.refused, qt.Equals, 0)
}

// A new target is slow at first, and many requests sent to it at the same time would be
// delayed. It must get one request at a time until it is warmed up.
func TestColdTarget(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "", pool.Config{}, targets(4))
	b.load(8, 500*ms, nil)
	b.record(b.pool.SetTargets(b.now, targets(5), nil))
	for range 8 {
		b.load(10, ms/4, nil)
		c.Check(b.pool.Explain(b.now)[4].InFlight <= 1, qt.IsTrue)
	}
	got := b.load(8, time.Second, nil)
	c.Check(got["t4"] > got["t1"]*4/5, qt.IsTrue, qt.Commentf("%v", got))
}

// The wall clock of a VM steps back. Without correction, requests would be refused because
// their deadlines lie before the pool's time, targets with requests in flight would look
// stuck, a leaving target would be used again, and an ejected one would get its trial an
// hour late.
func TestClockStepsBack(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -ms} {
		c := qt.New(t)
		b := newHarness(c, "", pool.Config{}, targets(6))
		bad := map[string]behavior{"t1": during(500*ms, time.Second, always(ms, pool.Failed))}
		b.load(8, time.Second, bad)
		c.Check(b.ejectedCount(), qt.Equals, 1)
		b.pool.MarkLeaving(b.now, "t0", 1, nil)
		for i := range b.dispatches {
			b.dispatches[i].end = b.dispatches[i].end.Add(step)
		}
		b.now = b.now.Add(step)
		got := b.load(30, 2*time.Second, nil)
		c.Check(b.ejectedCount(), qt.Equals, 0)
		c.Check(got["t0"], qt.Equals, 0)
		c.Check(got["t1"] > 100, qt.IsTrue)
		c.Check(b.refused, qt.Equals, 0)
	}
}
