package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
)

const ms = time.Millisecond

// how is what a target does with a request that reaches it at a time.
type how func(at time.Duration, n int) (took time.Duration, kind pool.Kind)

// usual spreads answers over 2 to 10 ms.
func usual(_ time.Duration, n int) (time.Duration, pool.Kind) {
	return 2*ms + time.Duration(uint32(n)*2654435761>>8%9)*ms, pool.Served
}

func slowBy(factor int) how {
	return func(at time.Duration, n int) (time.Duration, pool.Kind) {
		took, kind := usual(at, n)
		return time.Duration(factor) * took, kind
	}
}

func ends(took time.Duration, kind pool.Kind) how {
	return func(time.Duration, int) (time.Duration, pool.Kind) { return took, kind }
}

// during makes a target behave otherwise from one time to another.
func during(from, to time.Duration, bad how) how {
	return func(at time.Duration, n int) (time.Duration, pool.Kind) {
		if at >= from && at < to {
			return bad(at, n)
		}
		return usual(at, n)
	}
}

type flight struct {
	id     uint64
	target string
	end    time.Time
	kind   pool.Kind
}

// load keeps n requests with the pool for a while, and returns how many each
// target got in it.
func (b *bed) load(n int, whole time.Duration, targets map[string]how) map[string]int {
	got := map[string]int{}
	until := b.now.Add(whole)
	take := func(out []pool.Action) {
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
				do = usual
			}
			took, kind := do(b.now.Sub(start), int(a.ID))
			b.flights = append(b.flights, flight{a.ID, a.Target, b.now.Add(took), kind})
		}
	}
	for ; b.now.Before(until); b.now = b.now.Add(ms / 4) {
		for i := 0; i < len(b.flights); i++ {
			f := b.flights[i]
			if f.end.After(b.now) {
				continue
			}
			b.flights = append(b.flights[:i], b.flights[i+1:]...)
			i--
			take(b.pool.Done(b.now, pool.Answer{ID: f.id, Kind: f.kind}, nil))
		}
		take(b.pool.Tick(b.now, nil))
		for queued, inFlight := b.pool.Len(); queued+inFlight < n; queued, inFlight = b.pool.Len() {
			b.id++
			out := b.pool.Arrive(b.now, pool.Arrival{ID: b.id, Deadline: b.now.Add(time.Minute), Idempotent: true}, nil)
			take(out)
			if len(out) > 0 && out[0].Kind == pool.Refuse {
				b.refused++
				break
			}
		}
	}
	return got
}

// probe answers at once; only a target that refuses connections looks bad.
func (b *bed) probe(target string, do how) {
	ok := true
	if do != nil {
		_, kind := do(b.now.Sub(start), 0)
		ok = kind != pool.RefusedConn
	}
	b.pool.Probed(b.now, pool.Probed{Target: target, OK: ok}, nil)
}

// A target turns bad without a word, at 1 s; callers would see its delays and
// errors. Its answers, or its silence, compare badly with those of the others;
// it is taken out but for trials, and used fully again 2 s after its recovery.
func TestEjection(t *testing.T) {
	tests := []struct {
		name string
		bad  how
		n    int // requests with the pool at any time
		most int // requests that it may get in 2 s, of some 4000
	}{
		{"ten times slower", slowBy(10), 10, 40},
		{"five times slower", slowBy(5), 10, 80},
		{"stuck for the whole time", func(at time.Duration, _ int) (time.Duration, pool.Kind) { return 3*time.Second - at, pool.Served }, 10, 4},
		{"stuck under full load", func(at time.Duration, _ int) (time.Duration, pool.Kind) { return 3*time.Second - at, pool.Served }, 40, 5},
		{"fails fast", ends(ms, pool.Failed), 10, 20},
		{"refuses connections", ends(ms/2, pool.RefusedConn), 10, 16},
		{"breaks off", ends(ms, pool.Broken), 10, 16},
		{"sheds all", ends(ms/2, pool.Shed), 10, 24},
		{"times out", ends(200*ms, pool.TimedOut), 10, 16},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := bedOf(c, "", pool.Config{}, targets(8))
			bad := map[string]how{"t3": during(time.Second, 3*time.Second, test.bad)}
			before := b.load(test.n, time.Second, bad)
			c.Check(before["t3"] > 100, qt.IsTrue, qt.Commentf("before: %v", before))
			during := b.load(test.n, 2*time.Second, bad)
			c.Check(during["t3"] <= test.most, qt.IsTrue, qt.Commentf("during: %v", during))
			b.load(test.n, 2*time.Second, bad)
			after := b.load(test.n, time.Second, bad)
			c.Check(after["t3"] > after["t2"]*4/5, qt.IsTrue, qt.Commentf("after: %v %+v", after, b.pool.Explain(b.now)[3]))
		})
	}
}

