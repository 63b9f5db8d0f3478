package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/lab/fleet"
	"plumpitch.example/plumpitch/pkg/member"
)

// fleetSize is a size of the fleet that a fault is injected into.
type fleetSize struct {
	name           string
	cfg            fleet.Config
	seeds          uint64
	detectionLimit time.Duration // limit for a death to reach every entry
}

var (
	today = fleetSize{"today", fleet.Config{Entries: 14, Places: 3, Regions: 1}, 4, 5 * time.Second}
	grown = fleetSize{"grown", fleet.Config{Entries: 30, Places: 15, Regions: 4}, 1, 13 * time.Second}
)

// settledFleet starts a fleet and waits until its entries agree.
func settledFleet(c *qt.C, s fleetSize, seed uint64) *fleet.Fleet {
	cfg := s.cfg
	cfg.Seed = seed
	f := fleet.New(cfg)
	f.BootAll()
	took := f.RunUntil(time.Minute, f.Converged)
	c.Assert(f.Converged(), qt.IsTrue, qt.Commentf("seed %d: no agreement after %v", seed, took))
	f.Run(5 * time.Second)
	return f
}

// seenAs returns a check that every entry has the current incarnation of n in one of
// the states.
func seenAs(f *fleet.Fleet, n *fleet.Node, states ...member.State) func() bool {
	return func() bool {
		return f.AllViews(func(_ *fleet.Node, v member.View) bool {
			e, ok := v.Find(n.Entry.ID.Name)
			for _, s := range states {
				if ok && e.ID == n.Entry.ID && e.State == s {
					return true
				}
			}
			return false
		})
	}
}

// within runs the fleet until ok returns true, and fails if that takes longer than bound.
func within(c *qt.C, f *fleet.Fleet, bound time.Duration, what string, ok func() bool) {
	took := f.RunUntil(bound, ok)
	c.Assert(ok(), qt.IsTrue, qt.Commentf("%s: not after %v", what, took))
}

// assertNeverGone runs the fleet for d and fails as soon as any entry sees one of the
// healthy nodes as gone.
func assertNeverGone(c *qt.C, f *fleet.Fleet, d time.Duration, healthy ...*fleet.Node) {
	const step = 100 * time.Millisecond
	for end := f.Now().Add(d); f.Now().Before(end); f.Run(step) {
		for _, n := range healthy {
			ok := f.AllViews(func(_ *fleet.Node, v member.View) bool {
				e, _ := v.Find(n.Entry.ID.Name)
				return !e.State.Gone()
			})
			c.Assert(ok, qt.IsTrue, qt.Commentf("%s seen as gone at %v", n.Entry.ID.Name, f.Now().Sub(fleet.Start)))
		}
	}
}

