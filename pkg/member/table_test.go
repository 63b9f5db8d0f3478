package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"plumpitch.example/plumpitch/internal/lab/fleet"
	"plumpitch.example/plumpitch/pkg/member"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(name string, boot, sequence uint64, state member.State) member.Entry {
	return member.Entry{
		ID: member.ID{Name: name, Boot: boot}, Sequence: sequence, State: state, Since: epoch,
		CallerAddress: name + ":1", PeerAddress: name + ":2", Place: "here", Region: "r",
	}
}

func table(name string) *member.Table {
	return member.New(member.Config{Self: entry(name, 5, 0, member.Alive), Rand: rand.New(rand.NewPCG(1, 2))})
}

func reply(t *member.Table, m member.Message) member.Message {
	for _, a := range t.Handle(epoch, member.Request{Message: m}) {
		if r, ok := a.(member.Reply); ok {
			return r.Message
		}
	}
	panic("no reply")
}

func TestEqualDigestsCarryNothing(t *testing.T) {
	c := qt.New(t)
	a, b := table("a"), table("b")
	intro := member.Message{From: b.View().Self.ID, Entries: []member.Entry{b.View().Self}}
	got := reply(a, intro)
	c.Assert(got.Entries, qt.Not(qt.HasLen), 0)
	got = reply(a, member.Message{From: b.View().Self.ID, Digest: a.View().Digest})
	c.Assert(got, qt.DeepEquals, member.Message{From: a.View().Self.ID, Digest: a.View().Digest})
}

// Each row sends updates about entry b to the table of entry a, one after the other,
// and gives the resulting view of b.
func TestPrecedence(t *testing.T) {
	old := func(e member.Entry) member.Entry {
		e.Since = epoch.Add(-time.Hour)
		return e
	}
	tests := []struct {
		name    string
		updates []member.Entry
		want    member.Entry
	}{
		{"first update", []member.Entry{entry("b", 1, 0, member.Alive)}, entry("b", 1, 0, member.Alive)},
		{"higher sequence", []member.Entry{entry("b", 1, 3, member.Alive), entry("b", 1, 2, member.Left)}, entry("b", 1, 3, member.Alive)},
		{"later boot", []member.Entry{entry("b", 1, 9, member.Left), entry("b", 2, 0, member.Alive)}, entry("b", 2, 0, member.Alive)},
		{"earlier boot", []member.Entry{entry("b", 2, 0, member.Alive), entry("b", 1, 9, member.Dead)}, entry("b", 2, 0, member.Alive)},
		{"suspicion", []member.Entry{entry("b", 1, 0, member.Alive), entry("b", 1, 0, member.Suspect)}, entry("b", 1, 0, member.Suspect)},
		{"refuted suspicion", []member.Entry{entry("b", 1, 0, member.Alive), entry("b", 1, 0, member.Suspect), entry("b", 1, 1, member.Alive)}, entry("b", 1, 1, member.Alive)},
		{"death is a suspicion first", []member.Entry{entry("b", 1, 0, member.Alive), entry("b", 1, 0, member.Dead)}, entry("b", 1, 0, member.Suspect)},
		{"death of a suspect", []member.Entry{entry("b", 1, 0, member.Alive), entry("b", 1, 0, member.Suspect), entry("b", 1, 0, member.Dead)}, entry("b", 1, 0, member.Dead)},
		{"old report of a death", []member.Entry{entry("b", 1, 0, member.Alive), old(entry("b", 1, 0, member.Dead))}, entry("b", 1, 0, member.Alive)},
		{"return from death", []member.Entry{entry("b", 1, 0, member.Alive), entry("b", 1, 0, member.Suspect), entry("b", 1, 0, member.Dead), entry("b", 1, 1, member.Alive)}, entry("b", 1, 1, member.Alive)},
		{"leaving", []member.Entry{entry("b", 1, 0, member.Alive), entry("b", 1, 1, member.Leaving), entry("b", 1, 0, member.Suspect)}, entry("b", 1, 1, member.Leaving)},
		{"unknown and dead", []member.Entry{entry("b", 1, 0, member.Dead)}, member.Entry{}},
		{"unknown, without addresses", []member.Entry{{ID: member.ID{Name: "b", Boot: 1}}}, member.Entry{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a := table("a")
			for _, e := range tt.updates {
				reply(a, member.Message{From: member.ID{Name: "c", Boot: 1}, Entries: []member.Entry{e}})
			}
			got, _ := a.View().Find("b")
			c.Assert(got, qt.DeepEquals, tt.want)
		})
	}
}

