package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

// A caller sends its booking, gets no answer it can use, and sends it again
// through another entry while one fault holds. The second try replays, waits,
// or is told unknown; it runs only if the first surely did not.
func TestResend(t *testing.T) {
	notRun := func(context.Context) claim.Ended {
		return claim.Ended{Outcome: call.NotRun, Reason: "shed", RetryAfter: time.Second}
	}
	cut := func(s *site) Run {
		run := s.run("k")
		return func(ctx context.Context) claim.Ended {
			run(ctx)
			return claim.Ended{Reason: "cut"}
		}
	}
	for _, tc := range []struct {
		name   string
		first  func(s *site) Run
		fault  func(s *site)
		print  uint64
		kind   claim.Kind
		reason claim.Reason
		runs   int
	}{
		{name: "it ran", kind: claim.Replay, runs: 1},
		{name: "its answer was cut", first: cut, kind: claim.Uncertain, reason: claim.ReasonRanUnknown, runs: 1},
		{name: "it was shed", first: func(*site) Run { return notRun }, kind: claim.Fresh, runs: 1},
		{name: "another body", print: 2, kind: claim.Conflict, reason: claim.ReasonKeyReused, runs: 1},
		{name: "store down", fault: func(s *site) { s.store.set(func(f *fakeStore) { f.down = true }) }, kind: claim.Replay, runs: 1},
		{name: "one replica dead", fault: func(s *site) { s.kill(s.replicas("k")[1]) }, kind: claim.Replay, runs: 1},
		{name: "answers of one replica lost", fault: func(s *site) { s.silence(s.replicas("k")[1]) }, kind: claim.Replay, runs: 1},
		{name: "two replicas restarted", fault: func(s *site) {
			for _, n := range s.replicas("k")[:2] {
				s.kill(n)
				s.add(n.self.Name, 2)
			}
			s.until("the ring to name both", func() bool {
				r := s.nodes[len(s.nodes)-1].Ring()
				return !r.Joint() && len(r.Losses) == 1 && len(r.Members) == 5
			})
		}, kind: claim.Uncertain, reason: claim.ReasonRecordsLost, runs: 1},
		{name: "one replica replaced, then another", fault: func(s *site) {
			for range 2 {
				s.kill(s.replicas("k")[0])
				s.settledLive()
			}
		}, kind: claim.Replay, runs: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := build(t, 5)
			run := s.run("k")
			if tc.first != nil {
				run = tc.first(s)
			}
			s.do(s.outsider("k"), "k", run)
			s.recorded("k")
			if tc.fault != nil {
				tc.fault(s)
			}
			n := s.outsider("k")
			r := Request{Service: "deposit-ledger", Key: "k", Print: max(tc.print, 1), Deadline: time.Now().Add(5 * time.Second)}
			got := n.Do(context.Background(), r, s.run("k"))
			c.Assert(got.Reason, qt.Equals, tc.reason)
			c.Assert(got.Kind, qt.Equals, tc.kind)
			c.Assert(s.count("k"), qt.Equals, tc.runs)
		})
	}
}

// While the first try runs, the caller sends the same key again, here and
// elsewhere. Here it waits for the run; elsewhere it is told to come back.
func TestResendWhileRunning(t *testing.T) {
	s, c := build(t, 5)
	n, other := s.nodes[0], s.nodes[1]
	started, finish := make(chan struct{}), make(chan struct{})
	run := s.run("k")
	slow := func(ctx context.Context) claim.Ended {
		close(started)
		<-finish
		return run(ctx)
	}
	results := make(chan claim.Result, 2)
	go func() { results <- s.do(n, "k", slow) }()
	<-started
	got := s.do(other, "k", run)
	c.Assert(got.Kind, qt.Equals, claim.Uncertain)
	c.Assert(got.Reason, qt.Equals, claim.ReasonInProgress)
	c.Assert(got.RetryAfter > 0, qt.IsTrue)
	go func() { results <- s.do(n, "k", run) }()
	close(finish)
	one, two := <-results, <-results
	c.Assert([]claim.Kind{one.Kind, two.Kind}, qt.Contains, claim.Fresh)
	c.Assert([]claim.Kind{one.Kind, two.Kind}, qt.Contains, claim.Replay)
	c.Assert(s.count("k"), qt.Equals, 1)
}

// Many entries get the same key at once, for many keys, while entries die and
// come and the store loses answers. No key may run twice.
func TestManyAtOnce(t *testing.T) {
	s, c := build(t, 6)
	s.store.set(func(f *fakeStore) { f.losing = true })
	var wg sync.WaitGroup
	const keys = 200
	for i := range keys {
		key := fmt.Sprint(i)
		if i == keys/4 {
			s.kill(s.nodes[5])
		}
		if i == keys/2 {
			s.add("e6", 1)
		}
		for n := range 3 {
			wg.Go(func() { s.do(s.nodes[n], key, s.run(key)) })
		}
		if i%20 == 19 {
			wg.Wait()
		}
	}
	wg.Wait()
	ran := 0
	for i := range keys {
		c.Assert(s.count(fmt.Sprint(i)) <= 1, qt.IsTrue)
		ran += s.count(fmt.Sprint(i))
	}
	c.Assert(ran > keys/2, qt.IsTrue, qt.Commentf("%d of %d ran", ran, keys))
}

