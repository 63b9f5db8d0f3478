package gateway

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/ratelimit"
)

// issuerOf returns the entry that issues an account's tokens, and the others.
func issuerOf(w *world, entries []*entry, account string) (issuer *entry, others []*entry) {
	name := entries[0].issuer(account)
	for _, e := range entries {
		if e.self.Name == name {
			issuer = e
		} else {
			others = append(others, e)
		}
	}
	w.c.Assert(issuer, qt.IsNotNil)
	return issuer, others
}

// The issuer of a busy account stops as planned and comes back, while callers reach the other
// entries. An account below its limit must not be refused for that: without the transfer its
// successor fills at 0.4 of the rate for a second. One above its limit must stay within its quota
// by the targets' count: without what the successor has granted, the bucket would count twice.
func TestPlannedStopOfIssuer(t *testing.T) {
	tests := []struct {
		name string
		load float64
	}{{"below the limit", 62}, {"above the limit", 250}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 2})
			for _, k := range w.workers {
				k.Slots = 64
				w.writeTarget(k, "gowns", "ready")
			}
			w.configureAccounts(objects.Account{Name: "busy", Keys: []string{"k1"}, Rate: 100, Burst: 20})
			entries := startQuotaEntries(w, 4)
			issuer, others := issuerOf(w, entries, "busy")
			time.Sleep(2 * time.Second) // the bucket is full
			var wait sync.WaitGroup
			var statuses map[int]int
			wait.Go(func() { statuses = w.load(others, "k1", tt.load, 9*time.Second) })
			time.Sleep(2 * time.Second)
			issuer.Gateway.bounds.Store(quotaBounds(*issuer.bounds.Load()))
			issuer.stop()
			w.c.Assert(<-issuer.done, qt.IsNil)
			back := w.startEntry(issuer.self.Name, others...)
			back.bounds.Store(quotaBounds(*back.bounds.Load()))
			wait.Wait()
			w.c.Assert(others[0].issuer("busy"), qt.Equals, back.self.Name)
			const allowed = (100*5+20)*1.1 + 20
			most := maxRunsWithin(w.runsOf("busy"), time.Time{}, 5*time.Second)
			t.Logf("at most %d runs in 5 s, %v", most, statuses)
			w.c.Assert(float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d runs in a window", most))
			if tt.load < 100 {
				w.c.Assert(statuses[http.StatusOK], qt.Equals, sum(statuses), qt.Commentf("%v", statuses))
			}
		})
	}
}

// The longest transfers must not exceed the size of a packet's part, or datagrams would be
// fragmented, and none may be left out.
func TestSplitTransfers(t *testing.T) {
	longest := wire.TokenTransfer{
		Account: "a", Rate: 1, Burst: 1, Version: math.MaxUint64, Level: 1, PaceMicros: -1, ReturnMicros: -1, Share: 1, Sequence: math.MaxUint64,
	}
	for _, length := range []int{1, 40, 300, maxTransferBytes - transferOverhead} {
		longest.Account = strings.Repeat("a", length)
		size := proto.Size(&wire.Datagram{Transfers: []*wire.TokenTransfer{&longest}})
		qt.Check(t, size <= transferOverhead+length, qt.IsTrue, qt.Commentf("%d bytes for a name of %d", size, length))
		parts := splitTransfers(make([]ratelimit.Transfer, 0))
		qt.Check(t, parts, qt.HasLen, 0)
		var list []ratelimit.Transfer
		for n := range 50 {
			list = append(list, ratelimit.Transfer{Account: longest.Account, Sequence: uint64(n)})
		}
		n := uint64(0)
		for _, part := range splitTransfers(list) {
			qt.Check(t, len(part)*size <= maxTransferBytes, qt.IsTrue, qt.Commentf("%d of %d bytes", len(part), size))
			for _, x := range part {
				qt.Check(t, x.Sequence, qt.Equals, n)
				n++
			}
		}
		qt.Check(t, n, qt.Equals, uint64(50))
	}
	qt.Check(t, splitTransfers([]ratelimit.Transfer{{Account: strings.Repeat("a", maxTransferBytes)}}), qt.HasLen, 0)
}

