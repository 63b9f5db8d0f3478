package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/lab/fleet"
	"plumpitch.example/plumpitch/pkg/member"
)

// startFleet starts entries with the membership timing of a gateway, in virtual time, and waits
// until all know each other.
func startFleet(c testing.TB, entries int, seed uint64) *fleet.Fleet {
	cfg := (&Gateway{}).memberConfig()
	f := fleet.New(fleet.Config{Entries: entries, Places: 5, Regions: 1, Seed: seed, NearDelay: 900 * time.Microsecond, Member: cfg})
	f.BootAll()
	took := f.RunUntil(20*time.Second, f.Converged)
	qt.Assert(c, f.Converged(), qt.IsTrue, qt.Commentf("%d entries, seed %d: no agreement after %v", entries, seed, took))
	c.Logf("%d entries, seed %d: all know each other after %v", entries, seed, took)
	return f
}

// noneUsed reports whether no entry sends callers to any of the lost ones.
func noneUsed(f *fleet.Fleet, lost []*fleet.Node) func() bool {
	return func() bool {
		return f.AllViews(func(_ *fleet.Node, v member.View) bool {
			for _, n := range lost {
				if e, ok := v.Find(n.Entry.ID.Name); ok && e.State == member.Alive {
					return false
				}
			}
			return true
		})
	}
}

// Callers are sent to a dead entry until all others have detected its death. That must not take
// longer among hundreds of entries than among few, also if a whole failure domain or most entries
// die at once, among them those that monitored the others. No live entry may be lost from the
// tables in the end.
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
				f := startFleet(c, entries, 1)
				var lost []*fleet.Node
				for i, n := range f.Nodes {
					if tt.lost(f, i) {
						lost = append(lost, n)
						f.Lose(n)
					}
				}
				took := f.RunUntil(5*time.Second, noneUsed(f, lost))
				c.Logf("%d of %d lost: noticed everywhere after %v", len(lost), entries, took)
				c.Assert(took <= bound, qt.IsTrue, qt.Commentf("%v", took))
				c.Assert(f.RunUntil(2*time.Second, f.Converged) < 2*time.Second, qt.IsTrue)
			})
		}
	}
}

// All VMs lose power and restart. Each entry knows only the seeds at first, and all must know each
// other again within seconds.
func TestHundredsStartAgain(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 472, 2)
	for _, n := range f.Nodes {
		f.Lose(n)
	}
	f.Run(time.Second)
	f.BootAll()
	took := f.RunUntil(10*time.Second, f.Converged)
	c.Logf("agreed after %v", took)
	c.Assert(took <= 6*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// The traffic of an entry must not depend on the number of entries.
func TestMembershipTraffic(t *testing.T) {
	var rate []float64
	for _, entries := range []int{30, 472} {
		f := startFleet(t, entries, 3)
		f.Run(time.Second)
		perSecond, _ := measureIdle(f, 4*time.Second)
		t.Logf("%d entries: %.0f bytes a second each, both ways", entries, perSecond)
		rate = append(rate, perSecond)
	}
	qt.Assert(t, rate[1] < 1.2*rate[0], qt.IsTrue, qt.Commentf("%v", rate))
	const most = 6000 // bytes a second that control traffic may use at an entry
	qt.Assert(t, rate[1] < most, qt.IsTrue)
}

// measureIdle runs a fleet without events. It returns the bytes a second and the CPU time of
// decisions and codec in us a second, both per entry.
func measureIdle(f *fleet.Fleet, span time.Duration) (bytes, busy float64) {
	count := func() (b, t float64) {
		for _, n := range f.Nodes {
			b += float64(n.Traffic.BytesIn + n.Traffic.BytesOut)
			t += float64(n.Traffic.HandlingTime.Microseconds())
		}
		return b, t
	}
	b, t := count()
	f.Run(span)
	bytes, busy = count()
	part := float64(len(f.Nodes)) * span.Seconds()
	return (bytes - b) / part, (busy - t) / part
}

// The cost of membership for each entry, up to four times the size of the largest site. With a
// heartbeat from each entry to each other one, an entry would receive 127 a second among 472.
func BenchmarkMembership(b *testing.B) {
	for _, entries := range []int{30, 120, 472, 2000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for b.Loop() {
				f := startFleet(b, entries, 3)
				f.Run(time.Second)
				bytes, busy := measureIdle(f, 4*time.Second)
				b.ReportMetric(bytes, "B/s")
				b.ReportMetric(busy, "us/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
