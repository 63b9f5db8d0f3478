package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
)

var start = time.Unix(1000, 0)

// harness drives a pool with simulated targets.
type harness struct {
	pool    pool.Balancer
	now     time.Time
	id      uint64
	sent    map[uint64]string
	actions []pool.Action

	dispatches []dispatched
	refused    int
}

func targets(n int) (list []pool.Target) {
	for i := range n {
		list = append(list, pool.Target{ID: fmt.Sprintf("t%d", i), Boot: 1, Slots: 2})
	}
	return list
}

func newHarness(c *qt.C, name string, cfg pool.Config, list []pool.Target) *harness {
	p, err := pool.NewBalancer(name, cfg, rand.New(rand.NewPCG(1, 2)))
	c.Assert(err, qt.IsNil)
	b := &harness{pool: p, now: start, sent: map[uint64]string{}}
	b.record(p.SetTargets(start, list, nil))
	return b
}

func (b *harness) record(out []pool.Action) []pool.Action {
	for _, a := range out {
		if a.Kind == pool.Dispatch {
			b.sent[a.ID] = a.Target
		}
	}
	b.actions = append(b.actions, out...)
	return out
}

func (b *harness) arrive(in time.Duration) (id uint64, out []pool.Action) {
	b.id++
	a := pool.Arrival{ID: b.id, Deadline: b.now.Add(in), Idempotent: true}
	return b.id, b.record(b.pool.Submit(b.now, a, nil))
}

func (b *harness) done(id uint64, outcome pool.Outcome) []pool.Action {
	delete(b.sent, id)
	return b.record(b.pool.Done(b.now, pool.Completion{ID: id, Outcome: outcome}, nil))
}

// serve runs n requests in sequence, each with the response time and outcome of its
// target, and returns the number of requests that each target got.
func (b *harness) serve(n int, took func(string) (time.Duration, pool.Outcome)) map[string]int {
	got := map[string]int{}
	for range n {
		id, _ := b.arrive(time.Minute)
		target, ok := b.sent[id]
		if !ok {
			b.now = b.now.Add(time.Millisecond)
			b.record(b.pool.Cancel(b.now, id, nil))
			continue
		}
		got[target]++
		d, outcome := took(target)
		b.now = b.now.Add(d)
		b.done(id, outcome)
	}
	return got
}

func steady(string) (time.Duration, pool.Outcome) { return 5 * time.Millisecond, pool.Served }

func TestNewBalancer(t *testing.T) {
	c := qt.New(t)
	for _, name := range pool.PolicyNames() {
		b := newHarness(c, name, pool.Config{}, targets(4))
		got := b.serve(400, steady)
		c.Check(got, qt.HasLen, 4, qt.Commentf(name))
	}
	_, err := pool.NewBalancer("best", pool.Config{}, nil)
	c.Assert(err, qt.ErrorMatches, `pool: policy: found "best", expected one of .*`)
}

// Requests arrive while all slots are taken. Each must be refused at once, or queued and
// then dispatched or refused exactly once. The earliest deadline gets the next slot, and
// requests that can't meet their deadline any more are refused.
func TestQueue(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name      string
		cfg       pool.Config
		deadlines []time.Duration
		wait      time.Duration // before slots become free
		dispatch  []uint64      // expected order, without the first two requests
		refuse    map[uint64]pool.Reason
	}{
		{"by deadline", pool.Config{}, []time.Duration{900 * ms, 500 * ms}, 0, []uint64{4, 3}, nil},
		{"by arrival at equal deadlines", pool.Config{}, []time.Duration{900 * ms, 900 * ms}, 0, []uint64{3, 4}, nil},
		{"too late on arrival", pool.Config{}, []time.Duration{ms}, 0, nil, map[uint64]pool.Reason{3: pool.TooLate}},
		{"too late in the queue", pool.Config{}, []time.Duration{30 * ms, 900 * ms}, 40 * ms, []uint64{4}, map[uint64]pool.Reason{3: pool.DeadlineNear}},
		{"queue full", pool.Config{MaxQueue: 1}, []time.Duration{900 * ms, 900 * ms}, 0, []uint64{3}, map[uint64]pool.Reason{4: pool.QueueFull}},
		{"wait too long", pool.Config{MaxWait: 4 * ms}, []time.Duration{900 * ms, 900 * ms}, 0, []uint64{3}, map[uint64]pool.Reason{4: pool.QueueFull}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.cfg.Allowance = -1
			b := newHarness(c, "", test.cfg, targets(1))
			b.arrive(time.Minute)
			b.arrive(time.Minute)
			for _, d := range test.deadlines {
				b.arrive(d)
			}
			b.now = b.now.Add(test.wait)
			b.record(b.pool.Tick(b.now, nil))
			for id := range uint64(4) {
				b.done(id+1, pool.Served)
			}
			var order []uint64
			refused := map[uint64]pool.Reason{}
			for _, a := range b.actions {
				switch {
				case a.Kind == pool.Dispatch && a.ID > 2:
					order = append(order, a.ID)
				case a.Kind == pool.Refuse:
					refused[a.ID] = a.Reason
					c.Check(a.RetryAfter > 0, qt.IsTrue)
				}
			}
			c.Check(order, qt.DeepEquals, test.dispatch)
			c.Check(len(refused), qt.Equals, len(test.refuse))
			for id, r := range test.refuse {
				c.Check(refused[id], qt.Equals, r)
			}
		})
	}
}

