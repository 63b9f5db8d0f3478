package slot

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// desk is a book with a clock and a count of what it did.
type desk struct {
	*Book
	now  time.Time
	last uint64
	work time.Duration
}

func newDesk(targets int) *desk {
	d := &desk{Book: New(Config{}, rand.New(rand.NewPCG(1, 2))), now: start}
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: fmt.Sprintf("t%d", i), Slots: 2})
	}
	d.Targets(d.now, list, nil)
	return d
}

func (d *desk) arrive() (id uint64, out []Action) {
	d.last++
	return d.last, d.Arrive(d.now, Request{
		ID: d.last, Arrived: d.now, Objective: d.now.Add(200 * time.Millisecond), Deadline: d.now.Add(800 * time.Millisecond),
	}, nil)
}

func (d *desk) says(id string, pace float64, running int) []Action {
	return d.Replied(d.now, Reply{Target: id, Report: Report{Load: Load{Running: running, Slots: 2, Pace: pace}, Loaded: true}, Well: true}, nil)
}

func pick(out []Action, do Do) (list []Action) {
	for _, a := range out {
		if a.Do == do {
			list = append(list, a)
		}
	}
	return list
}

// A request asks a few targets and goes to the one that says that it is idle and
// as fast as usual, without waiting for the others.
func TestGoesToTheIdealAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(4)
	_, out := d.arrive()
	c.Assert(pick(out, Ask), qt.HasLen, 4)
	c.Assert(pick(d.says("t0", 5, 0), Send), qt.HasLen, 0)
	sent := pick(d.says("t1", 1, 0), Send)
	c.Assert(sent, qt.HasLen, 1)
	c.Assert(sent[0].Target.ID, qt.Equals, "t1")
}

// Two requests at once share one question to each target, and don't both go to
// the one that is free.
func TestQuestionsAreShared(t *testing.T) {
	c := qt.New(t)
	d := newDesk(2)
	_, first := d.arrive()
	_, second := d.arrive()
	c.Assert(pick(first, Ask), qt.HasLen, 2)
	c.Assert(pick(second, Ask), qt.HasLen, 0)
	out := append(d.says("t0", 1, 0), d.says("t1", 1, 0)...)
	sent := pick(out, Send)
	c.Assert(sent, qt.HasLen, 2)
	c.Assert(sent[0].Target.ID, qt.Not(qt.Equals), sent[1].Target.ID)
}

// No answer comes to any question. The request is still sent when the time for
// answers is over.
func TestNoAnswer(t *testing.T) {
	d := newDesk(3)
	d.arrive()
	d.now = d.Next()
	qt.Assert(t, pick(d.Tick(d.now, nil), Send), qt.HasLen, 1)
}

// A target's VM is gone, and nothing comes back from it: no answer, no refusal.
// Each request that is sent there fails half a second later, and its trials
// would cost callers that much again and again. Questions show it for nothing.
func TestSilentTarget(t *testing.T) {
	const lost, work = 500 * time.Millisecond, 60 * time.Millisecond
	type end struct {
		at   time.Time
		kind Kind
	}
	c := qt.New(t)
	d := newDesk(3)
	sent, ends, replies := 0, map[uint64]end{}, []time.Time{}
	for range 1200 {
		d.now = d.now.Add(30 * time.Millisecond)
		_, out := d.arrive()
		if len(replies) > 0 && !d.now.Before(replies[0]) {
			replies = replies[1:]
			d.Replied(d.now, Reply{Target: "t0"}, nil)
		}
		for _, a := range pick(out, Ask) {
			if a.Target.ID == "t0" {
				replies = append(replies, d.now.Add(time.Second))
				continue
			}
			out = append(out, d.says(a.Target.ID, 1.2, 0)...)
		}
		if len(pick(out, Send)) == 0 {
			d.now = d.now.Add(defaultAskTime)
			out = append(out, d.Tick(d.now, nil)...)
		}
		for _, a := range pick(out, Send) {
			if a.Target.ID == "t0" {
				sent++
				ends[a.ID] = end{d.now.Add(lost), Lost}
				continue
			}
			ends[a.ID] = end{d.now.Add(work), Served}
		}
		for id, e := range ends {
			if !d.now.Before(e.at) {
				delete(ends, id)
				d.Done(d.now, End{ID: id, Kind: e.kind}, nil)
			}
		}
	}
	c.Assert(sent <= 2, qt.IsTrue, qt.Commentf("%d sent in a minute", sent))
}

