package slot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Most requests of a service take 100 ms, and some on a rarely used route take 2 ms. Each
// class must have its own service time: a target with an expected latency of 250 ms isn't
// acceptable for an objective of 200 ms.
func TestClassesOfWork(t *testing.T) {
	c := qt.New(t)
	h := newDesk(1)
	serve := func(class string, took time.Duration) (sent bool) {
		h.last++
		out := h.Arrive(h.now, Request{
			ID: h.last, Class: class, Arrived: h.now, Objective: h.now.Add(200 * time.Millisecond), Deadline: h.now.Add(800 * time.Millisecond),
		}, nil)
		out = append(out, h.says("t0", 1, 0)...)
		sent = len(pick(out, Send)) == 1
		h.now = h.now.Add(took)
		h.Done(h.now, End{ID: h.last, Kind: Served}, nil)
		h.now = h.now.Add(100 * time.Millisecond)
		return sent
	}
	for i := range 200 {
		if i%2 == 0 {
			serve("rare", 2*time.Millisecond)
		}
		c.Assert(serve("page", 100*time.Millisecond), qt.IsTrue)
	}
	c.Assert(h.Usual("rare") < 5*time.Millisecond, qt.IsTrue, qt.Commentf("%v", h.Usual("rare")))
	c.Assert(h.Usual("page") > 95*time.Millisecond, qt.IsTrue, qt.Commentf("%v", h.Usual("page")))
	h.last++
	out := h.Arrive(h.now, Request{ID: h.last, Class: "page", Arrived: h.now, Objective: h.now.Add(200 * time.Millisecond), Deadline: h.now.Add(time.Second)}, nil)
	out = append(out, h.says("t0", 2.5, 0)...)
	c.Assert(pick(out, Send), qt.HasLen, 0)
}