// The caller has given up before a majority was found.
func TestDeadline(t *testing.T) {
	s, c := build(t, 5)
	for _, n := range s.replicas("k")[:2] {
		s.silence(n)
	}
	got := s.outsider("k").Do(context.Background(), Request{Service: "deposit-ledger", Key: "k", Print: 1, Deadline: time.Now().Add(20 * time.Millisecond)}, s.run("k"))
	c.Assert(got.Kind, qt.Equals, claim.Uncertain)
	c.Assert(s.count("k"), qt.Equals, 0)
}

func TestRingChanges(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  func(s *site)
		n      int
		writes int // at the most
	}{
		{"nothing", func(*site) {}, 5, 0},
		{"one joins", func(s *site) { s.add("e5", 1) }, 6, 2},
		{"one leaves", func(s *site) { s.mu.Lock(); s.nodes[2].leaving = true; s.mu.Unlock() }, 4, 2},
		{"one dies", func(s *site) { s.kill(s.nodes[2]) }, 4, 2},
		{"answers of writes are lost", func(s *site) { s.store.set(func(f *fakeStore) { f.losing = true }); s.add("e5", 1) }, 6, 2},
		{"the store went back", func(s *site) { s.store.set(func(f *fakeStore) { f.document, f.version = nil, 0 }); s.add("e5", 1) }, 6, 3},
		{"the document is corrupt", func(s *site) { s.store.set(func(f *fakeStore) { f.document = []byte("{") }); s.add("e5", 1) }, 6, 3},
		{"the store is down for a while", func(s *site) {
			s.store.set(func(f *fakeStore) { f.down = true })
			s.add("e5", 1)
			s.do(s.nodes[0], "k", s.run("k"))
			qt.Assert(s.t, s.count("k"), qt.Equals, 1)
			s.store.set(func(f *fakeStore) { f.down = false })
		}, 6, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := build(t, 5)
			before := s.nodes[0].Ring().Revision
			writes := s.store.count()
			tc.fault(s)
			r := s.settled(tc.n)
			c.Assert(r.Revision >= before, qt.IsTrue)
			c.Assert(s.store.count()-writes <= tc.writes, qt.IsTrue, qt.Commentf("%d writes", s.store.count()-writes))
			c.Assert(r.Losses, qt.HasLen, 0)
		})
	}
}

// A leaving entry holds records until they are copied; only then may it stop.
func TestLeaverIsClearAfterCopies(t *testing.T) {
	s, c := build(t, 5)
	n := s.replicas("k")[0]
	s.do(s.outsider("k"), "k", s.run("k"))
	s.recorded("k")
	c.Assert(n.Clear(), qt.IsFalse)
	s.mu.Lock()
	n.leaving = true
	s.mu.Unlock()
	s.until("the leaver to be clear", n.Clear)
	for _, m := range s.replicas("k") {
		keys, _ := m.Keys()
		c.Assert(keys, qt.Equals, 1)
	}
}

func TestOfferRefuses(t *testing.T) {
	s, c := build(t, 3)
	n := s.nodes[0]
	good := n.Ring()
	older, err := ring.Encode(ring.Ring{Revision: good.Revision, Members: good.Members[:1]})
	c.Assert(err, qt.IsNil)
	c.Assert(n.Offer(older), qt.IsNil)
	c.Assert(n.Offer([]byte("{")), qt.ErrorMatches, "offer ring: decode ring.*")
	c.Assert(n.Ring(), qt.DeepEquals, good)
}

func (f *fakeStore) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes
}

// live gives the entries that are not dead.
func (s *site) live() (out []*node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n.died.IsZero() {
			out = append(out, n)
		}
	}
	return out
}

func (s *site) settledLive() { s.settled(len(s.live())) }

// replicas gives the live replicas of a key under the newest ring.
func (s *site) replicas(key string) (out []*node) {
	var r ring.Ring
	for _, n := range s.live() {
		if cur := n.Ring(); cur.Newer(r) {
			r = cur
		}
	}
	for _, m := range ring.Replicas(r.Members, "deposit-ledger", key) {
		for _, n := range s.live() {
			if n.self.Ident == m.Ident {
				out = append(out, n)
			}
		}
	}
	return out
}

// outsider gives a live entry that is no replica of the key, if there is one.
func (s *site) outsider(key string) *node {
	set := s.replicas(key)
	live := s.live()
	for _, n := range live {
		if !contains(set, n) {
			return n
		}
	}
	return live[0]
}

func contains(nodes []*node, n *node) bool {
	for _, m := range nodes {
		if m == n {
			return true
		}
	}
	return false
}

func (s *site) silence(n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[n.self.Peer] = true
}

// recorded waits until the outcome of a key's first try has reached all of its
// replicas.
func (s *site) recorded(key string) {
	s.until("the outcome to be recorded", func() bool {
		for _, n := range s.replicas(key) {
			n.mu.Lock()
			records := n.table.Records(time.Now())
			n.mu.Unlock()
			for _, r := range records {
				if r.Key == key && r.Answer == nil {
					return false
				}
			}
		}
		return true
	})
}
