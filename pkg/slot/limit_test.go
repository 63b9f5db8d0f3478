package slot

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/quota"
)

// limitHarness is a harness whose targets report limits, in requests per second.
type needy struct {
	*desk
	limits map[string]float64
	// dispatchTimes holds the times of the requests to each target.
	answers map[string][]time.Time
}

func newNeedy(targets int, limits map[string]float64) *needy {
	n := &needy{desk: newDesk(targets), limits: limits, answers: make(map[string][]time.Time)}
	n.work = 60 * time.Millisecond
	n.Senders(n.now, quota.NewSenders([]string{"a"}, "a"))
	return n
}

func (n *needy) report(id string) Report {
	rate, limited := n.limits[id]
	return Report{Load: Load{Slots: 2, Pace: 1}, Loaded: true, Limit: rate, Limited: limited, Unlimited: !limited}
}

// step completes requests that have run for serviceTime, and answers probes.
func (n *needy) step(out []Action) []Action {
	n.now = n.now.Add(5 * time.Millisecond)
	for id, d := range n.flights {
		if n.now.Sub(d.sent) >= n.work {
			out = n.Done(n.now, End{ID: id, Report: n.report(d.member.ID)}, out)
		}
	}
	out = n.Tick(n.now, out)
	for {
		probed := pick(out, Ask)
		if len(probed) == 0 {
			break
		}
		out = slices.DeleteFunc(out, func(a Action) bool { return a.Do == Ask })
		for _, a := range probed {
			r := n.report(a.Target.ID)
			if m := n.members[a.Target.ID]; m != nil {
				r.Load.Running = m.inFlight
			}
			out = n.Replied(n.now, Reply{Target: a.Target.ID, Report: r, Well: true}, out)
		}
	}
	for _, a := range pick(out, Send) {
		n.answers[a.Target.ID] = append(n.answers[a.Target.ID], n.now)
	}
	return out
}

// One of three targets reports a limit. It must get no more than that, the others must serve
// the rest, and it must get its normal share soon after the limit has ended.
func TestLimitedTargetAmongOthers(t *testing.T) {
	c := qt.New(t)
	n := newNeedy(3, nil)
	run := func(d time.Duration) (refused int) {
		for end := n.now.Add(d); n.now.Before(end); {
			_, out := n.arrive()
			out = n.step(out)
			refused += len(pick(out, Refuse))
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
	runs := slices.DeleteFunc(slices.Clone(n.answers["t0"]), func(at time.Time) bool { return at.Before(from) })
	for i := range runs {
		for i-most >= 0 && runs[i].Sub(runs[i-most]) <= 4*time.Second {
			most++
		}
	}
	c.Assert(most <= 9, qt.IsTrue, qt.Commentf("%d in 4 s", most))
	c.Assert(len(runs) >= 25, qt.IsTrue, qt.Commentf("%d in 19.5 s", len(runs)))
	n.limits = nil
	run(2 * time.Second)
	before := map[string]int{"t0": len(n.answers["t0"]), "t1": len(n.answers["t1"])}
	run(time.Second)
	one, other := len(n.answers["t0"])-before["t0"], len(n.answers["t1"])-before["t1"]
	c.Assert(2*one > other, qt.IsTrue, qt.Commentf("%d in a second, another one gets %d", one, other))
}

// All targets have limits, and five times as many requests arrive as these allow. Requests
// that can't be served in time must be refused at once, and urgent ones must be served
// first.
func TestAllLimited(t *testing.T) {
	c := qt.New(t)
	n := newNeedy(4, map[string]float64{"t0": 3, "t1": 3, "t2": 3, "t3": 3})
	const load, objective = 30 * time.Second, 250 * time.Millisecond
	arrived := make(map[uint64]time.Time)
	var served [2]int // by priority
	refused, waited := 0, 0
	count := func(out []Action) {
		for _, a := range out {
			switch a.Do {
			case Send:
				served[a.ID%2]++
			case Refuse:
				refused++
				c.Assert(a.Retry > 0 && a.Retry <= time.Second, qt.IsTrue, qt.Commentf("%v", a.Retry))
				if took := n.now.Sub(arrived[a.ID]); took > objective/8 {
					waited++
				}
			}
		}
	}
	for end := n.now.Add(load); n.now.Before(end); {
		n.last++
		arrived[n.last] = n.now
		count(n.step(n.Arrive(n.now, Request{
			ID: n.last, Arrived: n.now, Objective: n.now.Add(objective), Deadline: n.now.Add(2 * time.Second), Priority: int(n.last % 2),
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
func TestLateResponseEndsNoLimit(t *testing.T) {
	tests := []struct {
		name  string
		sent  time.Duration // relative to the last response with the limit
		r     Report
		probe bool // the answer to a probe
		named bool
		rate  float64
	}{
		{"sent before", -time.Millisecond, Report{Unlimited: true}, false, true, 2},
		{"sent before, higher limit", -time.Millisecond, Report{Limited: true, Limit: 5}, false, true, 2},
		{"sent before, lower limit", -time.Millisecond, Report{Limited: true, Limit: 1}, false, true, 1},
		{"sent after", time.Millisecond, Report{Unlimited: true}, false, false, 0},
		{"sent after, higher limit", time.Millisecond, Report{Limited: true, Limit: 5}, false, true, 5},
		{"no response", time.Millisecond, Report{}, false, true, 2},
		{"probe, answers never report the limit", time.Millisecond, Report{Unlimited: true}, true, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLimit("t0")
			l.take(start, start, Report{Limited: true, Limit: 2}, false)
			sent := start.Add(tt.sent)
			l.take(start.Add(time.Second), sent, tt.r, tt.probe)
			qt.Assert(t, l.named, qt.Equals, tt.named)
			qt.Assert(t, l.rate, qt.Equals, tt.rate)
		})
	}
}

// An entry without a share of a limited target sends nothing to it and so gets no responses.
// It must probe the target, and send again once the limit has ended.
func TestLimitEndsAtAnEntryWithoutAShare(t *testing.T) {
	c := qt.New(t)
	n := newNeedy(1, map[string]float64{"t0": 2})
	n.Senders(n.now, quota.NewSenders([]string{"b", "c"}, "a"))
	_, out := n.arrive()
	n.step(out)
	for range 40 {
		n.step(nil)
	}
	_, out = n.arrive()
	refused := pick(n.step(out), Refuse)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, Limited)
	n.limits = nil
	for range 120 {
		n.step(nil)
	}
	_, out = n.arrive() // sends a probe
	n.step(out)
	_, out = n.arrive()
	c.Assert(pick(n.step(out), Send), qt.HasLen, 1)
}