// All targets are busy and slow. The request waits while it can still meet its
// objective and is refused after that, well before its deadline.
func TestRefusedWhenTooLate(t *testing.T) {
	c := qt.New(t)
	d := newDesk(1)
	d.arrive()
	d.says("t0", 1, 0)
	d.now = d.now.Add(50 * time.Millisecond)
	began := d.now
	_, out := d.arrive()
	out = append(out, d.says("t0", 5, 1)...)
	c.Assert(pick(out, Send), qt.HasLen, 0)
	for len(pick(out, Refuse)) == 0 {
		at := d.Next()
		c.Assert(at.IsZero(), qt.IsFalse)
		d.now = at
		out = d.Tick(d.now, nil)
		for range pick(out, Ask) {
			out = append(out, d.says("t0", 5, 1)...)
		}
	}
	c.Assert(d.now.Sub(began) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d.now.Sub(began)))
	c.Assert(pick(out, Refuse)[0].Retry > 0, qt.IsTrue)
	seeking, _ := d.Len()
	c.Assert(seeking, qt.Equals, 0)
}

// A target leaves while requests wait: they go to the others or are refused,
// and none to it.
func TestLeavingTarget(t *testing.T) {
	c := qt.New(t)
	d := newDesk(2)
	d.Targets(d.now, []Target{{ID: "t0", Slots: 2, Leaving: true}, {ID: "t1", Slots: 2}}, nil)
	_, out := d.arrive()
	asks := pick(out, Ask)
	c.Assert(asks, qt.HasLen, 1)
	c.Assert(asks[0].Target.ID, qt.Equals, "t1")
	d.Targets(d.now, nil, nil)
	_, out = d.arrive()
	refused := pick(out, Refuse)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, NoTarget)
}

// Another target answers at an address. The list that still has the old one
// there comes several times a second, for other targets' sake; none of them may
// bring requests back to that address. A record that says something new does.
func TestMovedTarget(t *testing.T) {
	list := func(address string) []Target {
		return []Target{{ID: "t0", Slots: 2, Address: address}, {ID: "t1", Slots: 2}}
	}
	tests := []struct {
		name string
		list []Target
		want bool // t0 gets requests
	}{
		{"same record", list("10.0.0.1:1"), false},
		{"new address", list("10.0.0.2:1"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(0)
			d.Targets(d.now, list("10.0.0.1:1"), nil)
			id, _ := d.arrive()
			sent := pick(d.says("t0", 1, 0), Send)
			qt.Assert(t, sent, qt.HasLen, 1)
			d.Done(d.now, End{ID: id, Kind: Shed, Moved: true}, nil)
			d.now = d.now.Add(time.Second)
			d.Targets(d.now, tt.list, nil)
			_, out := d.arrive()
			asked := slices.ContainsFunc(pick(out, Ask), func(a Action) bool { return a.Target.ID == "t0" })
			qt.Assert(t, asked, qt.Equals, tt.want)
		})
	}
}

// An entry has just started, and a third of the targets is slow. Those that were
// asked and say that they are idle and fast go before those that have said
// nothing: a request that was sent to one of these took five times as long.
func TestToldBeforeUntold(t *testing.T) {
	d := newDesk(12)
	_, out := d.arrive()
	asks := pick(out, Ask)
	for i, a := range asks {
		out = append(out, d.says(a.Target.ID, []float64{5, 1.2, 5, 1.3}[i], 0)...)
	}
	sent := pick(out, Send)
	qt.Assert(t, sent, qt.HasLen, 1)
	qt.Assert(t, sent[0].Target.ID, qt.Equals, asks[1].Target.ID)
}

