package slot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Most requests of a service take 100 ms, and some of a rarely used route 2 ms.
// Each class is expected to take what it takes: a target of which 250 ms are to
// be expected isn't good enough for an objective of 200.
func TestClassesOfWork(t *testing.T) {
	c := qt.New(t)
	d := newDesk(1)
	serve := func(class string, took time.Duration) (sent bool) {
		d.last++
		out := d.Arrive(d.now, Request{
			ID: d.last, Class: class, Arrived: d.now, Objective: d.now.Add(200 * time.Millisecond), Deadline: d.now.Add(800 * time.Millisecond),
		}, nil)
		out = append(out, d.says("t0", 1, 0)...)
		sent = len(pick(out, Send)) == 1
		d.now = d.now.Add(took)
		d.Done(d.now, End{ID: d.last, Kind: Served}, nil)
		d.now = d.now.Add(100 * time.Millisecond)
		return sent
	}
	for i := range 200 {
		if i%2 == 0 {
			serve("rare", 2*time.Millisecond)
		}
		c.Assert(serve("page", 100*time.Millisecond), qt.IsTrue)
	}
	c.Assert(d.Usual("rare") < 5*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d.Usual("rare")))
	c.Assert(d.Usual("page") > 95*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d.Usual("page")))
	d.last++
	out := d.Arrive(d.now, Request{ID: d.last, Class: "page", Arrived: d.now, Objective: d.now.Add(200 * time.Millisecond), Deadline: d.now.Add(time.Second)}, nil)
	out = append(out, d.says("t0", 2.5, 0)...)
	c.Assert(pick(out, Send), qt.HasLen, 0)
}