// Callers keep using an entry's address that locate returned. An entry that is gone must
// therefore be gone in every view within the limit, and one that was only unreachable
// must return, without effect on any other entry. Each row injects one fault into a
// settled fleet, and checks what every entry must see and by when.
func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		sizes []fleetSize
		run   func(c *qt.C, f *fleet.Fleet, s fleetSize)
	}{
		{"an entry lost", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, s fleetSize) {
			f.Lose(f.Nodes[4])
			within(c, f, s.detectionLimit, "death", seenAs(f, f.Nodes[4], member.Dead))
		}},
		{"a place lost", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			var lost []*fleet.Node
			for _, n := range f.Nodes {
				if n.Entry.Place == "place-01" {
					f.Lose(n)
					lost = append(lost, n)
				}
			}
			for _, n := range lost {
				within(c, f, 13*time.Second, "death in a lost place", seenAs(f, n, member.Dead))
			}
		}},
		{"two lost at once", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			f.Lose(f.Nodes[4])
			f.Lose(f.Nodes[5])
			within(c, f, 13*time.Second, "first", seenAs(f, f.Nodes[4], member.Dead))
			within(c, f, 13*time.Second, "second", seenAs(f, f.Nodes[5], member.Dead))
		}},
		{"a short pause", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			f.Pause(f.Nodes[4])
			f.Run(time.Second)
			f.Resume(f.Nodes[4])
			assertNeverGone(c, f, 10*time.Second, f.Nodes...)
		}},
		{"a long pause", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, s fleetSize) {
			f.Pause(f.Nodes[4])
			within(c, f, s.detectionLimit, "death", seenAs(f, f.Nodes[4], member.Dead))
			f.Run(time.Minute)
			f.Resume(f.Nodes[4])
			within(c, f, 20*time.Second, "return", f.Converged)
			assertNeverGone(c, f, 20*time.Second, f.Nodes...)
		}},
		{"a resumed entry suspects nobody", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			f.Run(50 * time.Millisecond)
			f.Pause(f.Nodes[4])
			f.Run(30 * time.Second)
			f.Resume(f.Nodes[4])
			others := append(append([]*fleet.Node{}, f.Nodes[:4]...), f.Nodes[5:]...)
			assertNeverGone(c, f, 20*time.Second, others...)
		}},
		{"paused while another is lost", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			f.Pause(f.Nodes[4])
			f.Lose(f.Nodes[7])
			f.Run(time.Minute)
			f.Resume(f.Nodes[4])
			within(c, f, 8*time.Second, "death", seenAs(f, f.Nodes[7], member.Dead))
		}},
		{"flapping", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			others := append(append([]*fleet.Node{}, f.Nodes[:4]...), f.Nodes[5:]...)
			for range 8 {
				f.Pause(f.Nodes[4])
				assertNeverGone(c, f, 5*time.Second, others...)
				f.Resume(f.Nodes[4])
				assertNeverGone(c, f, 3*time.Second, others...)
			}
			within(c, f, 20*time.Second, "return", f.Converged)
		}},
		{"two entries can't see each other", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			one, two := f.Nodes[4], f.Nodes[7]
			f.Partition(func(a, b *fleet.Node) bool { return a == one && b == two || a == two && b == one })
			assertNeverGone(c, f, 30*time.Second, f.Nodes...)
		}},
		{"a group cut off for a minute", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			side := func(n *fleet.Node) bool { return n.Entry.Place == "place-00" }
			f.Partition(func(a, b *fleet.Node) bool { return side(a) != side(b) })
			f.Run(time.Minute)
			f.Partition(nil)
			within(c, f, 25*time.Second, "merge", f.Converged)
			assertNeverGone(c, f, 20*time.Second, f.Nodes...)
		}},
		{"restarted at once", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			f.Lose(f.Nodes[4])
			f.Boot(f.Nodes[4])
			within(c, f, 8*time.Second, "new incarnation", seenAs(f, f.Nodes[4], member.Alive))
			within(c, f, 20*time.Second, "agreement", f.Converged)
		}},
		{"restarted after its death was noticed", []fleetSize{today}, func(c *qt.C, f *fleet.Fleet, s fleetSize) {
			f.Lose(f.Nodes[4])
			within(c, f, s.detectionLimit, "death", seenAs(f, f.Nodes[4], member.Dead))
			f.Boot(f.Nodes[4])
			within(c, f, 5*time.Second, "new incarnation", seenAs(f, f.Nodes[4], member.Alive))
		}},
		{"all restarted", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			for _, n := range f.Nodes {
				f.Lose(n)
				f.Boot(n)
			}
			within(c, f, 25*time.Second, "agreement", f.Converged)
		}},
		{"a planned stop", []fleetSize{today, grown}, func(c *qt.C, f *fleet.Fleet, _ fleetSize) {
			f.Handle(f.Nodes[4], member.Leave{})
			within(c, f, 5*time.Second, "leaving", seenAs(f, f.Nodes[4], member.Leaving))
			assertNeverGone(c, f, 20*time.Second, f.Nodes...)
			f.Handle(f.Nodes[4], member.Depart{})
			f.Run(time.Second)
			f.Lose(f.Nodes[4])
			within(c, f, 5*time.Second, "left", seenAs(f, f.Nodes[4], member.Left))
		}},
		{"lost while leaving", []fleetSize{today}, func(c *qt.C, f *fleet.Fleet, s fleetSize) {
			f.Handle(f.Nodes[4], member.Leave{})
			f.Run(3 * time.Second)
			f.Lose(f.Nodes[4])
			within(c, f, s.detectionLimit, "death", seenAs(f, f.Nodes[4], member.Dead))
		}},
	}
	for _, tt := range tests {
		for _, s := range tt.sizes {
			t.Run(tt.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				for seed := range s.seeds {
					tt.run(c, settledFleet(c, s, seed), s)
				}
			})
		}
	}
}