// A fault that many targets share looks like the fault of each. Were all of
// them taken out, callers would be refused by a service that could still
// answer; so at least two thirds stay in, and a pool of two never ejects.
func TestFloor(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		bad     int
		do      how
		out     int // at most
	}{
		{"all fail", 6, 6, ends(ms, pool.Failed), 0},
		{"all are slow", 6, 6, slowBy(10), 0},
		{"half refuse connections", 6, 3, ends(ms, pool.RefusedConn), 2},
		{"all refuse connections", 6, 6, ends(ms, pool.RefusedConn), 0},
		{"one of two fails", 2, 1, ends(ms, pool.Failed), 0},
		{"the only one fails", 1, 1, ends(ms, pool.Failed), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			list := targets(test.targets)
			b := bedOf(c, "", pool.Config{}, list)
			bad := map[string]how{}
			for i := range test.bad {
				bad[list[i].ID] = during(time.Second, time.Hour, test.do)
			}
			most := int(0.34 * float64(test.targets))
			for i := range 32 {
				b.load(2*test.targets, 500*ms, bad)
				c.Check(b.outs() <= most, qt.IsTrue, qt.Commentf("after %d", i))
			}
			c.Check(b.outs() <= test.out, qt.IsTrue, qt.Commentf("%+v", b.pool.Explain(b.now)))
		})
	}
}

func (b *bed) outs() (n int) {
	for _, r := range b.pool.Explain(b.now) {
		if len(r.Why) > 7 && r.Why[:7] == "ejected" {
			n++
		}
	}
	return n
}

// All targets stand still for ten seconds with requests queued, then go on. The
// pace of the queue was nil meanwhile; taken for the pace of now, it would have
// every caller refused who finds the slots full, for ever, since only a queue
// shows the pace.
func TestPaceRecovers(t *testing.T) {
	c := qt.New(t)
	b := bedOf(c, "", pool.Config{}, targets(3))
	still := func(at time.Duration, n int) (time.Duration, pool.Kind) {
		if at > time.Second && at < 11*time.Second {
			return 11*time.Second - at, pool.Served
		}
		return usual(at, n)
	}
	bad := map[string]how{"t0": still, "t1": still, "t2": still}
	b.load(20, 12*time.Second, bad)
	b.refused = 0
	b.load(20, time.Second, nil)
	c.Check(b.refused, qt.Equals, 0)
}

// A new target is slow at first; callers sent there in numbers would all wait.
// It gets one request at a time until it is warm.
func TestCold(t *testing.T) {
	c := qt.New(t)
	b := bedOf(c, "", pool.Config{}, targets(4))
	b.load(8, 500*ms, nil)
	b.act(b.pool.Targets(b.now, targets(5), nil))
	for range 8 {
		b.load(10, ms/4, nil)
		c.Check(b.pool.Explain(b.now)[4].InFlight <= 1, qt.IsTrue)
	}
	got := b.load(8, time.Second, nil)
	c.Check(got["t4"] > got["t1"]*4/5, qt.IsTrue, qt.Commentf("%v", got))
}

// The wall clock of a VM steps back. Callers would be refused, since their
// deadlines lie before the time that the pool has seen; targets with a request
// in flight would look stuck, a leaving one would come back, and one that is out
// would have its trial an hour later.
func TestClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -ms} {
		c := qt.New(t)
		b := bedOf(c, "", pool.Config{}, targets(6))
		bad := map[string]how{"t1": during(500*ms, time.Second, ends(ms, pool.Failed))}
		b.load(8, time.Second, bad)
		c.Check(b.outs(), qt.Equals, 1)
		b.pool.Leave(b.now, "t0", 1, nil)
		for i := range b.flights {
			b.flights[i].end = b.flights[i].end.Add(step)
		}
		b.now = b.now.Add(step)
		got := b.load(30, 2*time.Second, nil)
		c.Check(b.outs(), qt.Equals, 0)
		c.Check(got["t0"], qt.Equals, 0)
		c.Check(got["t1"] > 100, qt.IsTrue)
		c.Check(b.refused, qt.Equals, 0)
	}
}
