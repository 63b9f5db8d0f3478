package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// targets returns n targets with two slots. The first ones, as many as evacuated, are in an
// evacuated failure domain.
func targets(n, evacuated int) (list []Target) {
	for i := range n {
		list = append(list, Target{ID: fmt.Sprintf("t%d", i), Slots: 2, Evacuated: i < evacuated})
	}
	return list
}

// All failure domains are evacuated while requests wait. These and later requests must be
// refused at once. If they were held until their objective has passed, callers would learn
// too late that no target is available.
func TestAllEvacuated(t *testing.T) {
	c := qt.New(t)
	h := newHarness(2)
	for range 6 {
		_, out := h.arrive()
		for _, a := range actionsOf(out, SendProbe) {
			h.replyLoad(a.Target.ID, 1, 0)
		}
	}
	pending, inFlight := h.RequestCounts()
	c.Assert(pending, qt.Equals, 2)
	out := h.SetTargets(h.now, targets(2, 2), nil)
	refused := actionsOf(out, Refuse)
	c.Assert(refused, qt.HasLen, 2)
	c.Assert(refused[0].Reason, qt.Equals, NoTarget)
	c.Assert(refused[0].RetryAfter > 0, qt.IsTrue)
	_, out = h.arrive()
	c.Assert(actionsOf(out, Refuse), qt.HasLen, 1)
	pending, stillInFlight := h.RequestCounts()
	c.Assert(pending, qt.Equals, 0)
	c.Assert(stillInFlight, qt.Equals, inFlight, qt.Commentf("requests that run are left to end"))
}

// A failure domain is evacuated, and the evacuation ends. The state of its targets must
// survive: an ejected target gets only trial requests as before, and a reused address stays
// excluded.
func TestTargetStateSurvivesEvacuation(t *testing.T) {
	c := qt.New(t)
	h := newHarness(4)
	h.members["t0"].eject(h.now, &h.config)
	h.members["t1"].addressReused = true
	h.SetTargets(h.now, targets(4, 2), nil)
	c.Assert(h.state(h.now, h.members["t0"]), qt.Equals, Evacuated)
	h.SetTargets(h.now, targets(4, 0), nil)
	c.Assert(h.state(h.now, h.members["t0"]), qt.Equals, Ejected)
	c.Assert(h.state(h.now, h.members["t1"]), qt.Equals, AddressReused)
}

// Two thirds of the targets are evacuated, and the remaining ones share a fault. At most
// half of these may be ejected. If the evacuated targets counted too, all of the others
// could be ejected.
func TestAtMostHalfOfRemainingEjected(t *testing.T) {
	h := newHarness(0)
	h.SetTargets(h.now, targets(6, 4), nil)
	for range 400 {
		h.now = h.now.Add(10 * time.Millisecond)
		id, out := h.arrive()
		for _, a := range actionsOf(out, SendProbe) {
			out = append(out, h.replyLoad(a.Target.ID, 1, 0)...)
		}
		for range actionsOf(out, Dispatch) {
			h.Done(h.now, Completion{ID: id, Outcome: Failed}, nil)
		}
	}
	out := 0
	for _, m := range h.sorted {
		if m.ejected {
			out++
		}
	}
	qt.Assert(t, out, qt.Equals, 1)
}

// Requests arrive, complete and are cancelled, targets appear and disappear, and failure
// domains are evacuated and restored, in random order. No request or probe may go to a
// target that is evacuated at that time.
func TestNothingGoesToEvacuatedTargets(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 21))
		h := newHarness(0)
		var places [3]bool
		list := func() (l []Target) {
			for i := range 9 {
				if rnd.IntN(8) > 0 {
					l = append(l, Target{ID: fmt.Sprint("t", i), Slots: 2, Place: fmt.Sprint(i % 3), Evacuated: places[i%3]})
				}
			}
			return l
		}
		var inFlight []uint64
		check := func(out []Action) {
			for _, a := range out {
				if a.Kind != Dispatch && a.Kind != SendProbe {
					continue
				}
				qt.Assert(t, h.members[a.Target.ID].Evacuated, qt.IsFalse, qt.Commentf("seed %d: %v", seed, a))
				if a.Kind == Dispatch {
					inFlight = append(inFlight, a.ID)
				}
			}
		}
		check(h.SetTargets(h.now, list(), nil))
		for range 200 {
			h.now = h.now.Add(time.Duration(rnd.IntN(25)) * time.Millisecond)
			switch rnd.IntN(8) {
			case 0:
				places[rnd.IntN(3)] = rnd.IntN(2) == 0
				check(h.SetTargets(h.now, list(), nil))
			case 1, 2, 3:
				_, out := h.arrive()
				check(out)
			case 4, 5:
				check(h.replyLoad(fmt.Sprint("t", rnd.IntN(9)), []float64{1, 5}[rnd.IntN(2)], rnd.IntN(2)))
			case 6:
				if len(inFlight) > 0 {
					check(h.Done(h.now, Completion{ID: inFlight[0], Outcome: Outcome(rnd.IntN(6))}, nil))
					inFlight = inFlight[1:]
				}
			default:
				check(h.Tick(h.now, nil))
			}
		}
	}
}
