package claim

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/ring"
)

// An entry leaves and another takes over its keys. If the old list were dropped
// before a majority of the new replicas has the records, a resend would find
// nobody who knows of the run.
func TestCopy(t *testing.T) {
	before, after := fleet(5, 1), fleet(6, 1)[1:]
	old := ring.Ring{Revision: 5, Members: after, Old: before}
	back := ring.Ring{Revision: 9, Members: fleet(5, 1), Losses: []ring.Loss{{At: epoch, Missing: []ring.Ident{at(0, 1)}}}}
	sealed := back
	sealed.Losses = []ring.Loss{{At: epoch, Sealed: epoch, Missing: []ring.Ident{at(0, 1)}}}
	for _, tc := range []struct {
		name string
		ring ring.Ring
		self ring.Ident
		owes bool
		all  bool
	}{
		{"leaver", old, at(0, 1), true, false},
		{"one that stays", old, at(1, 1), true, false},
		{"newcomer", old, at(5, 1), false, false},
		{"former incarnation's name", old, at(1, 2), false, false},
		{"stable", ring.Ring{Revision: 4, Members: before}, at(0, 1), false, false},
		{"given up and come back", back, at(0, 1), true, true},
		{"given up, past the bound, and come back", sealed, at(0, 1), true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(Owes(tc.ring, tc.self), qt.Equals, tc.owes)
			if !tc.owes {
				return
			}
			for i := range 100 {
				rec := copied(of(fmt.Sprint(i), 1), 0, ran)
				plan := Plan(tc.ring, tc.self, []Record{rec})
				set := ring.Replicas(tc.ring.Members, rec.Service, rec.Key)
				was := ring.Replicas(tc.ring.Old, rec.Service, rec.Key)
				if !tc.all && (!among(was, tc.self) || same(was, set)) {
					c.Assert(plan.Done(), qt.IsTrue)
					c.Assert(plan.Parts(), qt.HasLen, 0)
					continue
				}
				need := ring.Majority(len(set))
				if among(set, tc.self) {
					need--
				}
				for _, p := range plan.Parts()[:need] {
					c.Assert(plan.Done(), qt.IsFalse)
					c.Assert(p.Records, qt.DeepEquals, []Record{rec})
					plan.Acked(p.To.Ident)
				}
				c.Assert(plan.Done(), qt.IsTrue)
			}
		})
	}
}
