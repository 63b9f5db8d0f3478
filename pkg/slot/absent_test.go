package slot

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A target's reports must not be lost while it is briefly missing from the list, and must
// not apply to another incarnation.
func TestReportsKeptForAbsentTargets(t *testing.T) {
	tests := []struct {
		name    string
		missing time.Duration
		started int64 // of the target that is back
		known   bool
	}{
		{"back at once", time.Second, 1, true},
		{"back much later", absentRetention + time.Minute, 1, false},
		{"started again", time.Second, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(0)
			list := []Target{{ID: "t0", Slots: 2, StartedMillis: 1}, {ID: "t1", Slots: 2, StartedMillis: 1}}
			h.SetTargets(h.now, list, nil)
			h.ProbeDone(h.now, ProbeResult{Target: "t0", Report: Report{Leaving: true, HasLimit: true, Limit: 2}, Healthy: true}, nil)
			h.SetTargets(h.now, list[1:], nil)
			h.now = h.now.Add(tt.missing)
			h.SetTargets(h.now, list[1:], nil)
			list[0].StartedMillis = tt.started
			h.SetTargets(h.now, list, nil)
			c.Assert(h.members["t0"].excluded(), qt.Equals, tt.known)
			c.Assert(h.members["t0"].limit.set, qt.Equals, tt.known)
		})
	}
}

// A response reports that its target is leaving, after the target was removed from the list.
// The report must not be lost.
func TestReportOfAnAbsentTarget(t *testing.T) {
	c := qt.New(t)
	h := newHarness(2)
	id, out := h.arrive()
	for _, a := range actionsOf(out, SendProbe) {
		out = append(out, h.replyLoad(a.Target.ID, 1, 0)...)
	}
	at := actionsOf(out, Dispatch)[0].Target
	h.SetTargets(h.now, nil, nil)
	h.Done(h.now, Completion{ID: id, Report: Report{Leaving: true}}, nil)
	h.SetTargets(h.now, []Target{at}, nil)
	c.Assert(h.members[at.ID].excluded(), qt.IsTrue)
}

// Targets that appear and disappear continually must not accumulate beyond maxAbsent.
func TestAbsentTargetsAreBounded(t *testing.T) {
	h := newHarness(0)
	for i := range 3 * maxAbsent {
		id := fmt.Sprint("t", i)
		h.now = h.now.Add(time.Millisecond)
		h.SetTargets(h.now, []Target{{ID: id, Slots: 2}}, nil)
		h.ProbeDone(h.now, ProbeResult{Target: id, Report: Report{Leaving: true}, Healthy: true}, nil)
	}
	qt.Assert(t, len(h.absent) <= maxAbsent, qt.IsTrue)
}

// A record has marked a target as leaving. An older record of the same incarnation must not
// undo that.
func TestOlderRecordKeepsLeaving(t *testing.T) {
	tests := []struct {
		name    string
		missing bool // the target is missing from the list in between
		started int64
		leaves  bool
	}{
		{"same incarnation", false, 1, true},
		{"same incarnation, missing in between", true, 1, true},
		{"started again", false, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(0)
			target := Target{ID: "t0", Slots: 2, StartedMillis: 1, Leaving: true}
			h.SetTargets(h.now, []Target{target}, nil)
			if tt.missing {
				h.SetTargets(h.now, nil, nil)
			}
			target.Leaving, target.StartedMillis = false, tt.started
			h.SetTargets(h.now, []Target{target}, nil)
			qt.Assert(t, h.members["t0"].excluded(), qt.Equals, tt.leaves)
		})
	}
}
