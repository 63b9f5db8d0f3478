package slot

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/quota"
)

// limitHarness is a harness whose targets report limits, in requests per second.
type limitHarness struct {
	*harness
	limits map[string]float64
	// dispatchTimes holds the times of the requests to each target.
	dispatchTimes map[string][]time.Time
}

func newLimitHarness(targets int, limits map[string]float64) *limitHarness {
	h := &limitHarness{harness: newHarness(targets), limits: limits, dispatchTimes: make(map[string][]time.Time)}
	h.serviceTime = 60 * time.Millisecond
	h.SetSenders(h.now, quota.NewSenders([]string{"a"}, "a"))
	return h
}

func (h *limitHarness) report(id string) Report {
	rate, limited := h.limits[id]
	return Report{Load: Load{Slots: 2, Pace: 1}, HasLoad: true, Limit: rate, HasLimit: limited, Unlimited: !limited}
}

// step completes requests that have run for serviceTime, and answers probes.
func (h *limitHarness) step(out []Action) []Action {
	h.now = h.now.Add(5 * time.Millisecond)
	for id, d := range h.dispatches {
		if h.now.Sub(d.sent) >= h.serviceTime {
			out = h.Done(h.now, Completion{ID: id, Report: h.report(d.member.ID)}, out)
		}
	}
	out = h.Tick(h.now, out)
	for {
		probed := actionsOf(out, SendProbe)
		if len(probed) == 0 {
			break
		}
		out = slices.DeleteFunc(out, func(a Action) bool { return a.Kind == SendProbe })
		for _, a := range probed {
			r := h.report(a.Target.ID)
			if m := h.members[a.Target.ID]; m != nil {
				r.Load.Running = m.inFlight
			}
			out = h.ProbeDone(h.now, ProbeResult{Target: a.Target.ID, Report: r, Healthy: true}, out)
		}
	}
	for _, a := range actionsOf(out, Dispatch) {
		h.dispatchTimes[a.Target.ID] = append(h.dispatchTimes[a.Target.ID], h.now)
	}
	return out
}

// One of three targets reports a limit. It must get no more than that, the others must serve
// the rest, and soon after the limit has ended it must get more than half as many requests
// as another one.
func TestLimitedTargetAmongOthers(t *testing.T) {
	c := qt.New(t)
	h := newLimitHarness(3, nil)
	run := func(d time.Duration) (refused int) {
		for end := h.now.Add(d); h.now.Before(end); {
			_, out := h.arrive()
			out = h.step(out)
			refused += len(actionsOf(out, Refuse))
			h.step(nil)
			h.step(nil)
			h.step(nil)
		}
		return refused
	}
	run(5 * time.Second)
	h.limits = map[string]float64{"t0": 2}
	from := h.now.Add(500 * time.Millisecond)
	refused := run(20 * time.Second)
	c.Assert(refused, qt.Equals, 0)
	most := 0
	runs := slices.DeleteFunc(slices.Clone(h.dispatchTimes["t0"]), func(at time.Time) bool { return at.Before(from) })
	for i := range runs {
		for i-most >= 0 && runs[i].Sub(runs[i-most]) <= 4*time.Second {
			most++
		}
	}
	c.Assert(most <= 9, qt.IsTrue, qt.Commentf("%d in 4 s", most))
	c.Assert(len(runs) >= 25, qt.IsTrue, qt.Commentf("%d in 19.5 s", len(runs)))
	h.limits = nil
	run(2 * time.Second)
	before := map[string]int{"t0": len(h.dispatchTimes["t0"]), "t1": len(h.dispatchTimes["t1"])}
	run(time.Second)
	one, other := len(h.dispatchTimes["t0"])-before["t0"], len(h.dispatchTimes["t1"])-before["t1"]
	c.Assert(2*one > other, qt.IsTrue, qt.Commentf("%d in a second, another one gets %d", one, other))
}