// A network partition separates one region from the others for three minutes. A
// longer one makes no difference until dead entries are removed after a day. Each side
// believes the other dead, and when the partition heals each receives old reports of the
// death of its own entries. Merging these would leave locate without entries on both sides
// at once. No entry may see one of its own side as gone in the 40 s after the
// partition heals, and all must agree by then.
func TestRegionsPartitioned(t *testing.T) {
	c := qt.New(t)
	f := settledFleet(c, grown, 7)
	side := func(n *fleet.Node) bool { return n.Entry.Region == "region-0" }
	f.Partition(func(a, b *fleet.Node) bool { return side(a) != side(b) })
	f.Run(3 * time.Minute)
	f.Partition(nil)
	for start := f.Now(); f.Now().Sub(start) < 40*time.Second; f.Run(100 * time.Millisecond) {
		ok := f.AllViews(func(n *fleet.Node, v member.View) bool {
			for _, o := range f.Nodes {
				e, _ := v.Find(o.Entry.ID.Name)
				if side(o) == side(n) && e.State.Gone() {
					return false
				}
			}
			return true
		})
		c.Assert(ok, qt.IsTrue, qt.Commentf("own side seen as gone %v after the merge", f.Now().Sub(start)))
	}
	c.Assert(f.Converged(), qt.IsTrue)
}

// An operator's edit reaches one entry, in some rows while others are unreachable.
// Every entry must have it within 13 s of being reachable.
func TestRevisionsSpread(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet.Fleet)
		heal  func(f *fleet.Fleet)
	}{
		{"in quiet", func(*fleet.Fleet) {}, func(*fleet.Fleet) {}},
		{"with a place lost", func(f *fleet.Fleet) {
			for _, n := range f.Nodes {
				if n.Entry.Place == "place-01" {
					f.Lose(n)
				}
			}
		}, func(*fleet.Fleet) {}},
		{"with a place cut off", func(f *fleet.Fleet) {
			f.Partition(func(a, b *fleet.Node) bool {
				return a.Entry.Place != b.Entry.Place && (a.Entry.Place == "place-01" || b.Entry.Place == "place-01")
			})
			f.Run(20 * time.Second)
		}, func(f *fleet.Fleet) { f.Partition(nil) }},
		{"with an entry paused", func(f *fleet.Fleet) { f.Pause(f.Nodes[5]); f.Run(10 * time.Second) }, func(f *fleet.Fleet) { f.Resume(f.Nodes[5]) }},
	}
	for _, tt := range tests {
		for _, s := range []fleetSize{today, grown} {
			t.Run(tt.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := settledFleet(c, s, 3)
				tt.fault(f)
				f.Handle(f.Nodes[0], member.SetRevisions{Revisions: member.Revisions{Settings: 8}})
				f.Run(time.Second)
				tt.heal(f)
				within(c, f, 13*time.Second, "settings", func() bool {
					return f.AllViews(func(n *fleet.Node, _ member.View) bool { return n.Revisions == member.Revisions{Settings: 8} })
				})
			})
		}
	}
}

// A target announces its stop only to the entry that it serves at that time, and a
// request that crashes targets is observed by one entry at a time. Each notice must
// reach the other entries within 5 s, and must be new to each of them only once.
func TestRumours(t *testing.T) {
	for _, s := range []fleetSize{today, grown} {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range s.seeds {
				f := settledFleet(c, s, seed)
				f.Handle(f.Nodes[2], member.SpreadRumours{Rumours: member.Rumours{
					LeavingNotices: []member.LeavingNotice{{Target: "w1", Boot: 4, Time: f.Now()}},
					CrashReports:   []member.CrashReport{{Fingerprint: 99, Crashes: 1, Time: f.Now()}},
				}})
				within(c, f, 5*time.Second, "rumours", func() bool {
					return f.AllViews(func(n *fleet.Node, _ member.View) bool {
						return n == f.Nodes[2] || len(n.Rumours.LeavingNotices) == 1 && len(n.Rumours.CrashReports) == 1
					})
				})
				f.Run(20 * time.Second)
				f.AllViews(func(n *fleet.Node, _ member.View) bool {
					c.Assert(len(n.Rumours.LeavingNotices) <= 1 && len(n.Rumours.CrashReports) <= 1, qt.IsTrue, qt.Commentf("received again: %+v", n.Rumours))
					return true
				})
			}
		})
	}
}
