package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/pkg/member"
)

// pingBytes is the size of a ping and of its response, without HTTP.
const pingBytes = 20

// scheduleTick schedules the node's next tick in place of the one scheduled
// before.
func (f *Fleet) tickAt(n *Node, t time.Time) {
	n.wake++
	number, boot := n.wake, n.Entry.ID.Boot
	f.at(t, func() {
		if n.up && !n.paused && n.wake == number && n.Entry.ID.Boot == boot {
			f.handle(n, member.Tick{})
		}
	})
}

// deliver passes an event to an entry and executes the resulting actions. It
// returns the reply, or nil if the entry is down or paused.
func (f *Fleet) handle(n *Node, ev member.Event) (reply *member.Message) {
	if !n.up {
		return nil
	}
	if n.paused {
		if _, ok := ev.(member.Tick); !ok {
			n.backlog = append(n.backlog, ev)
		}
		return nil
	}
	start := time.Now()
	actions := n.Table.Handle(f.now, ev)
	n.Traffic.Busy += time.Since(start)
	for _, a := range actions {
		if r, ok := a.(member.Reply); ok {
			reply = &r.Message
			continue
		}
		f.act(n, a)
	}
	f.tickAt(n, later(n.Table.Next(), f.now))
	return reply
}

// nextTickTime returns the time of the next tick: due, or 1 ms after now if due has
// passed.
func later(due, now time.Time) time.Time {
	if due.After(now) {
		return due
	}
	return now.Add(time.Millisecond)
}

func (f *Fleet) act(n *Node, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		f.send(n, a)
	case member.IndirectPing:
		f.reach(n, a)
	case member.PeerAhead:
		f.fetch(n, a)
	case member.Fetch:
		f.fetchEntries(n, a)
	case member.RumoursReceived:
		n.Learned.StopNotices = append(n.Learned.StopNotices, a.Rumours.StopNotices...)
		n.Learned.CrashReports = append(n.Learned.CrashReports, a.Rumours.CrashReports...)
	case member.ViewChanged, member.RevisionsChanged:
		n.View = n.Table.View()
	case member.Superseded:
		n.Superseded++
	}
}

func (f *Fleet) find(address string) *Node { return f.byPeer[address] }

func (f *Fleet) delay(a, b *Node) time.Duration {
	if a.Entry.Region == b.Entry.Region {
		return f.cfg.Near
	}
	return f.cfg.Far
}

// transmit runs receive after the delay from a to b, unless the two are
// partitioned when the message is sent or when it arrives.
func (f *Fleet) carry(a, b *Node, receive func()) {
	if b == nil || f.cut(a, b) {
		return
	}
	f.at(f.now.Add(f.delay(a, b)), func() {
		if !f.cut(a, b) {
			receive()
		}
	})
}

func (f *Fleet) send(n *Node, s member.Send) {
	boot := n.Entry.ID.Boot
	deliver := func(ev member.Event) {
		if n.Entry.ID.Boot == boot {
			f.handle(n, ev)
		}
	}
	f.at(f.now.Add(s.Timeout), func() { deliver(member.ExchangeFailed{ExchangeID: s.ExchangeID}) })
	to := f.find(s.To.Address)
	m, size := f.pass(n, s.Message)
	f.carry(n, to, func() {
		if !to.up || to.paused {
			f.handle(to, member.Request{Message: m}) // queued if paused; the response is lost
			return
		}
		f.received(to, size)
		reply := f.handle(to, member.Request{Message: m})
		response, size := f.pass(to, *reply)
		f.carry(to, n, func() {
			f.received(n, size)
			deliver(member.Response{ExchangeID: s.ExchangeID, Message: response})
		})
	})
}