// All targets have limits, and five times as many requests arrive as these allow. Of the
// requests that can't be served in time, nine in ten must be refused at once, and urgent
// ones must be served first.
func TestAllLimited(t *testing.T) {
	c := qt.New(t)
	h := newLimitHarness(4, map[string]float64{"t0": 3, "t1": 3, "t2": 3, "t3": 3})
	const load, objective = 30 * time.Second, 250 * time.Millisecond
	arrived := make(map[uint64]time.Time)
	var served [2]int // by priority
	refused, waited := 0, 0
	count := func(out []Action) {
		for _, a := range out {
			switch a.Kind {
			case Dispatch:
				served[a.ID%2]++
			case Refuse:
				refused++
				c.Assert(a.RetryAfter > 0 && a.RetryAfter <= time.Second, qt.IsTrue, qt.Commentf("%v", a.RetryAfter))
				if took := h.now.Sub(arrived[a.ID]); took > objective/8 {
					waited++
				}
			}
		}
	}
	for end := h.now.Add(load); h.now.Before(end); {
		h.lastID++
		arrived[h.lastID] = h.now
		count(h.step(h.Submit(h.now, Request{
			ID: h.lastID, Arrived: h.now, Objective: h.now.Add(objective), Deadline: h.now.Add(2 * time.Second), Priority: int(h.lastID % 2),
		}, nil)))
		count(h.step(nil))
		count(h.step(nil))
	}
	c.Logf("served %v, refused %d, after a wait %d", served, refused, waited)
	c.Assert(served[0]+served[1] >= 300, qt.IsTrue, qt.Commentf("%v of 360 that the limits allow", served))
	c.Assert(served[0] > 3*served[1], qt.IsTrue, qt.Commentf("%v", served))
	c.Assert(waited*10 <= refused, qt.IsTrue, qt.Commentf("%d of %d", waited, refused))
}

// The response to a request that was sent before the last response with the limit is read
// after it, and must not end or raise the limit. Neither must a failure without a
// response, or a probe response of a target that reports its limit only to requests.
func TestStaleResponseKeepsLimit(t *testing.T) {
	tests := []struct {
		name  string
		sent  time.Duration // relative to the last response with the limit
		r     Report
		probe bool // the response to a probe
		named bool
		rate  float64
	}{
		{"sent before", -time.Millisecond, Report{Unlimited: true}, false, true, 2},
		{"sent before, higher limit", -time.Millisecond, Report{HasLimit: true, Limit: 5}, false, true, 2},
		{"sent before, lower limit", -time.Millisecond, Report{HasLimit: true, Limit: 1}, false, true, 1},
		{"sent after", time.Millisecond, Report{Unlimited: true}, false, false, 0},
		{"sent after, higher limit", time.Millisecond, Report{HasLimit: true, Limit: 5}, false, true, 5},
		{"no response", time.Millisecond, Report{}, false, true, 2},
		{"probe, answers never report the limit", time.Millisecond, Report{Unlimited: true}, true, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newTargetLimit("t0")
			l.update(start, start, Report{HasLimit: true, Limit: 2}, false)
			sent := start.Add(tt.sent)
			l.update(start.Add(time.Second), sent, tt.r, tt.probe)
			qt.Assert(t, l.set, qt.Equals, tt.named)
			qt.Assert(t, l.rate, qt.Equals, tt.rate)
		})
	}
}

// An entry without a share of a limited target sends nothing to it and so gets no responses.
// It must probe the target, and send again once the limit has ended.
func TestLimitEndsAtAnEntryWithoutAShare(t *testing.T) {
	c := qt.New(t)
	h := newLimitHarness(1, map[string]float64{"t0": 2})
	h.SetSenders(h.now, quota.NewSenders([]string{"b", "c"}, "a"))
	_, out := h.arrive()
	h.step(out)
	for range 40 {
		h.step(nil)
	}
	_, out = h.arrive()
	refused := actionsOf(h.step(out), Refuse)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, Limited)
	h.limits = nil
	for range 120 {
		h.step(nil)
	}
	_, out = h.arrive() // sends a probe
	h.step(out)
	_, out = h.arrive()
	c.Assert(actionsOf(h.step(out), Dispatch), qt.HasLen, 1)
}
