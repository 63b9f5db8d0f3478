package relay

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
)

// Guards against a peer that gets no packets because its datagrams are lost, and against
// datagrams that are used again too early.
func TestTransportFollowsAnswers(t *testing.T) {
	const peer = "127.0.0.1:1"
	type step struct {
		at     time.Duration
		event  string // "send", "ask" (a packet that is answered), "reply", "answer", "gossip", "stream"
		stream bool   // expected of "send", "ask" and "reply"
		probe  bool   // likewise
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"answered datagrams need no probes", []step{
			{0, "send", false, true},
			{5 * time.Millisecond, "answer", false, false},
			{time.Second, "send", false, false},
			{2 * time.Second, "send", false, false},
			{3 * time.Second, "send", false, true},
		}},
		{"answers to gossip confirm as well", []step{
			{0, "send", false, true},
			{5 * time.Millisecond, "gossip", false, false},
			{time.Second, "send", false, false},
		}},
		{"a packet that is answered needs no probe beside it", []step{
			{0, "ask", false, false},
			{5 * time.Millisecond, "gossip", false, false},
			{3 * time.Second, "ask", false, false},
			{4 * time.Second, "ask", true, true},
		}},
		{"no answer", []step{
			{0, "send", false, true},
			{probeTimeout / 2, "send", false, false},
			{2 * probeTimeout, "send", true, false},
			{3 * probeTimeout, "send", true, true},
			{3*probeTimeout + 10*time.Millisecond, "send", true, false},
		}},
		{"gossip by TCP doesn't repair a path", []step{
			{0, "send", false, true},
			{time.Second, "send", true, true},
			{time.Second, "gossip", false, false},
			{2 * time.Second, "send", true, true},
		}},
		{"three probes repair it", []step{
			{0, "send", false, true},
			{time.Second, "send", true, true},
			{time.Second + time.Millisecond, "answer", false, false},
			{2 * time.Second, "send", true, true},
			{2*time.Second + time.Millisecond, "answer", false, false},
			{3 * time.Second, "send", true, true},
			{3*time.Second + time.Millisecond, "answer", false, false},
			{4 * time.Second, "send", false, false},
		}},
		{"a lost probe starts again", []step{
			{0, "send", false, true},
			{time.Second, "send", true, true},
			{time.Second + time.Millisecond, "answer", false, false},
			{2 * time.Second, "send", true, true},
			{3 * time.Second, "send", true, true},
			{3*time.Second + time.Millisecond, "answer", false, false},
			{4 * time.Second, "send", true, true},
			{4*time.Second + time.Millisecond, "answer", false, false},
			{5 * time.Second, "send", true, true},
		}},
		{"a peer that asks by TCP is answered by TCP, other packets go as datagrams", []step{
			{0, "send", false, true},
			{time.Millisecond, "answer", false, false},
			{2 * time.Millisecond, "stream", false, false},
			{time.Second, "send", false, false},
			{time.Second, "reply", true, false},
			{2*time.Millisecond + peerStreamTTL, "reply", true, false},
			{3*time.Millisecond + peerStreamTTL, "reply", false, false},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start, ps := time.Unix(1000, 0), newPaths()
			for i, s := range tt.steps {
				now := start.Add(s.at)
				switch s.event {
				case "send", "ask":
					got := ps.choose(now, peer, s.event == "ask")
					got.broke = false
					qt.Assert(t, got, qt.Equals, transport{stream: s.stream, probe: s.probe}, qt.Commentf("step %d", i))
				case "reply":
					qt.Assert(t, ps.chooseAnswer(now, peer).stream, qt.Equals, s.stream, qt.Commentf("step %d", i))
				case "stream":
					ps.receivedStream(now, peer)
				default:
					ps.receivedAnswer(now, peer, s.event == "answer")
				}
			}
		})
	}
}

// Peers that are gone don't fill the memory.
func TestUnusedPathsRemoved(t *testing.T) {
	ps, now := newPaths(), time.Unix(1000, 0)
	ps.choose(now, "a", false)
	ps.choose(now.Add(pathRetention), "b", false)
	ps.choose(now.Add(pathRetention+pathsCleanInterval), "b", false)
	qt.Assert(t, ps.byPeer, qt.HasLen, 1)
}

// silentConn loses all datagrams while lost is true.
type silentConn struct {
	net.PacketConn
	lost *atomic.Bool
}

