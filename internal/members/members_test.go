package members

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/pkg/member"
)

// node is an entry with a TCP listener and a client.
type node struct {
	*Members
	self          member.Entry
	cancel        context.CancelFunc
	server        *http.Server
	rumours       atomic.Int32
	superseded    atomic.Int32
	aheadRevision atomic.Uint64
}

// speedup makes gossip rounds ten times faster than the defaults.
const speedup = 10

func startNode(c *qt.C, name string, boot uint64, seeds ...string) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	n := &node{self: member.Entry{
		ID: member.ID{Name: name, Boot: boot}, CallerAddress: "c-" + address, PeerAddress: address, Place: "p", Region: "r",
	}}
	client := peer.NewClient(peer.ClientConfig{})
	n.Members = New(Config{
		Member: member.Config{
			Self: n.self, Seeds: seeds, Rand: rand.New(rand.NewPCG(1, boot)),
			Period: member.DefaultPeriod / speedup, SuspicionTimeout: member.DefaultSuspicionTimeout / speedup,
		},
		Client:       client,
		OnPeerAhead:  func(_ member.Ref, m member.Revisions) { n.aheadRevision.Store(m.Settings) },
		OnRumours:    func(member.Rumours) { n.rumours.Add(1) },
		OnSuperseded: func(member.ID) { n.superseded.Add(1) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.server = peer.NewServer(peer.ServerConfig{Self: n.self.ID, Members: n.Members})
	go n.server.Serve(l)
	go n.Serve(ctx)
	c.Cleanup(func() { n.stop(); client.Close() })
	return n
}

func (n *node) stop() {
	n.cancel()
	n.server.Close()
}

func (n *node) state(name string) member.State {
	e, ok := n.View().Find(name)
	if !ok {
		return member.Left
	}
	return e.State
}

func eventually(c *qt.C, what string, ok func() bool) {
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatalf("not within 10 s: %s", what)
}

// Three entries join over loopback through one seed. Then one announces its stop,
// one is killed, and the third learns of both.
func TestMembers(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	a := startNode(c, "a", 1)
	b := startNode(c, "b", 1, a.self.PeerAddress)
	d := startNode(c, "d", 1, a.self.PeerAddress)
	nodes := []*node{a, b, d}
	for _, n := range nodes {
		eventually(c, n.self.ID.Name+" sees all entries", func() bool { return len(n.Serving()) == 3 })
		got, _ := n.View().Find("b")
		c.Assert(got.CallerAddress, qt.Equals, b.self.CallerAddress)
	}

	c.Assert(b.SetRevisions(ctx, member.Revisions{Settings: 4}), qt.IsNil)
	c.Assert(b.SpreadRumours(ctx, member.Rumours{LeavingNotices: []member.LeavingNotice{{Target: "w", Time: time.Now()}}}), qt.IsNil)
	c.Assert(b.SetReady(ctx), qt.IsNil)
	for _, n := range []*node{a, d} {
		eventually(c, "settings of b", func() bool { return n.aheadRevision.Load() == 4 })
		eventually(c, "rumour of b", func() bool { return n.rumours.Load() == 1 })
		eventually(c, "b ready", func() bool {
			e, _ := n.View().Find("b")
			return e.Ready
		})
	}

	c.Assert(b.Leave(ctx), qt.IsNil)
	for _, n := range nodes {
		eventually(c, "b leaves", func() bool { return n.state("b") == member.Leaving })
	}
	c.Assert(b.Depart(ctx), qt.IsNil)
	b.stop()
	eventually(c, "b left", func() bool { return a.state("b") == member.Left })
	d.stop()
	eventually(c, "d dead", func() bool { return a.state("d") == member.Dead })
}

// A new incarnation starts under the name of an entry that still runs. The old
// incarnation learns that it is superseded.
func TestSuperseded(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a", 1)
	b := startNode(c, "b", 1, a.self.PeerAddress)
	eventually(c, "both entries have joined", func() bool { return len(a.Serving()) == 2 && len(b.Serving()) == 2 })
	startNode(c, "b", 2, a.self.PeerAddress)
	eventually(c, "the old incarnation learns of the new one", func() bool { return b.superseded.Load() == 1 })
}

// The seeds are addresses where nothing answers, or where connections are accepted
// and never answered. Calls must end with their context, and the entry runs alone.
func TestUnreachableSeeds(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	c.Assert(err, qt.IsNil)
	defer l.Close()
	a := startNode(c, "a", 1, l.Addr().String(), "127.0.0.1:1")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = a.Ping(ctx, l.Addr().String())
	c.Assert(err, qt.ErrorMatches, "ping .*deadline exceeded.*")
	c.Assert(a.SetSeeds(ctx, []string{"127.0.0.1:1"}), qt.IsNil)
	c.Assert(a.Serving(), qt.HasLen, 1)
	a.cancel()
	expiring, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	for range queueSize + 2 {
		err = a.Leave(expiring)
	}
	c.Assert(err, qt.ErrorMatches, "membership: .*deadline exceeded")
}
