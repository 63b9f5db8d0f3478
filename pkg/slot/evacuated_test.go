package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// targets are n targets with two slots, of which those from the first one on are in an
// evacuated failure domain.
func targets(n, evacuated int) (list []Target) {
	for i := range n {
		list = append(list, Target{ID: fmt.Sprintf("t%d", i), Slots: 2, Evacuated: i < evacuated})
	}
	return list
}

// All failure domains are evacuated while requests wait. Each is refused at once, those
// that come later as well: held until their objective is over, callers would learn too
// late that there is nothing to wait for.
func TestAllEvacuated(t *testing.T) {
	c := qt.New(t)
	d := newDesk(2)
	for range 6 {
		_, out := d.arrive()
		for _, a := range pick(out, Ask) {
			d.says(a.Target.ID, 1, 0)
		}
	}
	seeking, flying := d.Len()
	c.Assert(seeking, qt.Equals, 2)
	out := d.Targets(d.now, targets(2, 2), nil)
	refused := pick(out, Refuse)
	c.Assert(refused, qt.HasLen, 2)
	c.Assert(refused[0].Reason, qt.Equals, NoTarget)
	c.Assert(refused[0].Retry > 0, qt.IsTrue)
	_, out = d.arrive()
	c.Assert(pick(out, Refuse), qt.HasLen, 1)
	seeking, still := d.Len()
	c.Assert(seeking, qt.Equals, 0)
	c.Assert(still, qt.Equals, flying, qt.Commentf("requests that run are left to end"))
}

// A failure domain is evacuated and taken back. What was learnt of its targets is kept:
// one that failed what it was sent gets trials only, as before, and an address at which
// another target answered stays out of use.
func TestJudgementOutlastsAnEvacuation(t *testing.T) {
	c := qt.New(t)
	d := newDesk(4)
	d.members["t0"].eject(d.now, &d.cfg)
	d.members["t1"].moved = true
	d.Targets(d.now, targets(4, 2), nil)
	c.Assert(d.state(d.now, d.members["t0"]), qt.Equals, Vacated)
	d.Targets(d.now, targets(4, 0), nil)
	c.Assert(d.state(d.now, d.members["t0"]), qt.Equals, Out)
	c.Assert(d.state(d.now, d.members["t1"]), qt.Equals, Moved)
}

// Two thirds of the targets are evacuated, and those left share a fault. At most half of
// these are taken out: counted over all targets, none would be left to send to.
func TestHalfOfTheRestStaysIn(t *testing.T) {
	d := newDesk(0)
	d.Targets(d.now, targets(6, 4), nil)
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
	qt.Assert(t, out, qt.Equals, 1)
}

// Requests come, end and are taken back, targets come and go, and failure domains are
// evacuated and taken back, in any order. No request is sent to, and no question asked
// of, a target that is evacuated at that moment.
func TestNothingGoesToEvacuatedTargets(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 21))
		d := newDesk(0)
		var places [3]bool
		list := func() (l []Target) {
			for i := range 9 {
				if rnd.IntN(8) > 0 {
					l = append(l, Target{ID: fmt.Sprint("t", i), Slots: 2, Place: fmt.Sprint(i % 3), Evacuated: places[i%3]})
				}
			}
			return l
		}
		var flying []uint64
		check := func(out []Action) {
			for _, a := range out {
				if a.Do != Send && a.Do != Ask {
					continue
				}
				qt.Assert(t, d.members[a.Target.ID].Evacuated, qt.IsFalse, qt.Commentf("seed %d: %v", seed, a))
				if a.Do == Send {
					flying = append(flying, a.ID)
				}
			}
		}
		check(d.Targets(d.now, list(), nil))
		for range 200 {
			d.now = d.now.Add(time.Duration(rnd.IntN(25)) * time.Millisecond)
			switch rnd.IntN(8) {
			case 0:
				places[rnd.IntN(3)] = rnd.IntN(2) == 0
				check(d.Targets(d.now, list(), nil))
			case 1, 2, 3:
				_, out := d.arrive()
				check(out)
			case 4, 5:
				check(d.says(fmt.Sprint("t", rnd.IntN(9)), []float64{1, 5}[rnd.IntN(2)], rnd.IntN(2)))
			case 6:
				if len(flying) > 0 {
					check(d.Done(d.now, End{ID: flying[0], Kind: Kind(rnd.IntN(6))}, nil))
					flying = flying[1:]
				}
			default:
				check(d.Tick(d.now, nil))
			}
		}
	}
}