// The reply itself requests missing addresses and tells a sender that it is suspected,
// without waiting for another round.
func TestReplies(t *testing.T) {
	b := member.ID{Name: "b", Boot: 1}
	summary := member.Entry{ID: member.ID{Name: "z", Boot: 1}}
	tests := []struct {
		name    string
		updates []member.Entry
		from    member.ID
		check   func(c *qt.C, a *member.Table, got member.Message)
	}{
		{"unknown sender", nil, b, func(c *qt.C, _ *member.Table, got member.Message) {
			c.Assert(got.MissingAddresses, qt.DeepEquals, []string{"b"})
		}},
		{"unknown address", []member.Entry{entry("b", 1, 0, member.Alive), summary}, b, func(c *qt.C, _ *member.Table, got member.Message) {
			c.Assert(got.MissingAddresses, qt.DeepEquals, []string{"z"})
		}},
		{"suspected", []member.Entry{entry("b", 1, 0, member.Alive), entry("b", 1, 0, member.Suspect)}, b, func(c *qt.C, _ *member.Table, got member.Message) {
			c.Assert(got.Entries[0].ID, qt.Equals, b)
			c.Assert(got.Entries[0].State, qt.Equals, member.Suspect)
		}},
		{"wrongly reported dead", []member.Entry{entry("a", 5, 4, member.Dead)}, b, func(c *qt.C, _ *member.Table, got member.Message) {
			c.Assert(got.Entries[0].ID.Name, qt.Equals, "a")
			c.Assert(got.Entries[0].Sequence, qt.Equals, uint64(5))
			c.Assert(got.Entries[0].State, qt.Equals, member.Alive)
		}},
		{"report about an earlier incarnation", []member.Entry{entry("a", 4, 4, member.Dead)}, b, func(c *qt.C, a *member.Table, _ member.Message) {
			c.Assert(a.View().Self.Sequence, qt.Equals, uint64(0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a := table("a")
			tt.check(c, a, reply(a, member.Message{From: tt.from, Entries: tt.updates}))
		})
	}
}

// A replacement of a VM starts under the same name while the old process was only
// paused. The old process must receive Superseded, once.
func TestSuperseded(t *testing.T) {
	c := qt.New(t)
	a := table("a")
	m := member.Message{From: member.ID{Name: "b", Boot: 1}, Entries: []member.Entry{entry("a", 6, 0, member.Alive)}}
	var by []member.ID
	for range 2 {
		for _, act := range a.Handle(epoch, member.Request{Message: m}) {
			if s, ok := act.(member.Superseded); ok {
				by = append(by, s.By)
			}
		}
	}
	c.Assert(by, qt.DeepEquals, []member.ID{{Name: "a", Boot: 6}})
}

// The updates that entries send about themselves result in the same view in any order.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) member.Entry {
			states := []member.State{member.Alive, member.Leaving}
			return entry(
				rapid.SampledFrom([]string{"b", "c", "d"}).Draw(rt, "name"), rapid.Uint64Range(1, 3).Draw(rt, "boot"),
				rapid.Uint64Range(0, 3).Draw(rt, "sequence"), rapid.SampledFrom(states).Draw(rt, "state"),
			)
		}), 1, 12).Draw(rt, "updates")
		one, two := table("a"), table("a")
		for _, e := range updates {
			reply(one, member.Message{From: e.ID, Entries: []member.Entry{e}})
		}
		for _, e := range rapid.Permutation(updates).Draw(rt, "order") {
			reply(two, member.Message{From: e.ID, Entries: []member.Entry{e}})
		}
		if diff := cmp.Diff(one.View(), two.View()); diff != "" {
			rt.Fatalf("views differ: %s", diff)
		}
	})
}

// Faults of any kind are injected in any order, together and repeatedly. No entry may
// ever replace its view of another entry with an older one. When the faults are over,
// all entries that are up must agree.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := fleet.New(fleet.Config{Entries: 6, Places: 3, Regions: 2, Seed: rapid.Uint64().Draw(rt, "seed")})
		f.BootAll()
		f.Run(5 * time.Second)
		pick := rapid.IntRange(0, 5)
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			n := f.Nodes[pick.Draw(rt, "entry")]
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				f.Lose(n)
			case 1:
				f.Pause(n)
			case 2:
				f.Resume(n)
			case 3:
				f.Boot(n)
			case 4:
				k := pick.Draw(rt, "side")
				f.Partition(func(a, b *fleet.Node) bool {
					return a.Entry.PeerAddress <= f.Nodes[k].Entry.PeerAddress != (b.Entry.PeerAddress <= f.Nodes[k].Entry.PeerAddress)
				})
			case 5:
				f.Handle(n, member.SetRevisions{Revisions: member.Revisions{Settings: n.Revisions.Settings + 1}})
			}
			before := views(f)
			f.Run(time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "ms")) * time.Millisecond)
			assertNoRegression(rt, f, before)
		}
		f.Partition(nil)
		for _, n := range f.Nodes {
			f.Resume(n)
		}
		took := f.RunUntil(time.Minute, f.Converged)
		if !f.Converged() {
			rt.Fatalf("no agreement after %v", took)
		}
	})
}

func views(f *fleet.Fleet) (v []member.View) {
	for _, n := range f.Nodes {
		v = append(v, n.View)
	}
	return v
}

func assertNoRegression(rt *rapid.T, f *fleet.Fleet, before []member.View) {
	for i, n := range f.Nodes {
		for _, old := range before[i].Entries {
			e, ok := n.View.Find(old.ID.Name)
			back := !ok || e.ID.Boot < old.ID.Boot || e.ID.Boot == old.ID.Boot && e.Sequence < old.Sequence
			if back {
				rt.Fatalf("%s went back from %+v to %+v", n.Entry.ID.Name, old, e)
			}
		}
	}
}
