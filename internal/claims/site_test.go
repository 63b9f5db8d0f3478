package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

var errDown = errors.New("down")

// site is a few entries in one process, with a network, a membership and a
// store that can fail.
type site struct {
	t     *testing.T
	store *fakeStore

	mu     sync.Mutex
	nodes  []*node
	silent map[string]bool // answers are lost after the call took effect
	runs   map[string]int  // by key, from the target's own log
}

type node struct {
	*Claims
	self    ring.Member
	stop    context.CancelFunc
	died    time.Time
	leaving bool
}

func (s *site) add(name string, boot uint64) *node {
	n := &node{self: ring.Member{Ident: ring.Ident{Name: name, Boot: boot}, Peer: name, Place: "hall-" + name}}
	n.Claims = New(Config{
		Self:     n.self,
		Bounds:   ring.Config{Join: time.Millisecond, Remove: 200 * time.Millisecond, Forget: 400 * time.Millisecond, Pause: 10 * time.Millisecond, Retention: time.Hour, Skew: time.Minute},
		Peers:    &fakePeers{s, n},
		Store:    s.store,
		View:     func() ring.View { return s.view(n) },
		Log:      func(m string, err error) { s.t.Logf("%s: %s: %v", name, m, err) },
		Every:    5 * time.Millisecond,
		Turn:     5 * time.Millisecond,
		Poll:     50 * time.Millisecond,
		Patience: 300 * time.Millisecond,
		Again:    5 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Serve(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
		n.Close()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(s.nodes, n)
	return n
}

// kill ends an entry: it answers nothing more.
func (s *site) kill(n *node) {
	n.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	n.died = time.Now()
}

func (s *site) view(viewer *node) (v ring.View) {
	s.mu.Lock()
	nodes := append([]*node(nil), s.nodes...)
	s.mu.Unlock()
	for _, n := range nodes {
		s.mu.Lock()
		seen := ring.Seen{Member: n.self, First: time.Now().Add(-time.Hour), Last: time.Now(), Leaving: n.leaving}
		if !n.died.IsZero() {
			seen.Last = n.died
		}
		s.mu.Unlock()
		seen.Ring = n.Ring().Revision
		v.Seen = append(v.Seen, seen)
		if n != viewer && n.Synced() == viewer.Ring().Revision {
			v.Synced = append(v.Synced, n.self.Ident)
		}
	}
	return v
}

func (s *site) node(address string) (n *node, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n.self.Peer == address && n.died.IsZero() {
			return n, s.silent[address], nil
		}
	}
	return nil, false, errDown
}

// settled waits until all live entries have one stable ring of n members.
func (s *site) settled(n int) ring.Ring {
	var r ring.Ring
	s.until(fmt.Sprintf("a stable ring of %d", n), func() bool {
		r = ring.Ring{}
		for _, node := range s.live() {
			cur := node.Ring()
			if cur.Joint() || len(cur.Members) != n || (r.Revision != 0 && cur.Revision != r.Revision) {
				return false
			}
			r = cur
		}
		return true
	})
	return r
}

func (s *site) until(what string, ok func() bool) {
	s.t.Helper()
	limit := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(limit) {
			s.t.Fatalf("waited for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// run counts a run and answers with its number.
func (s *site) run(key string) Run {
	return func(context.Context) claim.Ended {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs[key]++
		return claim.Ended{Outcome: call.Ran, Answer: claim.Answer{Status: 200 + s.runs[key], Whole: true}}
	}
}

func (s *site) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *site) do(n *node, key string, run Run) claim.Result {
	r := Request{Service: "deposit-ledger", Key: key, Print: 1, Deadline: time.Now().Add(5 * time.Second)}
	return n.Do(context.Background(), r, run)
}

func build(t *testing.T, n int) (*site, *qt.C) {
	s := &site{t: t, store: &fakeStore{}, silent: map[string]bool{}, runs: map[string]int{}}
	for i := range n {
		s.add(fmt.Sprintf("e%d", i), 1)
	}
	s.settled(n)
	return s, qt.New(t)
}

// fakePeers calls other entries of the site.
type fakePeers struct {
	s    *site
	from *node
}

func (p *fakePeers) reach(to ring.Member) (n *node, lost error, err error) {
	if _, _, err := p.s.node(p.from.self.Peer); err != nil {
		return nil, nil, err
	}
	n, silent, err := p.s.node(to.Peer)
	if silent {
		lost = errDown
	}
	return n, lost, err
}

func (p *fakePeers) Claim(_ context.Context, to ring.Member, a claim.Ask) (claim.Reply, error) {
	n, lost, err := p.reach(to)
	if err != nil {
		return claim.Reply{}, err
	}
	return n.Claim(a), lost
}

func (p *fakePeers) Settle(_ context.Context, to ring.Member, st claim.Settlement) (bool, error) {
	n, lost, err := p.reach(to)
	if err != nil {
		return false, err
	}
	return n.Settle(st), lost
}

func (p *fakePeers) Records(_ context.Context, to ring.Member, b Batch) (uint64, error) {
	n, lost, err := p.reach(to)
	if err != nil {
		return 0, err
	}
	revision, ok := n.Take(b)
	if !ok {
		return revision, errDown
	}
	return revision, lost
}

func (p *fakePeers) Ring(_ context.Context, to ring.Member, have uint64) ([]byte, error) {
	n, lost, err := p.reach(to)
	if err != nil || lost != nil {
		return nil, errDown
	}
	return n.Newer(have)
}

// fakeStore holds one object.
type fakeStore struct {
	mu       sync.Mutex
	document []byte
	version  uint64
	down     bool
	losing   bool // writes take effect and their answers are lost
	writes   int
}

func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeStore) Get(context.Context) ([]byte, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, errDown
	}
	return f.document, f.version, nil
}

func (f *fakeStore) Put(_ context.Context, document []byte, version uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	if version != f.version {
		return errors.New("conflict")
	}
	f.document = document
	f.version++
	f.writes++
	if f.losing {
		return errDown
	}
	return nil
}
