package slot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Requests with regions arrive while every target there is busy, and idle targets elsewhere
// could answer at once. They must wait, be served late or be refused, but not go to another
// region. If no target is in their regions, they must be refused at once.
func TestRequestsStayInTheirRegions(t *testing.T) {
	c := qt.New(t)
	h := newHarness(0)
	h.SetTargets(h.now, []Target{
		{ID: "t0", Slots: 2, Region: "metro"}, {ID: "t1", Slots: 2, Region: "river"}, {ID: "t2", Slots: 2},
	}, nil)
	arrive := func(regions ...string) []Action {
		h.lastID++
		out := h.Submit(h.now, Request{
			ID: h.lastID, Arrived: h.now, Objective: h.now.Add(200 * time.Millisecond), Deadline: h.now.Add(time.Second), Regions: regions,
		}, nil)
		for _, a := range actionsOf(out, SendProbe) {
			out = append(out, h.replyLoad(a.Target.ID, 1, 0)...)
		}
		return out
	}
	for i := range 40 {
		h.now = h.now.Add(10 * time.Millisecond)
		out := append(arrive("metro"), h.Tick(h.now, nil)...)
		for _, a := range append(actionsOf(out, Dispatch), actionsOf(out, SendProbe)...) {
			c.Assert(a.Target.ID, qt.Equals, "t0", qt.Commentf("request %d", i))
		}
	}
	refused := actionsOf(arrive("nowhere"), Refuse)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, NoTarget)
	out := arrive()
	for range 3 {
		h.now = h.now.Add(reprobeInterval)
		out = h.Tick(h.now, out)
		for _, a := range actionsOf(out, SendProbe) {
			out = append(out, h.replyLoad(a.Target.ID, 1, 0)...)
		}
	}
	c.Assert(actionsOf(out, Dispatch), qt.HasLen, 1, qt.Commentf("one without regions goes anywhere"))
}
