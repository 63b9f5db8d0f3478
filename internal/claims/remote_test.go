package claims

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/ring"
)

// settings answers peers that ask for the ring.
type settings struct{ claims *Claims }

func (s settings) Since(_ context.Context, have member.Marks) (ch peer.Change, err error) {
	ch.Ring, err = s.claims.Newer(have.Ring)
	return ch, err
}

// remote starts n entries that talk over loopback, in one ring.
func remote(c testing.TB, n int) (out []*Claims, client *peer.Client) {
	client = peer.NewClient(peer.ClientConfig{})
	c.Cleanup(client.Close)
	r := ring.Ring{Revision: 1}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(c, err, qt.IsNil)
		self := ring.Member{Ident: ring.Ident{Name: fmt.Sprintf("e%d", i), Boot: 1}, Peer: l.Addr().String(), Place: fmt.Sprint(i)}
		e := New(Config{Self: self, Peers: Remote{client}, View: func() ring.View { return ring.View{} }})
		srv := peer.NewServer(peer.ServerConfig{Self: member.ID(self.Ident), Settings: settings{e}, Claims: Local{e}})
		go func() { _ = srv.Serve(l) }()
		ctx, cancel := context.WithCancel(context.Background())
		go e.probing(ctx)
		c.Cleanup(func() {
			cancel()
			e.Close()
			_ = srv.Close()
		})
		out = append(out, e)
		r.Members = append(r.Members, self)
	}
	document, err := ring.Encode(r)
	qt.Assert(c, err, qt.IsNil)
	for _, e := range out {
		qt.Assert(c, e.Offer(document), qt.IsNil)
	}
	return out, client
}

var booked = claim.Answer{
	Outcome: call.Ran, Status: 201, Body: []byte("booked"), Whole: true,
	Header: []claim.Field{{Name: "Content-Type", Value: "text/plain"}},
}

func TestOverTheWire(t *testing.T) {
	c := qt.New(t)
	entries, client := remote(t, 4)
	run := func(context.Context) claim.Ended { return claim.Ended{Outcome: call.Ran, Answer: booked} }
	r := Request{Service: "deposit-ledger", Key: "k", Print: 1 << 63, Deadline: time.Now().Add(5 * time.Second)}
	c.Assert(entries[0].Do(context.Background(), r, run).Kind, qt.Equals, claim.Fresh)
	for _, e := range entries[1:] {
		got := e.Do(context.Background(), r, run)
		for got.Reason == claim.ReasonInProgress {
			got = e.Do(context.Background(), r, run)
		}
		c.Assert(got, qt.DeepEquals, claim.Result{Kind: claim.Replay, Answer: booked})
	}
	set := ring.Replicas(entries[0].Ring().Members, r.Service, r.Key)
	revision, err := Remote{client}.Records(context.Background(), set[0], Batch{To: set[0].Ident, From: set[1].Ident, Ring: 1, Records: []claim.Record{
		{Claim: claim.Claim{Service: "s", Key: "copied", Print: 7, ID: claim.ID(7, set[1].Ident, 9), By: set[1].Ident}, Age: time.Minute, Answer: &booked},
		{Claim: claim.Claim{Service: "s", Key: "held", Print: 7, ID: claim.ID(7, set[1].Ident, 10), By: set[1].Ident}},
	}})
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, uint64(1))
	_, err = Remote{client}.Records(context.Background(), set[0], Batch{To: ring.Ident{Name: set[0].Name, Boot: 9}, From: set[1].Ident})
	c.Assert(err, qt.ErrorMatches, ".*expected this incarnation.*")
	document, err := Remote{client}.Ring(context.Background(), set[0], 0)
	c.Assert(err, qt.IsNil)
	got, err := ring.Decode(document)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, entries[0].Ring())
	document, err = Remote{client}.Ring(context.Background(), set[0], 1)
	c.Assert(err, qt.IsNil)
	c.Assert(document, qt.HasLen, 0)
}

func TestPlatform(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(platform.New(platform.Config{}))
	c.Cleanup(srv.Close)
	p := Platform{store.New(store.Config{Addr: srv.URL, Writes: rate.NewLimiter(rate.Inf, 1)})}
	ctx := context.Background()
	_, version, err := p.Get(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(0))
	c.Assert(p.Put(ctx, []byte("one"), 0), qt.IsNil)
	c.Assert(store.IsConflict(p.Put(ctx, []byte("two"), 0)), qt.IsTrue)
	document, version, err := p.Get(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(string(document), qt.Equals, "one")
	c.Assert(p.Put(ctx, []byte("two"), version), qt.IsNil)
}

// BenchmarkDo measures what a claim adds to a request on loopback: entry 3 is
// no replica of half of the keys.
func BenchmarkDo(b *testing.B) {
	entries, _ := remote(b, 4)
	run := func(context.Context) claim.Ended { return claim.Ended{Outcome: call.Ran, Answer: booked} }
	i := 0
	for b.Loop() {
		i++
		r := Request{Service: "s", Key: fmt.Sprint(i), Print: 1, Deadline: time.Now().Add(5 * time.Second)}
		if got := entries[3].Do(context.Background(), r, run); got.Kind != claim.Fresh {
			b.Fatal(got)
		}
	}
}
