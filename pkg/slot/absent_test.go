package slot

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What a target has reported is forgotten with its place in the list, or holds for another
// incarnation.
func TestReportsOutliveTheList(t *testing.T) {
	tests := []struct {
		name  string
		away  time.Duration
		born  int64 // of the target that is back
		known bool
	}{
		{"back at once", time.Second, 1, true},
		{"back much later", absentKept + time.Minute, 1, false},
		{"started again", time.Second, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDesk(0)
			list := []Target{{ID: "t0", Slots: 2, Born: 1}, {ID: "t1", Slots: 2, Born: 1}}
			d.Targets(d.now, list, nil)
			d.Replied(d.now, Reply{Target: "t0", Report: Report{Leaving: true, Limited: true, Limit: 2}, Well: true}, nil)
			d.Targets(d.now, list[1:], nil)
			d.now = d.now.Add(tt.away)
			d.Targets(d.now, list[1:], nil)
			list[0].Born = tt.born
			d.Targets(d.now, list, nil)
			c.Assert(d.members["t0"].leaves(), qt.Equals, tt.known)
			c.Assert(d.members["t0"].limit.named, qt.Equals, tt.known)
		})
	}
}

// A response comes that says that its target leaves, after the target has gone from the
// list.
func TestReportOfAnAbsentTarget(t *testing.T) {
	c := qt.New(t)
	d := newDesk(2)
	id, out := d.arrive()
	for _, a := range pick(out, Ask) {
		out = append(out, d.says(a.Target.ID, 1, 0)...)
	}
	at := pick(out, Send)[0].Target
	d.Targets(d.now, nil, nil)
	d.Done(d.now, End{ID: id, Report: Report{Leaving: true}}, nil)
	d.Targets(d.now, []Target{at}, nil)
	c.Assert(d.members[at.ID].leaves(), qt.IsTrue)
}

// Targets that come and go for ever are remembered up to a bound.
func TestAbsentTargetsAreBounded(t *testing.T) {
	d := newDesk(0)
	for i := range 3 * absentMost {
		id := fmt.Sprint("t", i)
		d.now = d.now.Add(time.Millisecond)
		d.Targets(d.now, []Target{{ID: id, Slots: 2}}, nil)
		d.Replied(d.now, Reply{Target: id, Report: Report{Leaving: true}, Well: true}, nil)
	}
	qt.Assert(t, len(d.absent) <= absentMost, qt.IsTrue)
}

// A record that is older than the one that said that its target leaves undoes it.
func TestOlderRecordUndoesNoLeaving(t *testing.T) {
	tests := []struct {
		name   string
		away   bool // the target goes from the list in between
		born   int64
		leaves bool
	}{
		{"the same start", false, 1, true},
		{"the same start, away in between", true, 1, true},
		{"started again", false, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(0)
			target := Target{ID: "t0", Slots: 2, Born: 1, Leaving: true}
			d.Targets(d.now, []Target{target}, nil)
			if tt.away {
				d.Targets(d.now, nil, nil)
			}
			target.Leaving, target.Born = false, tt.born
			d.Targets(d.now, []Target{target}, nil)
			qt.Assert(t, d.members["t0"].leaves(), qt.Equals, tt.leaves)
		})
	}
}
