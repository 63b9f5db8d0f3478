package claim

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/ring"
)

// A replica is cut off from the ring, and the rest may have gone on without it.
// It gives the outcomes that it knows of; any other answer could be counted as
// the vote of a replica that the rest has given up.
func TestRecall(t *testing.T) {
	x, reuse := of("k", 1), of("k", 11)
	held := func(tab *Table) { tab.Claim(epoch, ask(x)) }
	settled := func(tab *Table) { held(tab); tab.Settle(epoch, settle(x, ran)) }
	former, reborn := ask(x), ask(x)
	former.Ring = 3
	reborn.To = ring.Ident{Name: self.Name, Boot: 2}
	for _, tc := range []struct {
		name   string
		before func(*Table)
		ask    Ask
		want   Verdict
	}{
		{"free", func(*Table) {}, ask(x), WrongRing},
		{"accepted before", held, ask(x), WrongRing},
		{"held", held, ask(of("k", 2)), WrongRing},
		{"settled", settled, ask(of("k", 2)), Settled},
		{"settled, under a former ring", settled, former, WrongRing},
		{"settled for another request", settled, ask(reuse), WrongRing},
		{"another incarnation", settled, reborn, WrongIncarnation},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			tab := table()
			tc.before(tab)
			n := tab.Len()
			c.Assert(tab.Recall(epoch, tc.ask).Verdict, qt.Equals, tc.want)
			c.Assert(tab.Len(), qt.Equals, n)
		})
	}
}
