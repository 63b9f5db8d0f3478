package relay

import (
	"sync"
	"time"
)

// Times of the choice between datagrams and TCP for a peer.
const (
	// confirmationTTL is how long an answered datagram shows that datagrams reach a peer.
	confirmationTTL = 2 * time.Second
	// probeTimeout is how long the answer to a datagram may take; as long as that of a
	// membership exchange.
	probeTimeout = 200 * time.Millisecond
	// probeInterval is the time between probes of a path that isn't confirmed.
	probeInterval = 500 * time.Millisecond
	// recoveryProbes is how many probes in a row have to be answered until datagrams are
	// used again, so that a path on which most are lost isn't used after a lucky one.
	recoveryProbes = 3
	// peerStreamTTL is how long answers to a peer go by TCP after it has asked by TCP.
	peerStreamTTL = 2 * time.Second
	// pathRetention is how long the state of an unused path is kept.
	pathRetention = 5 * time.Minute
	// pathsCleanInterval is the time between removals of unused paths.
	pathsCleanInterval = time.Minute
)

// path is what is known of the way to one peer.
type path struct {
	used      time.Time // last packet to the peer
	confirmed time.Time // when the peer last answered a datagram; zero if never
	probed    time.Time // when the last unanswered probe was sent; zero if there is none
	broken    bool      // a datagram got no answer; packets go by TCP
	answered  int       // probes answered in a row since the path broke
	streamed  time.Time // when the peer last asked by TCP; zero if never
}

// transport is how to send a packet.
type transport struct {
	stream bool // by TCP, not as a datagram
	probe  bool // send a probe datagram too
	broke  bool // the path has just turned out to be broken
}

// paths decides for each peer whether packets go as datagrams or by TCP. Datagrams may be
// lost all the time, for example at a firewall, while TCP works. Membership, request rates
// and reports of crashes come only in packets, so an entry whose datagrams are lost would
// take itself for the only one. It is safe for concurrent use.
type paths struct {
	mu      sync.Mutex
	byPeer  map[string]*path
	cleaned time.Time
}

func newPaths() *paths { return &paths{byPeer: make(map[string]*path)} }

func (ps *paths) get(now time.Time, peer string) *path {
	p := ps.byPeer[peer]
	if p == nil {
		p = &path{used: now}
		ps.byPeer[peer] = p
	}
	if now.Sub(ps.cleaned) >= pathsCleanInterval {
		ps.cleaned = now
		for name, p := range ps.byPeer {
			if now.Sub(p.used) > pathRetention {
				delete(ps.byPeer, name)
			}
		}
	}
	return p
}

// choose returns how to send a packet that the peer hasn't asked for. A packet that the peer
// answers at once is a probe itself while it goes as a datagram.
func (ps *paths) choose(now time.Time, peer string, answered bool) (t transport) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.get(now, peer)
	p.used = now
	if !p.broken && now.Sub(p.confirmed) <= confirmationTTL {
		return transport{}
	}
	unanswered := !p.probed.IsZero() && now.Sub(p.probed) > probeTimeout
	if unanswered {
		t.broke, p.broken, p.answered = !p.broken, true, 0
	}
	if p.probed.IsZero() || unanswered && now.Sub(p.probed) >= probeInterval {
		t.probe, p.probed = p.broken || !answered, now
	}
	t.stream = p.broken
	return t
}

// chooseAnswer returns how to send an answer: by TCP if the peer asks by TCP, since its
// datagrams get no answer.
func (ps *paths) chooseAnswer(now time.Time, peer string) transport {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.byPeer[peer]
	return transport{stream: p != nil && !p.streamed.IsZero() && now.Sub(p.streamed) <= peerStreamTTL}
}

// receivedStream records that the peer asked by TCP.
func (ps *paths) receivedStream(now time.Time, peer string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.get(now, peer)
	p.used, p.streamed = now, now
}

// receivedAnswer records that the peer has answered a datagram, and reports whether a broken
// path works again. An answer to a probe counts for a broken path too; other answers may be
// to packets that went by TCP.
func (ps *paths) receivedAnswer(now time.Time, peer string, probe bool) (repaired bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.byPeer[peer]
	switch {
	case p == nil:
		return false
	case !p.broken:
		p.confirmed, p.probed = now, time.Time{}
		return false
	case !probe || p.probed.IsZero() || now.Sub(p.probed) > probeTimeout:
		return false
	}
	p.probed = time.Time{}
	if p.answered++; p.answered < recoveryProbes {
		return false
	}
	p.broken, p.confirmed = false, now
	return true
}
