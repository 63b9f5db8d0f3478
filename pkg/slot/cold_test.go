package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/quota"
)

// newColdHarness returns a harness for targets that can serve 3.4 requests per second for
// 3 s after a start. The bound is 13 requests within a second, and this entry is the only
// sender.
func newColdHarness(list []Target) *harness {
	h := newHarness(0)
	h.SetWarmup(h.now, Warmup{Bound: quota.NewColdBound(3.4, 1.5, 8), Duration: 3 * time.Second})
	h.SetSenders(h.now, quota.NewSenders([]string{"a"}, "a"))
	h.now = h.now.Add(2 * quota.ColdSpan)
	h.SetTargets(h.now, list, nil)
	h.now = h.now.Add(2 * quota.ColdSpan)
	return h
}

// step submits a request and completes those that have run for serviceTime. Probed targets
// report only this entry's requests as running, and the remaining warm-up that cold returns
// unless that is negative.
func (h *harness) step(cold func(id string) time.Duration) (sent, refused []Action) {
	var out []Action
	for id, d := range h.dispatches {
		if h.now.Sub(d.sent) >= h.serviceTime {
			out = h.Done(h.now, Completion{ID: id, Report: Report{Load: Load{Running: d.member.inFlight, Slots: 2, Pace: 1}, HasLoad: true}}, out)
		}
	}
	out = h.Tick(h.now, out)
	_, submitted := h.arrive()
	out = append(out, submitted...)
	for _, a := range actionsOf(out, SendProbe) {
		remaining := cold(a.Target.ID)
		out = append(out, h.ProbeDone(h.now, ProbeResult{
			Target: a.Target.ID, Report: Report{Load: Load{Running: h.members[a.Target.ID].inFlight, Slots: 2, Pace: 1}, HasLoad: true},
			Healthy: true, ColdFor: remaining, ColdKnown: remaining >= 0,
		}, nil)...)
	}
	return actionsOf(out, Dispatch), actionsOf(out, Refuse)
}

// The targets of a failure domain come back cold while the load exceeds what the warm ones
// can serve. No cold target may get more than its bound within any second, whichever way the
// balancer learns that it is cold. Above the bound it would crash with all requests that it
// runs.
func TestColdTargetsStayWithinBound(t *testing.T) {
	const most, work, cold = 13, 10 * time.Millisecond, 4
	reported := func(remaining time.Duration) time.Duration { return remaining }
	unreported := func(time.Duration) time.Duration { return -1 }
	tests := []struct {
		name     string
		makeCold func(h *harness)                            // makes the first targets cold
		reports  func(remaining time.Duration) time.Duration // what they report when they are probed
	}{
		{"reported by records", func(h *harness) {
			list := targets(cold+1, 0)
			for i := range cold {
				list[i].WarmAt = h.now.Add(3 * time.Second)
			}
			h.SetTargets(h.now, list, nil)
		}, unreported},
		{"reported by probe answers only", func(*harness) {}, reported},
		{"evacuation ended, not reported", func(h *harness) {
			h.SetTargets(h.now, targets(cold+1, cold), nil)
			h.now = h.now.Add(5 * time.Second)
			h.SetTargets(h.now, targets(cold+1, 0), nil)
		}, unreported},
		{"restarted under the same IDs", func(h *harness) {
			list := targets(cold+1, 0)
			for i := range cold {
				list[i].StartedMillis, list[i].WarmAt = 7, h.now.Add(3*time.Second)
			}
			h.SetTargets(h.now, list, nil)
		}, reported},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			h := newColdHarness(targets(cold+1, 0))
			h.serviceTime = work
			for range 500 {
				h.now = h.now.Add(work)
				h.step(func(string) time.Duration { return 0 })
			}
			for id := range h.dispatches {
				h.Done(h.now, Completion{ID: id, Outcome: Cancelled}, nil)
			}
			h.now = h.now.Add(2 * quota.ColdSpan)
			tt.makeCold(h)
			until := h.now.Add(3 * time.Second)
			arrivals := make(map[string][]time.Time)
			warm := 0
			for h.now.Before(until) {
				h.now = h.now.Add(3 * time.Millisecond)
				sent, _ := h.step(func(id string) time.Duration {
					if id == "t4" {
						return 0
					}
					return tt.reports(until.Sub(h.now))
				})
				for _, a := range sent {
					if a.Target.ID == "t4" {
						warm++
						continue
					}
					list := append(arrivals[a.Target.ID], h.now)
					for h.now.Sub(list[0]) >= time.Second {
						list = list[1:]
					}
					arrivals[a.Target.ID] = list
					c.Assert(len(list) <= most, qt.IsTrue, qt.Commentf("%d at %s", len(list), a.Target.ID))
				}
			}
			c.Assert(arrivals, qt.HasLen, cold, qt.Commentf("cold targets are of use"))
			c.Assert(warm > 300, qt.IsTrue, qt.Commentf("%d served by the warm one", warm))
		})
	}
}