// A target that fails what it is sent gets trial requests only, and comes back
// by one that goes well. Half of the targets stay in whatever they do.
func TestFailingTargets(t *testing.T) {
	tests := []struct {
		name string
		kind Kind
	}{
		{"errors", Failed}, {"lost connections", Lost}, {"hangs", TimedOut}, {"refusals", Shed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDesk(4)
			got := 0
			for range 200 {
				d.now = d.now.Add(10 * time.Millisecond)
				id, out := d.arrive()
				for _, a := range pick(out, Ask) {
					out = append(out, d.says(a.Target.ID, 1, 0)...)
				}
				for _, a := range pick(out, Send) {
					kind := Served
					if a.Target.ID == "t0" {
						kind = tt.kind
						got++
					}
					d.Done(d.now, End{ID: id, Kind: kind}, nil)
				}
			}
			c.Assert(got < 20, qt.IsTrue, qt.Commentf("%d of 200 went to the failing one", got))
			d.now = d.now.Add(10 * time.Second)
			back := 0
			for range 200 {
				d.now = d.now.Add(10 * time.Millisecond)
				id, out := d.arrive()
				for _, a := range pick(out, Ask) {
					out = append(out, d.says(a.Target.ID, 1, 0)...)
				}
				for _, a := range pick(out, Send) {
					if a.Target.ID == "t0" {
						back++
					}
					d.Done(d.now, End{ID: id, Kind: Served}, nil)
				}
			}
			c.Assert(back > 20, qt.IsTrue, qt.Commentf("%d of 200 went to the recovered one", back))
		})
	}
}

func TestHalfStaysIn(t *testing.T) {
	d := newDesk(4)
	for range 400 {
		d.now = d.now.Add(10 * time.Millisecond)
		id, out := d.arrive()
		for _, a := range pick(out, Ask) {
			out = append(out, d.says(a.Target.ID, 1, 0)...)
		}
		for range pick(out, Send) {
			d.Done(d.now, End{ID: id, Kind: Failed}, nil)
		}
	}
	out := 0
	for _, m := range d.order {
		if m.out {
			out++
		}
	}
	qt.Assert(t, out <= 2, qt.IsTrue)
}

// The targets of a service don't tell their load. They are asked once, and
// requests go by what is at them.
func TestTargetsThatTellNothing(t *testing.T) {
	c := qt.New(t)
	d := newDesk(3)
	asked := 0
	count := map[string]int{}
	for range 9 {
		_, out := d.arrive()
		for _, a := range pick(out, Ask) {
			asked++
			out = append(out, d.Replied(d.now, Reply{Target: a.Target.ID, Well: true}, nil)...)
		}
		for _, a := range pick(out, Send) {
			count[a.Target.ID]++
		}
		d.now = d.now.Add(time.Millisecond)
	}
	c.Assert(asked, qt.Equals, 3)
	c.Assert(count, qt.DeepEquals, map[string]int{"t0": 2, "t1": 2, "t2": 2})
}

// A decision at 250 targets, with all of them known, by a clock as processes
// have it: without the monotonic part of a time each comparison costs double.
// 12 us; 22 to 27 us when each decision looked at all targets twice and worked
// out their costs at each comparison.
func BenchmarkArrive(b *testing.B) {
	d := newDesk(250)
	d.now = time.Now()
	for i := range 250 {
		d.says(fmt.Sprintf("t%d", i), 1, 0)
	}
	for b.Loop() {
		id, out := d.arrive()
		for _, a := range out {
			if a.Do == Ask {
				d.says(a.Target.ID, 1, 0)
			}
		}
		d.Done(d.now, End{ID: id}, nil)
	}
}

// Requests wait while all targets are full, or for answers to their questions.
// Whatever the state, the timer that the book asks for lies ahead: one that is
// due at once, again and again, would keep the processor busy just when it is
// needed for refusals.
func TestTimerLiesAhead(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		d := newDesk(1 + rnd.IntN(3))
		var flying []uint64
		note := func(out []Action) {
			for _, a := range pick(out, Send) {
				flying = append(flying, a.ID)
			}
		}
		for range 60 {
			switch rnd.IntN(4) {
			case 0, 1:
				_, out := d.arrive()
				note(out)
			case 2:
				note(d.says(fmt.Sprintf("t%d", rnd.IntN(3)), []float64{1, 5}[rnd.IntN(2)], rnd.IntN(3)))
			case 3:
				if len(flying) > 0 {
					note(d.Done(d.now, End{ID: flying[0]}, nil))
					flying = flying[1:]
				}
			}
			d.now = d.now.Add(time.Duration(rnd.IntN(30)) * time.Millisecond)
			note(d.Tick(d.now, nil))
			next := d.Next()
			qt.Assert(t, next.IsZero() || next.After(d.now), qt.IsTrue, qt.Commentf("seed %d: %v", seed, next.Sub(d.now)))
		}
	}
}