func (c silentConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if c.lost.Load() {
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

// startSilentRelay starts a relay whose datagrams are lost while lost is true.
func startSilentRelay(t *testing.T, lost *atomic.Bool, onPacket func(Packet, string)) *Relay {
	return startRelayWith(t, fixedSource{}, onPacket, func(network, address string) (net.PacketConn, error) {
		c, err := net.ListenPacket(network, address)
		return silentConn{c, lost}, err
	})
}

// Datagrams are lost in one direction or in both. Packets and their answers must still
// arrive, and go as datagrams again once these arrive.
func TestPacketsWhileDatagramsAreLost(t *testing.T) {
	tests := []struct {
		name                string
		lostThere, lostBack bool
	}{
		{"in both directions", true, true},
		{"there", true, false},
		{"back", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var there, back atomic.Bool
			there.Store(tt.lostThere)
			back.Store(tt.lostBack)
			answered := make(chan struct{}, 1000)
			var answering atomic.Pointer[Relay]
			b := startSilentRelay(t, &back, func(p Packet, from string) {
				_ = answering.Load().Send(from, Packet{Kind: GossipResponse, Message: p.Message})
			})
			answering.Store(b)
			a := startSilentRelay(t, &there, func(Packet, string) { answered <- struct{}{} })
			exchange := func() bool {
				for len(answered) > 0 {
					<-answered
				}
				qt.Assert(t, a.Send(b.Address(), Packet{Kind: GossipRequest, Message: member.Message{From: member.ID{Name: "a", Boot: 1}}}), qt.IsNil)
				select {
				case <-answered:
					return true
				case <-time.After(250 * time.Millisecond):
					return false
				}
			}
			exchange() // the first packet finds out that the path is broken
			for range 5 {
				qt.Assert(t, exchange(), qt.IsTrue)
			}
			there.Store(false)
			back.Store(false)
			for range 4 {
				time.Sleep(probeInterval)
				qt.Assert(t, exchange(), qt.IsTrue)
			}
			qt.Assert(t, a.paths.choose(time.Now(), b.Address(), false).stream, qt.IsFalse)
		})
	}
}

// refusingConn refuses to send datagrams, as with a local firewall.
type refusingConn struct{ net.PacketConn }

func (refusingConn) WriteTo([]byte, net.Addr) (int, error) { return 0, syscall.EPERM }

// The system refuses to send datagrams. Each packet must go by TCP, also the first one.
func TestPacketsWhileDatagramsAreRefused(t *testing.T) {
	received := make(chan Packet, 10)
	b := startRelay(t, fixedSource{}, func(p Packet, _ string) { received <- p })
	a := startRelayWith(t, fixedSource{}, ignorePacket, func(network, address string) (net.PacketConn, error) {
		c, err := net.ListenPacket(network, address)
		return refusingConn{c}, err
	})
	for range 3 {
		qt.Assert(t, a.Send(b.Address(), Packet{Kind: LoadReport, ID: member.ID{Name: "a", Boot: 1}}), qt.IsNil)
		select {
		case <-received:
		case <-time.After(10 * time.Second):
			t.Fatal("no packet received")
		}
		time.Sleep(probeTimeout)
	}
}

// A report of crashes is sent once. It must arrive even if its datagram is lost.
func TestSuspectReportWhileDatagramsAreLost(t *testing.T) {
	var lost atomic.Bool
	lost.Store(true)
	received := make(chan Packet, 2)
	b := startSilentRelay(t, &lost, func(p Packet, _ string) { received <- p })
	a := startSilentRelay(t, &lost, ignorePacket)
	sent := Packet{Kind: SuspectReport, Suspects: []call.Suspect{{Fingerprint: 5, Crashes: 2}}}
	qt.Assert(t, a.Send(b.Address(), sent), qt.IsNil)
	select {
	case got := <-received:
		qt.Assert(t, got, qt.DeepEquals, sent)
	case <-time.After(10 * time.Second):
		t.Fatal("no packet received")
	}
}

// A peer is gone and comes back. Each change is logged once, and each lost packet counted.
func TestLostPacketsLogged(t *testing.T) {
	logged := memory.New()
	var lost atomic.Int64
	failing := errors.New("refused")
	var result atomic.Pointer[error]
	delivered := make(chan bool, 10)
	s := &streams{
		ctx: t.Context(), log: &log.Logger{Handler: logged}, lost: func(n int) { lost.Add(int64(n)) }, queues: make(map[string]chan []byte),
		deliver: func(context.Context, string, [][]byte) error {
			delivered <- true
			if err := result.Load(); err != nil {
				return *err
			}
			return nil
		},
	}
	for _, err := range []error{nil, failing, failing, nil, nil} {
		result.Store(&err)
		qt.Assert(t, s.send("a", []byte{1}), qt.IsNil)
		<-delivered
		time.Sleep(20 * time.Millisecond) // the goroutine logs after the delivery
	}
	qt.Assert(t, lost.Load(), qt.Equals, int64(2))
	var messages []string
	for _, e := range logged.Entries {
		messages = append(messages, e.Message)
	}
	qt.Assert(t, messages, qt.DeepEquals, []string{"relay: packets by TCP are lost", "relay: packets by TCP arrive again"})
}

// Guards against a sender that blocks, or remembers all packets, while a peer is gone.
func TestSendToUnreachablePeer(t *testing.T) {
	var lost atomic.Bool
	lost.Store(true)
	a := startSilentRelay(t, &lost, ignorePacket)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	dropped := 0
	var lostPackets atomic.Int64
	a.streams.lost = func(n int) { lostPackets.Add(int64(n)) }
	began := time.Now()
	for range 10 * streamQueueSize {
		if a.Send(silent.Addr().String(), Packet{Kind: SuspectReport}) != nil {
			dropped++
		}
	}
	qt.Assert(t, time.Since(began) < callTimeout, qt.IsTrue)
	qt.Assert(t, dropped > 0, qt.IsTrue)
	qt.Assert(t, lostPackets.Load() >= int64(dropped), qt.IsTrue, qt.Commentf("%d lost, %d dropped", lostPackets.Load(), dropped))
}