// All targets of a service are cold. Callers must get as many responses as the bound allows.
// The other requests must be refused at once, with the time of the next free share.
func TestAllCold(t *testing.T) {
	c := qt.New(t)
	list := targets(2, 0)
	h := newColdHarness(nil)
	for i := range list {
		list[i].WarmAt = h.now.Add(time.Minute)
	}
	h.SetTargets(h.now, list, nil)
	h.now = h.now.Add(2 * quota.ColdSpan)
	served, refusals := 0, 0
	began := h.now
	for h.now.Sub(began) < 10*time.Second {
		h.now = h.now.Add(10 * time.Millisecond)
		sent, refused := h.step(func(string) time.Duration { return time.Minute })
		served += len(sent)
		refusals += len(refused)
		for _, a := range refused {
			c.Assert(a.Reason, qt.Not(qt.Equals), NoTarget)
			c.Assert(a.RetryAfter > 0 && a.RetryAfter < 2*quota.ColdSpan, qt.IsTrue, qt.Commentf("%v", a.RetryAfter))
		}
	}
	pending, _ := h.RequestCounts()
	c.Assert(served+refusals+pending, qt.Equals, 1000, qt.Commentf("each is served or refused at once"))
	c.Assert(served >= 80, qt.IsTrue, qt.Commentf("%d", served))
}

// Two requests wait for the only target, which is cold and has used up its share. The more
// urgent one, which arrived last, must be dispatched first.
func TestUrgentRequestFirstAtColdTarget(t *testing.T) {
	c := qt.New(t)
	h := newColdHarness(nil)
	list := targets(1, 0)
	list[0].WarmAt = h.now.Add(time.Minute)
	h.SetTargets(h.now, list, nil)
	h.now = h.now.Add(2 * quota.ColdSpan)
	for range 13 {
		h.now = h.now.Add(time.Millisecond)
		h.members["t0"].coldLimiter.RecordSent(h.now)
	}
	for _, priority := range []int{2, 0} {
		h.lastID++
		out := h.Submit(h.now, Request{
			ID: h.lastID, Arrived: h.now, Objective: h.now.Add(5 * time.Second), Deadline: h.now.Add(6 * time.Second), Priority: priority,
		}, nil)
		c.Assert(out, qt.HasLen, 0)
	}
	var sent []Action
	for range 1000 {
		if len(sent) > 0 {
			break
		}
		h.now = h.NextTick()
		out := h.Tick(h.now, nil)
		for _, a := range actionsOf(out, SendProbe) {
			out = append(out, h.replyLoad(a.Target.ID, 1, 0)...)
		}
		sent = actionsOf(out, Dispatch)
	}
	c.Assert(sent[0].ID, qt.Equals, h.lastID)
}

// An isolated entry must send nothing to a cold target, since the other entries use its
// bound.
func TestIsolatedEntrySkipsColdTargets(t *testing.T) {
	c := qt.New(t)
	list := targets(4, 0)
	h := newColdHarness(nil)
	list[0].WarmAt = h.now.Add(time.Minute)
	h.SetTargets(h.now, list, nil)
	h.SetSenders(h.now, quota.NewSenders(nil, "a"))
	for range 500 {
		h.now = h.now.Add(10 * time.Millisecond)
		sent, _ := h.step(func(id string) time.Duration {
			if id == "t0" {
				return time.Minute
			}
			return 0
		})
		c.Assert(sent, qt.HasLen, 1)
		c.Assert(sent[0].Target.ID, qt.Not(qt.Equals), "t0")
	}
}

// A warm target becomes cold again under the same ID. The record of that must not count as
// equivalent, and one that repeats the same warm-up must.
func TestEquivalentDetectsNewWarmup(t *testing.T) {
	at := start.Add(3 * time.Second)
	tests := []struct {
		name   string
		before time.Time
		after  time.Time
		same   bool
	}{
		{"still warm", time.Time{}, time.Time{}, true},
		{"the same warm-up, read later", at, at.Add(800 * time.Millisecond), true},
		{"ended", at, time.Time{}, true},
		{"cold for the first time", time.Time{}, at, false},
		{"cold again", at, at.Add(4 * time.Second), false},
	}
	for _, tt := range tests {
		qt.Check(t, Equivalent(Target{WarmAt: tt.before}, Target{WarmAt: tt.after}), qt.Equals, tt.same, qt.Commentf("%s", tt.name))
	}
}

// BenchmarkSubmitEvacuatedAndCold measures a decision among 300 targets: 17 us if all are
// warm and in use, 14 us if 100 are evacuated and 50 cold, with 3 allocations each. An
// earlier version without evacuations and shares took 18.6 us and 3 allocations if all were
// in use.
func BenchmarkSubmitEvacuatedAndCold(b *testing.B) {
	for _, bb := range []struct {
		name            string
		evacuated, cold int
	}{{"all", 0, 0}, {"some", 100, 50}} {
		b.Run(bb.name, func(b *testing.B) {
			h := newHarness(0)
			h.now = time.Now()
			var names []string
			for i := range 12 {
				names = append(names, fmt.Sprint("e", i))
			}
			list := targets(300, bb.evacuated)
			for i := range list[:bb.evacuated+bb.cold] {
				list[i].WarmAt = h.now.Add(time.Hour)
			}
			h.SetWarmup(h.now, Warmup{Bound: quota.NewColdBound(3.4, 1.5, 8), Duration: 3 * time.Second})
			h.SetSenders(h.now, quota.NewSenders(names, "e0"))
			h.SetTargets(h.now, list, nil)
			rnd := rand.New(rand.NewPCG(4, 4))
			for i := range list {
				h.replyLoad(list[i].ID, 1+rnd.Float64(), 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				id, out := h.arrive()
				for _, a := range out {
					if a.Kind == SendProbe {
						h.replyLoad(a.Target.ID, 1, 0)
					}
				}
				h.Done(h.now, Completion{ID: id}, nil)
			}
		})
	}
}