// An entry that starts receives transfers before it has a configuration. They must count once it
// has one, also if it takes longer than a stop of the process would be allowed to.
func TestTransferBeforeConfiguration(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	g := w.newGateway("a", 1)
	now := time.Now()
	l := ratelimit.Limit{Rate: 100, Burst: 100, Version: 1}
	g.bounds.Store(quotaBounds(*g.bounds.Load()))
	g.quotas.issuer.SetTolerance(now, tolerance(*g.bounds.Load()))
	g.quotas = newQuotas(g)
	p := relay.Packet{Kind: relay.TokenTransfer, Transfers: []ratelimit.Transfer{{Account: "busy", Limit: l, Level: 77, Share: 1, Sequence: 1}}}
	p.ID.Name = "b"
	g.quotas.receiveTransfers(now, p)
	since := now.Add(700 * time.Millisecond)
	g.quotas.issuer.SetShare(since, 1)
	grant := g.quotas.issuer.Grant(since, "c", since, ratelimit.Ask{Account: "busy", Sequence: 1, Wanted: 200, Limit: l})
	w.c.Assert(fmt.Sprint(grant.Tokens, grant.Settling), qt.Equals, "105 false") // all that the bucket may hold
}

// Transfers aren't acknowledged. Each packet must be sent twice, so that one lost datagram doesn't
// make the successor start anew.
func TestTransfersSentTwice(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	g := w.newGateway("a", 1)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	w.c.Assert(err, qt.IsNil)
	defer conn.Close()
	began := time.Now()
	g.quotas.sendTransfers("b", conn.LocalAddr().String(), []ratelimit.Transfer{{Account: "busy", Sequence: 5}})
	buf := make([]byte, 2048)
	for copies := 0; copies < 2; {
		w.c.Assert(conn.SetReadDeadline(time.Now().Add(waitLimit)), qt.IsNil)
		n, _, err := conn.ReadFrom(buf)
		w.c.Assert(err, qt.IsNil)
		var d wire.Datagram
		w.c.Assert(proto.Unmarshal(buf[:n], &d), qt.IsNil)
		if d.Kind != wire.Kind(relay.TokenTransfer) {
			continue // a probe of the path
		}
		copies++
		w.c.Assert(d.Transfers, qt.HasLen, 1)
		w.c.Assert(d.Transfers[0].Sequence, qt.Equals, uint64(5))
		w.c.Assert(d.Ident.Name, qt.Equals, "a")
	}
	w.c.Assert(time.Since(began) >= transferRepeat, qt.IsTrue)
}

// An entry is stopped with nearly no grace period while its control loop is busy. Its buckets must
// leave before its relay closes.
func TestTransferAtShortGrace(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	w.configureAccounts(objects.Account{Name: "busy", Keys: []string{"k1"}, Rate: 20, Burst: 100})
	entries := startQuotaEntries(w, 2)
	issuer, others := issuerOf(w, entries, "busy")
	time.Sleep(6 * time.Second) // the bucket is full
	b := *quotaBounds(*issuer.bounds.Load())
	b.Grace = time.Millisecond
	issuer.bounds.Store(&b)
	issuer.quotas.mu.Lock()
	issuer.stop()
	time.Sleep(100 * time.Millisecond)
	issuer.quotas.mu.Unlock()
	w.c.Assert(<-issuer.done, qt.IsNil)
	q := others[0].quotas
	w.waitFor("the successor issues", func() bool { return others[0].issuer("busy") == others[0].self.Name })
	applied := func() bool { // without a transfer there is no bucket yet
		q.mu.Lock()
		defer q.mu.Unlock()
		list := q.issuer.Status(time.Now())
		return len(list) == 1 && list[0].Tokens >= 100
	}
	w.waitFor("the bucket at the successor", applied)
}

// A transfer reaches an entry that takes another one for the issuer. It must be kept and not
// used, whatever the time since when the other one is the issuer.
func TestTransferAtAnotherEntry(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	g := w.newGateway("a", 1)
	now := time.Now()
	g.quotas.issuer.SetTolerance(now, tolerance(*quotaBounds(*g.bounds.Load())))
	g.quotas.assignment.Update(now, []string{"busy"}, []string{"b"})
	x := ratelimit.Transfer{Account: "busy", Limit: ratelimit.Limit{Rate: 100, Burst: 100}, Level: 77, Share: 1, Sequence: 1}
	w.c.Assert(g.quotas.accept(now, "c", x), qt.Equals, ratelimit.Held)
	w.c.Assert(g.quotas.passing(now, "busy"), qt.IsTrue)
	w.c.Assert(g.quotas.passing(now.Add(passingTime), "busy"), qt.IsFalse)
}
