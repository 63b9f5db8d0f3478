package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
)

const (
	services = 110
	each     = 18 // targets per service
	more     = 20 // services with one target more; 2,000 targets in total
	busy     = 20 // requests in flight per service
)

// fleet holds the pools of one entry with 2,000 targets in 110 services.
type fleet struct {
	pools    []pool.Balancer
	inFlight [][]uint64
	now      time.Time
	id       uint64
	out      []pool.Action
}

func newFleet() *fleet {
	f := &fleet{now: start, inFlight: make([][]uint64, services), out: make([]pool.Action, 0, 16)}
	for i := range services {
		n := each
		if i < more {
			n++
		}
		p := pool.New(pool.Config{}, pool.FreeSlot{}, rand.New(rand.NewPCG(1, uint64(i))))
		p.SetTargets(start, targets(n), nil)
		f.pools = append(f.pools, p)
	}
	return f
}

// decide processes one arrival, and one completion when enough requests are in flight.
func (f *fleet) decide() {
	s := int(f.id % services)
	f.now = f.now.Add(10 * time.Microsecond)
	a := pool.Arrival{ID: f.id, Deadline: f.now.Add(time.Second)}
	f.out = f.pools[s].Submit(f.now, a, f.out[:0])
	f.inFlight[s] = append(f.inFlight[s], f.id)
	f.id++
	if len(f.inFlight[s]) > busy {
		f.out = f.pools[s].Done(f.now, pool.Completion{ID: f.inFlight[s][0]}, f.out[:0])
		f.inFlight[s] = f.inFlight[s][:copy(f.inFlight[s], f.inFlight[s][1:])]
	}
}

// Allocations on the hot path would trigger the garbage collector and delay callers. The
// driver passes its own slice; maps and slices grow only at the start.
func TestAllocations(t *testing.T) {
	f := newFleet()
	for range 100 * services {
		f.decide()
	}
	got := testing.AllocsPerRun(10000, f.decide)
	qt.Assert(t, got <= 2, qt.IsTrue, qt.Commentf("%v", got))
}

func BenchmarkDecision(b *testing.B) {
	f := newFleet()
	b.ReportAllocs()
	for b.Loop() {
		f.decide()
	}
}
