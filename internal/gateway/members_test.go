package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/lab/fleet"
	"plumpitch.example/plumpitch/pkg/member"
)

// hundreds starts so many entries with the times of a gateway, in virtual time,
// and waits until all know each other.
func hundreds(c testing.TB, entries int, seed uint64) *fleet.Fleet {
	cfg := (&Gateway{}).memberConfig()
	f := fleet.New(fleet.Config{Entries: entries, Places: 5, Regions: 1, Seed: seed, Near: 900 * time.Microsecond, Member: cfg})
	f.BootAll()
	took := f.RunUntil(20*time.Second, f.Agreed)
	qt.Assert(c, f.Agreed(), qt.IsTrue, qt.Commentf("%d entries, seed %d: no agreement after %v", entries, seed, took))
	c.Logf("%d entries, seed %d: all know each other after %v", entries, seed, took)
	return f
}

// unused tells whether no entry sends callers to any of the lost ones.
func unused(f *fleet.Fleet, lost []*fleet.Node) func() bool {
	return func() bool {
		return f.All(func(_ *fleet.Node, v member.View) bool {
			for _, n := range lost {
				if e, ok := v.Find(n.Entry.ID.Name); ok && e.State == member.Alive {
					return false
				}
			}
			return true
		})
	}
}

// Callers are sent to an entry that dies until all others have noticed. That takes
// no longer among hundreds than among few, also where most of them die at once and
// with them those that watched the others, or a whole failure domain. Nobody that
// lives is missed for it.
func TestLossesAmongHundreds(t *testing.T) {
	const bound = 1500 * time.Millisecond
	tests := []struct {
		name string
		lost func(f *fleet.Fleet, i int) bool
	}{
		{"one", func(_ *fleet.Fleet, i int) bool { return i == 7 }},
		{"a failure domain", func(f *fleet.Fleet, i int) bool { return f.Nodes[i].Entry.Place == "place-01" }},
		{"more than half", func(_ *fleet.Fleet, i int) bool { return i*55%100 < 55 }},
	}
	for _, tt := range tests {
		for _, entries := range []int{30, 472} {
			t.Run(fmt.Sprint(tt.name, "/", entries), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := hundreds(c, entries, 1)
				var lost []*fleet.Node
				for i, n := range f.Nodes {
					if tt.lost(f, i) {
						lost = append(lost, n)
						f.Lose(n)
					}
				}
				took := f.RunUntil(5*time.Second, unused(f, lost))
				c.Logf("%d of %d lost: noticed everywhere after %v", len(lost), entries, took)
				c.Assert(took <= bound, qt.IsTrue, qt.Commentf("%v", took))
				c.Assert(f.RunUntil(2*time.Second, f.Agreed) < 2*time.Second, qt.IsTrue)
			})
		}
	}
}

// All machines lose power and start again. Each entry begins with the seeds alone;
// all know each other again within seconds.
func TestHundredsStartAgain(t *testing.T) {
	c := qt.New(t)
	f := hundreds(c, 472, 2)
	for _, n := range f.Nodes {
		f.Lose(n)
	}
	f.Run(time.Second)
	f.BootAll()
	took := f.RunUntil(10*time.Second, f.Agreed)
	c.Logf("agreed after %v", took)
	c.Assert(took <= 6*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// What an entry sends and hears stays the same however many there are.
func TestCostOfMembership(t *testing.T) {
	var rate []float64
	for _, entries := range []int{30, 472} {
		f := hundreds(t, entries, 3)
		f.Run(time.Second)
		perSecond, _ := quiet(f, 4*time.Second)
		t.Logf("%d entries: %.0f bytes a second each, both ways", entries, perSecond)
		rate = append(rate, perSecond)
	}
	qt.Assert(t, rate[1] < 1.2*rate[0], qt.IsTrue, qt.Commentf("%v", rate))
	const most = 6000 // bytes a second that control may take at an entry
	qt.Assert(t, rate[1] < most, qt.IsTrue)
}

// quiet lets a fleet run in which nothing happens, and gives the bytes a second and
// the processor time of decisions and codec in us a second, both for each entry.
func quiet(f *fleet.Fleet, span time.Duration) (bytes, busy float64) {
	count := func() (b, t float64) {
		for _, n := range f.Nodes {
			b += float64(n.Traffic.In + n.Traffic.Out)
			t += float64(n.Traffic.Busy.Microseconds())
		}
		return b, t
	}
	b, t := count()
	f.Run(span)
	bytes, busy = count()
	part := float64(len(f.Nodes)) * span.Seconds()
	return (bytes - b) / part, (busy - t) / part
}

// What membership costs each entry, at sizes up to four times that of the largest
// site. Before, with a beat from each to each, an entry heard 127 a second at 472.
func BenchmarkMembership(b *testing.B) {
	for _, entries := range []int{30, 120, 472, 2000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for b.Loop() {
				f := hundreds(b, entries, 3)
				f.Run(time.Second)
				bytes, busy := quiet(f, 4*time.Second)
				b.ReportMetric(bytes, "B/s")
				b.ReportMetric(busy, "us/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
