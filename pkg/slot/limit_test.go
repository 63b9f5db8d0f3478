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
	n := &limitHarness{harness: newHarness(targets), limits: limits, dispatchTimes: make(map[string][]time.Time)}
	n.serviceTime = 60 * time.Millisecond
	n.SetSenders(n.now, quota.NewSenders([]string{"a"}, "a"))
	return n
}

func (n *limitHarness) report(id string) Report {
	rate, limited := n.limits[id]
	return Report{Load: Load{Slots: 2, Pace: 1}, HasLoad: true, Limit: rate, HasLimit: limited, Unlimited: !limited}
}

// step completes requests that have run for serviceTime, and answers probes.
func (n *limitHarness) step(out []Action) []Action {
	n.now = n.now.Add(5 * time.Millisecond)
	for id, d := range n.dispatches {
		if n.now.Sub(d.sent) >= n.serviceTime {
			out = n.Done(n.now, Completion{ID: id, Report: n.report(d.member.ID)}, out)
		}
	}
	out = n.Tick(n.now, out)
	for {
		probed := actionsOf(out, SendProbe)
		if len(probed) == 0 {
			break
		}
		out = slices.DeleteFunc(out, func(a Action) bool { return a.Kind == SendProbe })
		for _, a := range probed {
			r := n.report(a.Target.ID)
			if m := n.members[a.Target.ID]; m != nil {
				r.Load.Running = m.inFlight
			}
			out = n.ProbeDone(n.now, ProbeResult{Target: a.Target.ID, Report: r, Healthy: true}, out)
		}
	}
	for _, a := range actionsOf(out, Dispatch) {
		n.dispatchTimes[a.Target.ID] = append(n.dispatchTimes[a.Target.ID], n.now)
	}
	return out
}

// One of three targets reports a limit. It must get no more than that, the others must serve
// the rest, and it must get its normal share soon after the limit has ended.
func TestLimitedTargetAmongOthers(t *testing.T) {
	c := qt.New(t)
	n := newLimitHarness(3, nil)
	run := func(d time.Duration) (refused int) {
		for end := n.now.Add(d); n.now.Before(end); {
			_, out := n.arrive()
			out = n.step(out)
			refused += len(actionsOf(out, Refuse))
			n.step(nil)
			n.step(nil)
			n.step(nil)
		}
		return refused
	}
	run(5 * time.Second)
	n.limits = map[string]float64{"t0": 2}
	from := n.now.Add(500 * time.Millisecond)
	refused := run(20 * time.Second)
	c.Assert(refused, qt.Equals, 0)
	most := 0
	runs := slices.DeleteFunc(slices.Clone(n.dispatchTimes["t0"]), func(at time.Time) bool { return at.Before(from) })
	for i := range runs {
		for i-most >= 0 && runs[i].Sub(runs[i-most]) <= 4*time.Second {
			most++
		}
	}
	c.Assert(most <= 9, qt.IsTrue, qt.Commentf("%d in 4 s", most))
	c.Assert(len(runs) >= 25, qt.IsTrue, qt.Commentf("%d in 19.5 s", len(runs)))
	n.limits = nil
	run(2 * time.Second)
	before := map[string]int{"t0": len(n.dispatchTimes["t0"]), "t1": len(n.dispatchTimes["t1"])}
	run(time.Second)
	one, other := len(n.dispatchTimes["t0"])-before["t0"], len(n.dispatchTimes["t1"])-before["t1"]
	c.Assert(2*one > other, qt.IsTrue, qt.Commentf("%d in a second, another one gets %d", one, other))
}

// All targets have limits, and five times as many requests arrive as these allow. Requests
// that can't be served in time must be refused at once, and urgent ones must be served
// first.
func TestAllLimited(t *testing.T) {
	c := qt.New(t)
	n := newLimitHarness(4, map[string]float64{"t0": 3, "t1": 3, "t2": 3, "t3": 3})
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
				if took := n.now.Sub(arrived[a.ID]); took > objective/8 {
					waited++
				}
			}
		}
	}
	for end := n.now.Add(load); n.now.Before(end); {
		n.lastID++
		arrived[n.lastID] = n.now
		count(n.step(n.Submit(n.now, Request{
			ID: n.lastID, Arrived: n.now, Objective: n.now.Add(objective), Deadline: n.now.Add(2 * time.Second), Priority: int(n.lastID % 2),
		}, nil)))
		count(n.step(nil))
		count(n.step(nil))
	}
	c.Logf("served %v, refused %d, after a wait %d", served, refused, waited)
	c.Assert(served[0]+served[1] >= 300, qt.IsTrue, qt.Commentf("%v of 360 that the limits allow", served))
	c.Assert(served[0] > 3*served[1], qt.IsTrue, qt.Commentf("%v", served))
	c.Assert(waited*10 <= refused, qt.IsTrue, qt.Commentf("%d of %d", waited, refused))
}

// A response from before the limit that is read after the limit was reported must not end or
// raise it.
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
	n := newLimitHarness(1, map[string]float64{"t0": 2})
	n.SetSenders(n.now, quota.NewSenders([]string{"b", "c"}, "a"))
	_, out := n.arrive()
	n.step(out)
	for range 40 {
		n.step(nil)
	}
	_, out = n.arrive()
	refused := actionsOf(n.step(out), Refuse)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, Limited)
	n.limits = nil
	for range 120 {
		n.step(nil)
	}
	_, out = n.arrive() // sends a probe
	n.step(out)
	_, out = n.arrive()
	c.Assert(actionsOf(n.step(out), Dispatch), qt.HasLen, 1)
}
