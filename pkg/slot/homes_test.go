package slot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Requests with homes come while every target there is busy, and idle ones elsewhere
// would answer at once. They wait, are served late or refused, and reach no other region;
// where no target is at home they are refused at once.
func TestRequestsStayAtHome(t *testing.T) {
	c := qt.New(t)
	d := newDesk(0)
	d.Targets(d.now, []Target{
		{ID: "t0", Slots: 2, Region: "metro"}, {ID: "t1", Slots: 2, Region: "river"}, {ID: "t2", Slots: 2},
	}, nil)
	arrive := func(homes ...string) []Action {
		d.last++
		out := d.Arrive(d.now, Request{
			ID: d.last, Arrived: d.now, Objective: d.now.Add(200 * time.Millisecond), Deadline: d.now.Add(time.Second), Homes: homes,
		}, nil)
		for _, a := range pick(out, Ask) {
			out = append(out, d.says(a.Target.ID, 1, 0)...)
		}
		return out
	}
	for i := range 40 {
		d.now = d.now.Add(10 * time.Millisecond)
		out := append(arrive("metro"), d.Tick(d.now, nil)...)
		for _, a := range append(pick(out, Send), pick(out, Ask)...) {
			c.Assert(a.Target.ID, qt.Equals, "t0", qt.Commentf("request %d", i))
		}
	}
	refused := pick(arrive("nowhere"), Refuse)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, NoTarget)
	out := arrive()
	for range 3 {
		d.now = d.now.Add(askAgain)
		out = d.Tick(d.now, out)
		for _, a := range pick(out, Ask) {
			out = append(out, d.says(a.Target.ID, 1, 0)...)
		}
	}
	c.Assert(pick(out, Send), qt.HasLen, 1, qt.Commentf("one without homes goes anywhere"))
}
