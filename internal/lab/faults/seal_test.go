package faults

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Two of six entries are cut off, for good or until long after the others gave
// them up. Keys whose replicas they were are refused, as a run is known to them
// alone. Once they are sure to accept nothing, a key made later runs again on
// the side of most, whether they came back or not, and on theirs nothing runs
// while the cut lasts.
func TestKeysOfALossRunAgain(t *testing.T) {
	const cutAt = 20 * time.Second
	for _, tc := range []struct {
		name string
		heal time.Duration
		from time.Duration // of requests
		new  claim.Kind
		old  claim.Kind // of keys without a time
		away claim.Kind // of a new key at an entry that was cut off
	}{
		{"before they were given up", 0, 35 * time.Second, claim.Uncertain, claim.Uncertain, claim.Uncertain},
		{"given up, within the skew", 0, 120 * time.Second, claim.Uncertain, claim.Uncertain, claim.Uncertain},
		{"given up for good", 0, 240 * time.Second, claim.Fresh, claim.Uncertain, claim.Uncertain},
		{"back after they were given up", 150 * time.Second, 240 * time.Second, claim.Fresh, claim.Fresh, claim.Fresh},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			w := build(1, entries)
			w.horizon = lateHorizon
			var lost func(key string) bool
			w.after(nil, cutAt, func() {
				w.cut(w.nodes[:2])
				before := w.newest().Members
				c.Check(before, qt.HasLen, entries)
				lost = func(key string) bool { return lacksTwo(before, w.nodes[:2], key) }
			})
			if tc.heal > 0 {
				w.after(nil, tc.heal, func() { w.net.cut = nil })
			}
			var fresh, old, away []claim.Kind
			ask := func(key string, n *node, into *[]claim.Kind) {
				t := &try{key: key, print: 1, node: n}
				w.tries = append(w.tries, t)
				n.request(t, 5*time.Second)
				w.after(nil, 10*time.Second, func() { *into = append(*into, t.result.Kind) })
			}
			w.after(nil, tc.from, func() {
				for i := range keys {
					if key := w.uuid(3*i, tc.from); lost(key) {
						ask(key, w.nodes[4], &fresh)
					}
					if key := w.key(2*i, tc.from); lost(key) {
						ask(key, w.nodes[4], &old)
					}
					ask(w.uuid(3*i+1, tc.from), w.nodes[0], &away)
				}
			})
			w.run()
			c.Assert(w.counts.bad(), qt.IsFalse)
			c.Assert(len(fresh) > 0 && len(old) > 0, qt.IsTrue)
			c.Assert(slices.Compact(fresh), qt.DeepEquals, []claim.Kind{tc.new})
			c.Assert(slices.Compact(old), qt.DeepEquals, []claim.Kind{tc.old})
			c.Assert(slices.Compact(away), qt.DeepEquals, []claim.Kind{tc.away})
		})
	}
}

// lacksTwo tells that two of a key's replicas are among some entries.
func lacksTwo(members []ring.Member, away []*node, key string) bool {
	n := 0
	for _, m := range ring.Replicas(members, service, key) {
		for _, a := range away {
			if a.self.Ident == m.Ident {
				n++
			}
		}
	}
	return n >= 2
}
