package slot

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A target crashes with all its slots taken and restarts under the same ID. The entry still
// waits for responses from the old incarnation, whose connections are silent, and has
// counted its failures. The new incarnation must get requests at once.
func TestTargetRestartsUnderSameID(t *testing.T) {
	tests := []struct {
		name    string
		started int64
		want    bool // it gets requests at once
	}{
		{"same incarnation", 1, false},
		{"new incarnation", 2, true},
		{"new incarnation, clock set back", -5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(0)
			h.SetTargets(h.now, []Target{{ID: "t0", Slots: 2, StartedMillis: 1}, {ID: "t1", Slots: 2, StartedMillis: 1}}, nil)
			var stuck []uint64
			for range 2 {
				id, out := h.arrive()
				out = append(out, h.replyLoad("t1", 5, 2)...)
				out = append(out, h.replyLoad("t0", 1, 0)...)
				c.Assert(actionsOf(out, Dispatch)[0].Target.ID, qt.Equals, "t0")
				stuck = append(stuck, id)
				h.now = h.now.Add(20 * time.Millisecond)
			}
			h.SetTargets(h.now, []Target{{ID: "t0", Slots: 2, StartedMillis: tt.started}, {ID: "t1", Slots: 2, StartedMillis: 1}}, nil)
			_, out := h.arrive()
			probed := slices.ContainsFunc(actionsOf(out, SendProbe), func(a Action) bool { return a.Target.ID == "t0" })
			c.Assert(probed, qt.Equals, tt.want)
			out = append(out, h.replyLoad("t0", 1, 0)...)
			c.Assert(len(actionsOf(out, Dispatch)) == 1, qt.Equals, tt.want)
			for _, id := range stuck {
				h.Done(h.now, Completion{ID: id, Outcome: Lost}, nil)
			}
			if tt.want {
				c.Assert(h.members["t0"].inFlight, qt.Equals, 1)
				c.Assert(h.members["t0"].failureScore, qt.Equals, 0.0)
			}
		})
	}
}

// A target leaves, its record is removed, or its failure domain is evacuated, while requests
// may still be dispatched to it in several ways. From then on it must get none of them: they
// go to the other target, or are not dispatched if that one was tried before.
func TestWaitingRequestsAvoidLeavingTarget(t *testing.T) {
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
		setup func(h *harness) // before it leaves
		after func(h *harness) []Action
		sent  bool // to the other one
	}{
		{"probed", func(h *harness) { h.arrive() }, func(h *harness) []Action {
			return append(h.replyLoad("left", 1, 0), h.replyLoad("other", 1, 0)...)
		}, true},
		{"in the queue", func(h *harness) {
			h.arrive()
			h.replyLoad("left", 1, 2)
			h.replyLoad("other", 1, 2)
		}, func(h *harness) []Action {
			h.now = h.now.Add(reprobeInterval)
			out := h.Tick(h.now, nil)
			out = append(out, h.replyLoad("left", 1, 0)...)
			out = append(out, h.replyLoad("other", 1, 0)...)
			h.now = h.now.Add(reprobeInterval)
			return h.Tick(h.now, out)
		}, true},
		{"a hedge of a request at the other one", func(*harness) {}, func(h *harness) []Action {
			return h.resubmit(true, "other")
		}, false},
		{"a retry of a request that the other one failed", func(*harness) {}, func(h *harness) []Action {
			return h.resubmit(false, "other")
		}, false},
	}
	for _, way := range ways {
		for _, tt := range tests {
			t.Run(tt.name+"/"+way.name, func(t *testing.T) {
				h := newHarness(0)
				h.SetTargets(h.now, []Target{{ID: "left", Slots: 2}, other}, nil)
				tt.setup(h)
				out := h.SetTargets(h.now, way.list, nil)
				out = append(out, tt.after(h)...)
				for range 20 {
					h.now = h.now.Add(20 * time.Millisecond)
					out = h.Tick(h.now, out)
				}
				sent := actionsOf(out, Dispatch)
				for _, a := range sent {
					qt.Assert(t, a.Target.ID, qt.Equals, "other")
				}
				qt.Assert(t, len(sent) > 0, qt.Equals, tt.sent)
				probed := actionsOf(out, SendProbe)
				qt.Assert(t, slices.ContainsFunc(probed, func(a Action) bool { return a.Target.ID == "left" }), qt.IsFalse)
			})
		}
	}
}

// resubmit submits a hedge or a retry of a request that was dispatched to the targets in
// tried before.
func (h *harness) resubmit(hedge bool, tried ...string) []Action {
	h.lastID++
	return h.Submit(h.now, Request{
		ID: h.lastID, Arrived: h.now, Objective: h.now.Add(200 * time.Millisecond), Deadline: h.now.Add(800 * time.Millisecond),
		Hedge: hedge, Tried: tried,
	}, nil)
}
