package claims

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Most entries are out of reach, or the loops of all stand still, so that
// nobody knows whether the ring has gone on. A booking that ran is still
// answered from its record, and a new one doesn't run: it could run on the
// other side too.
func TestNoContactNoRun(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(s *site)
		kind  claim.Kind // of new keys in the end
	}{
		{"two of five are gone", func(s *site) { s.kill(s.nodes[3]); s.kill(s.nodes[4]) }, claim.Fresh},
		{"three of five are gone", func(s *site) { s.kill(s.nodes[2]); s.kill(s.nodes[3]); s.kill(s.nodes[4]) }, claim.Uncertain},
		{"all loops stand still", func(s *site) {
			for _, n := range s.nodes {
				n.stop()
			}
		}, claim.Uncertain},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := build(t, 5)
			before := s.knownTo("old", s.nodes[:2])
			c.Assert(s.do(s.nodes[0], before, s.run(before)).Kind, qt.Equals, claim.Fresh)
			s.recorded(before)
			tc.fault(s)
			n := 0
			s.until(fmt.Sprint("kind ", tc.kind), func() bool {
				n++
				key := s.knownTo(fmt.Sprint("new", n), s.nodes[:2])
				return s.do(s.nodes[0], key, s.run(key)).Kind == tc.kind
			})
			c.Assert(s.do(s.nodes[1], before, s.run(before)).Kind, qt.Equals, claim.Replay)
			c.Assert(s.count(before), qt.Equals, 1)
		})
	}
}

// knownTo gives a key of which some entries are replicas.
func (s *site) knownTo(prefix string, nodes []*node) string {
	for i := 0; ; i++ {
		key := fmt.Sprint(prefix, "-", i)
		n := 0
		for _, r := range s.replicas(key) {
			if r == nodes[0] || r == nodes[1] {
				n++
			}
		}
		if n == 2 {
			return key
		}
	}
}

// Two of three entries go on under a newer ring, which has given up this one,
// and still answer it. Their answers don't make the former ring valid.
func TestAnswersUnderANewerRing(t *testing.T) {
	for _, tc := range []struct {
		name     string
		revision uint64
		want     claim.Verdict
	}{
		{"behind", 6, claim.Accepted},
		{"same", 7, claim.Accepted},
		{"newer", 8, claim.WrongRing},
	} {
		t.Run(tc.name, func(t *testing.T) {
			members := []ring.Member{{Ident: ring.Ident{Name: "a", Boot: 1}}, {Ident: ring.Ident{Name: "b", Boot: 1}}, {Ident: ring.Ident{Name: "c", Boot: 1}}}
			e := New(Config{Self: members[0]})
			e.adopt(ring.Ring{Revision: 7, Members: members})
			e.heard(time.Now(), members[1].Ident, tc.revision)
			reply := e.Claim(claim.Ask{Claim: claim.Claim{Service: "s", Key: "k", ID: "x"}, To: members[0].Ident, Ring: 7})
			qt.Assert(t, reply.Verdict, qt.Equals, tc.want)
		})
	}
}
