package slot

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A target crashes with all its slots taken and starts again under its old id.
// The entry still waits for what it sent to the old one, whose connections have
// gone silent, and has counted its failures. The new one gets requests at once.
func TestTargetStartsAgainUnderItsID(t *testing.T) {
	tests := []struct {
		name string
		born int64
		want bool // it gets requests at once
	}{
		{"the same", 1, false},
		{"a new one", 2, true},
		{"a new one by a clock that was set back", -5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDesk(0)
			d.Targets(d.now, []Target{{ID: "t0", Slots: 2, Born: 1}, {ID: "t1", Slots: 2, Born: 1}}, nil)
			var stuck []uint64
			for range 2 {
				id, out := d.arrive()
				out = append(out, d.says("t1", 5, 2)...)
				out = append(out, d.says("t0", 1, 0)...)
				c.Assert(pick(out, Send)[0].Target.ID, qt.Equals, "t0")
				stuck = append(stuck, id)
				d.now = d.now.Add(20 * time.Millisecond)
			}
			d.Targets(d.now, []Target{{ID: "t0", Slots: 2, Born: tt.born}, {ID: "t1", Slots: 2, Born: 1}}, nil)
			_, out := d.arrive()
			asked := slices.ContainsFunc(pick(out, Ask), func(a Action) bool { return a.Target.ID == "t0" })
			c.Assert(asked, qt.Equals, tt.want)
			out = append(out, d.says("t0", 1, 0)...)
			c.Assert(len(pick(out, Send)) == 1, qt.Equals, tt.want)
			for _, id := range stuck {
				d.Done(d.now, End{ID: id, Kind: Lost}, nil)
			}
			if tt.want {
				c.Assert(d.members["t0"].inFlight, qt.Equals, 1)
				c.Assert(d.members["t0"].fails, qt.Equals, 0.0)
			}
		})
	}
}

// A target leaves, its record is removed, or its failure domain is evacuated, while requests are on their way to it in
// one way or another. From then on it gets none of them: they go to the other one, or
// their callers are told to come back.
func TestLeavingTargetGetsNothingThatWaits(t *testing.T) {
	other := Target{ID: "other", Slots: 2}
	ways := []struct {
		name string
		list []Target
	}{
		{"leaves", []Target{{ID: "left", Slots: 2, Leaving: true}, other}},
		{"removed", []Target{other}},
		{"evacuated", []Target{{ID: "left", Slots: 2, Evacuated: true}, other}},
	}
	tests := []struct {
		name  string
		setup func(d *desk) // before it leaves
		after func(d *desk) []Action
		sent  bool // to the other one
	}{
		{"asked for its load", func(d *desk) { d.arrive() }, func(d *desk) []Action {
			return append(d.says("left", 1, 0), d.says("other", 1, 0)...)
		}, true},
		{"in the queue", func(d *desk) {
			d.arrive()
			d.says("left", 1, 2)
			d.says("other", 1, 2)
		}, func(d *desk) []Action {
			d.now = d.now.Add(askAgain)
			out := d.Tick(d.now, nil)
			out = append(out, d.says("left", 1, 0)...)
			out = append(out, d.says("other", 1, 0)...)
			d.now = d.now.Add(askAgain)
			return d.Tick(d.now, out)
		}, true},
		{"a hedge of a request at the other one", func(*desk) {}, func(d *desk) []Action {
			return d.again(true, "other")
		}, false},
		{"a retry of a request that the other one failed", func(*desk) {}, func(d *desk) []Action {
			return d.again(false, "other")
		}, false},
	}
	for _, way := range ways {
		for _, tt := range tests {
			t.Run(tt.name+"/"+way.name, func(t *testing.T) {
				d := newDesk(0)
				d.Targets(d.now, []Target{{ID: "left", Slots: 2}, other}, nil)
				tt.setup(d)
				out := d.Targets(d.now, way.list, nil)
				out = append(out, tt.after(d)...)
				for range 20 {
					d.now = d.now.Add(20 * time.Millisecond)
					out = d.Tick(d.now, out)
				}
				sent := pick(out, Send)
				for _, a := range sent {
					qt.Assert(t, a.Target.ID, qt.Equals, "other")
				}
				qt.Assert(t, len(sent) > 0, qt.Equals, tt.sent)
				asked := pick(out, Ask)
				qt.Assert(t, slices.ContainsFunc(asked, func(a Action) bool { return a.Target.ID == "left" }), qt.IsFalse)
			})
		}
	}
}

// again is the arrival of a request that was at a target before.
func (d *desk) again(hedge bool, tried ...string) []Action {
	d.last++
	return d.Arrive(d.now, Request{
		ID: d.last, Arrived: d.now, Objective: d.now.Add(200 * time.Millisecond), Deadline: d.now.Add(800 * time.Millisecond),
		Hedge: hedge, Tried: tried,
	}, nil)
}