// transcode encodes and decodes a message, as sending it would, and counts its
// bytes at the sender.
func (f *Fleet) pass(n *Node, m member.Message) (decoded member.Message, bodyBytes int) {
	start := time.Now()
	raw, err := proto.Marshal(&wire.GossipRequest{Version: peer.Version, Gossip: peer.EncodeGossip(f.now, m)})
	if err != nil {
		panic(err)
	}
	var w wire.GossipRequest
	if err := proto.Unmarshal(raw, &w); err != nil {
		panic(err)
	}
	decoded, err = peer.DecodeGossip(f.now, w.GetGossip())
	if err != nil {
		panic(err)
	}
	n.Traffic.Busy += time.Since(start)
	f.count(n, len(raw))
	return decoded, len(raw)
}

// countSent counts a message at its sender.
func (f *Fleet) count(n *Node, bodyBytes int) {
	n.Traffic.Messages++
	n.Traffic.Out += int64(bodyBytes + f.cfg.Overhead)
	n.Traffic.Largest = max(n.Traffic.Largest, bodyBytes)
}

// countReceived counts a message at its receiver.
func (f *Fleet) received(n *Node, bodyBytes int) {
	n.Traffic.In += int64(bodyBytes + f.cfg.Overhead)
}

// indirectPing pings a peer through a relay, which passes the acknowledgement
// back.
func (f *Fleet) reach(n *Node, r member.IndirectPing) {
	boot := n.Entry.ID.Boot
	deliver := func(ev member.Event) {
		if n.Entry.ID.Boot == boot {
			f.handle(n, ev)
		}
	}
	f.at(f.now.Add(r.Timeout), func() { deliver(member.ExchangeFailed{ExchangeID: r.ExchangeID}) })
	relay, peer := f.find(r.Via.Address), f.find(r.Peer.Address)
	f.ping(n, relay, func() {
		f.ping(relay, peer, func() {
			id := peer.Entry.ID
			f.ping(peer, relay, func() {
				f.ping(relay, n, func() { deliver(member.IndirectAck{ExchangeID: r.ExchangeID, ID: id}) })
			})
		})
	})
}

// sendPing sends a ping or its acknowledgement from a to b and runs receive if b
// is up and not paused.
func (f *Fleet) ping(a, b *Node, receive func()) {
	f.count(a, pingBytes)
	f.carry(a, b, func() {
		if b.up && !b.paused {
			b.Traffic.In += int64(pingBytes + f.cfg.Overhead)
			receive()
		}
	})
}

// fetchEntries fetches the entries that a node lacks from another node. The node
// sends the digests of the entries that it has, 4 bytes each.
func (f *Fleet) fetchEntries(n *Node, a member.Fetch) {
	from := f.find(a.From.Address)
	boot := n.Entry.ID.Boot
	known := n.Table.EntryDigests()
	f.count(n, len(known)*4)
	f.carry(n, from, func() {
		if !from.up || from.paused {
			return
		}
		m, size := f.pass(from, member.Message{From: from.Entry.ID, Entries: from.Table.EntriesMissingFrom(known)})
		f.carry(from, n, func() {
			f.received(n, size)
			if n.Entry.ID.Boot == boot {
				f.handle(n, member.Fetched{Entries: m.Entries})
			}
		})
	})
}

// pullSettings pulls the settings of a peer. A node has one pull in progress at a
// time; after 1 s without a response it may start the next.
func (f *Fleet) fetch(n *Node, b member.PeerAhead) {
	from := f.find(b.Peer.Address)
	if n.fetches || from == nil {
		return
	}
	n.fetches = true
	boot := n.Entry.ID.Boot
	f.at(f.now.Add(time.Second), func() { n.fetches = false })
	f.count(n, pingBytes)
	f.carry(n, from, func() {
		if !from.up || from.paused {
			return
		}
		revisions := from.Marks
		f.count(from, f.cfg.Fetch)
		f.carry(from, n, func() {
			n.Traffic.In += int64(f.cfg.Fetch + f.cfg.Overhead)
			n.fetches = false
			if n.Entry.ID.Boot == boot {
				f.Handle(n, member.SetRevisions{Revisions: higher(n.Marks, revisions)})
			}
		})
	})
}

func higher(a, b member.Revisions) member.Revisions {
	return member.Revisions{Settings: max(a.Settings, b.Settings)}
}