// A leaving target must get no new requests from the first notice on, regardless of its
// source, while an outdated list still shows the target as live. A new incarnation is a
// new target.
func TestLeaving(t *testing.T) {
	list := targets(3)
	with := func(state pool.State, boot uint64) []pool.Target {
		l := targets(3)
		l[0].State, l[0].Boot = state, boot
		return l
	}
	tests := []struct {
		name   string
		notify func(b *harness)
		after  []pool.Target
		wait   time.Duration
		back   bool
	}{
		{"own announcement", announceLeaving, list, 0, false},
		{"peer or store", func(b *harness) { b.pool.MarkLeaving(b.now, "t0", 1, nil) }, list, 0, false},
		{"list shows it as leaving", func(b *harness) { b.pool.SetTargets(b.now, with(pool.Leaving, 1), nil) }, list, 0, false},
		{"list shows it as gone", func(b *harness) { b.pool.SetTargets(b.now, with(pool.Gone, 1), nil) }, list, 0, false},
		{"not in the list", func(b *harness) { b.pool.SetTargets(b.now, list[1:], nil) }, list[1:], 0, false},
		{"old list after 30 s", announceLeaving, list, 30 * time.Second, false},
		{"notice expires", announceLeaving, list, 61 * time.Second, true},
		{"new incarnation", announceLeaving, with(pool.Live, 2), 0, true},
		{"notice of another incarnation", func(b *harness) { b.pool.MarkLeaving(b.now, "t0", 7, nil) }, list, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newHarness(c, "", pool.Config{}, list)
			b.serve(50, steady)
			test.notify(b)
			b.now = b.now.Add(test.wait)
			b.record(b.pool.SetTargets(b.now, test.after, nil))
			b.record(b.pool.Tick(b.now, nil))
			got := b.serve(200, steady)
			c.Check(got["t0"] > 0, qt.Equals, test.back)
			for _, r := range b.pool.Explain(b.now) {
				if r.Target == "t0" && !test.back {
					c.Check(r.Why, qt.Equals, "leaving")
				}
			}
		})
	}
}

// announceLeaving completes a request of t0 with a load report that says that t0 is leaving.
func announceLeaving(b *harness) {
	for {
		id, _ := b.arrive(time.Minute)
		if b.sent[id] != "t0" {
			b.done(id, pool.Served)
			continue
		}
		out := b.pool.Done(b.now, pool.Completion{ID: id, Outcome: pool.Served, Load: pool.Load{Leaving: true}}, nil)
		if len(out) != 1 || out[0].Kind != pool.NoteLeaving || out[0].Boot != 1 {
			panic("no action NoteLeaving")
		}
		return
	}
}

// A driver replaces a pool. The new one must not use a target that announced only to the
// old one that it is leaving.
func TestLeavingNotices(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "", pool.Config{}, targets(3))
	c.Assert(b.pool.LeavingNotices(b.now), qt.HasLen, 0)
	announceLeaving(b)
	c.Assert(b.pool.LeavingNotices(b.now), qt.DeepEquals, []pool.LeavingNotice{{Target: "t0", Boot: 1}})
	next := newHarness(c, "", pool.Config{}, targets(3))
	for _, h := range b.pool.LeavingNotices(b.now) {
		next.pool.MarkLeaving(next.now, h.Target, h.Boot, nil)
	}
	c.Assert(next.serve(100, steady)["t0"], qt.Equals, 0)
	c.Assert(b.pool.LeavingNotices(b.now.Add(time.Hour)), qt.HasLen, 0)
}

// A load report includes requests of other entries, for which this entry must leave room.
// A report that contains only requests of this entry must not reduce the room.
func TestLoadReport(t *testing.T) {
	tests := []struct {
		name   string
		report int // requests reported when one of two own requests completes
		more   int // requests that then can be dispatched at once
	}{
		{"own requests only", 2, 1},
		{"one of another entry", 3, 0},
		{"less than own requests", 0, 1},
	}
	for _, test := range tests {
		c := qt.New(t)
		b := newHarness(c, "", pool.Config{Allowance: -1}, targets(1))
		first, _ := b.arrive(time.Minute)
		b.arrive(time.Minute)
		b.pool.Done(b.now, pool.Completion{ID: first, Load: pool.Load{InFlight: test.report, HasInFlight: true}}, nil)
		_, out := b.arrive(0)
		c.Check(len(out), qt.Equals, 1)
		c.Check(out[0].Kind == pool.Dispatch, qt.Equals, test.more == 1, qt.Commentf(test.name))
	}
}

// At overload, reads would displace writes, whose callers can't simply retry. Requests that
// aren't idempotent must be served first, regardless of deadlines, and must not be refused
// because of queued requests that they precede.
func TestPriority(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "", pool.Config{Allowance: -1, MaxWait: 4 * time.Millisecond}, targets(1))
	running, _ := b.arrive(time.Minute)
	b.arrive(time.Minute)
	read, _ := b.arrive(50 * time.Millisecond)
	_, out := b.arrive(time.Minute)
	c.Assert(out[0].Reason, qt.Equals, pool.QueueFull)
	write := pool.Arrival{ID: 9, Deadline: b.now.Add(time.Minute)}
	c.Assert(b.pool.Submit(b.now, write, nil), qt.HasLen, 0)
	out = b.done(running, pool.Served)
	c.Assert(out[0].ID, qt.Equals, uint64(9))
	out = b.done(9, pool.Served)
	c.Assert(out[0].ID, qt.Equals, read)
}

// A request without a deadline is queued like any other.
func TestNoDeadline(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "", pool.Config{Allowance: -1}, targets(1))
	b.arrive(time.Minute)
	first := b.id
	b.arrive(time.Minute)
	c.Assert(b.pool.Submit(b.now, pool.Arrival{ID: 9}, nil), qt.HasLen, 0)
	out := b.done(first, pool.Served)
	c.Assert(out, qt.HasLen, 1)
	c.Assert(out[0].ID, qt.Equals, uint64(9))
}
