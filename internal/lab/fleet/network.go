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
func (f *Fleet) scheduleTick(n *Node, t time.Time) {
	n.lastTick++
	number, boot := n.lastTick, n.Entry.ID.Boot
	f.schedule(t, func() {
		if n.up && !n.paused && n.lastTick == number && n.Entry.ID.Boot == boot {
			f.deliver(n, member.Tick{})
		}
	})
}

// deliver passes an event to an entry and executes the resulting actions. It
// returns the reply, or nil if the entry is down or paused.
func (f *Fleet) deliver(n *Node, ev member.Event) (reply *member.Message) {
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
	n.Traffic.HandlingTime += time.Since(start)
	for _, a := range actions {
		if r, ok := a.(member.Reply); ok {
			reply = &r.Message
			continue
		}
		f.execute(n, a)
	}
	f.scheduleTick(n, nextTickTime(n.Table.Next(), f.now))
	return reply
}

// nextTickTime returns the time of the next tick: due, or 1 ms after now if due has
// passed.
func nextTickTime(due, now time.Time) time.Time {
	if due.After(now) {
		return due
	}
	return now.Add(time.Millisecond)
}

func (f *Fleet) execute(n *Node, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		f.send(n, a)
	case member.IndirectPing:
		f.indirectPing(n, a)
	case member.PeerAhead:
		f.pullSettings(n, a)
	case member.Fetch:
		f.fetchEntries(n, a)
	case member.RumoursReceived:
		n.Rumours.LeavingNotices = append(n.Rumours.LeavingNotices, a.Rumours.LeavingNotices...)
		n.Rumours.CrashReports = append(n.Rumours.CrashReports, a.Rumours.CrashReports...)
	case member.ViewChanged, member.RevisionsChanged:
		n.View = n.Table.View()
	case member.Superseded:
		n.Superseded++
	}
}

func (f *Fleet) nodeAt(address string) *Node { return f.byPeer[address] }

func (f *Fleet) delay(a, b *Node) time.Duration {
	if a.Entry.Region == b.Entry.Region {
		return f.cfg.NearDelay
	}
	return f.cfg.FarDelay
}

// transmit runs receive after the delay from a to b, unless the two are
// partitioned when the message is sent or when it arrives.
func (f *Fleet) transmit(a, b *Node, receive func()) {
	if b == nil || f.separated(a, b) {
		return
	}
	f.schedule(f.now.Add(f.delay(a, b)), func() {
		if !f.separated(a, b) {
			receive()
		}
	})
}

func (f *Fleet) send(n *Node, s member.Send) {
	boot := n.Entry.ID.Boot
	deliver := func(ev member.Event) {
		if n.Entry.ID.Boot == boot {
			f.deliver(n, ev)
		}
	}
	f.schedule(f.now.Add(s.Timeout), func() { deliver(member.ExchangeFailed{ExchangeID: s.ExchangeID}) })
	to := f.nodeAt(s.To.Address)
	m, size := f.transcode(n, s.Message)
	f.transmit(n, to, func() {
		if !to.up || to.paused {
			f.deliver(to, member.Request{Message: m}) // queued if paused; the response is lost
			return
		}
		f.countReceived(to, size)
		reply := f.deliver(to, member.Request{Message: m})
		response, size := f.transcode(to, *reply)
		f.transmit(to, n, func() {
			f.countReceived(n, size)
			deliver(member.Response{ExchangeID: s.ExchangeID, Message: response})
		})
	})
}

// transcode encodes and decodes a message, as sending it would, and counts its
// bytes at the sender.
func (f *Fleet) transcode(n *Node, m member.Message) (decoded member.Message, bodyBytes int) {
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
	n.Traffic.HandlingTime += time.Since(start)
	f.countSent(n, len(raw))
	return decoded, len(raw)
}

// countSent counts a message at its sender.
func (f *Fleet) countSent(n *Node, bodyBytes int) {
	n.Traffic.Messages++
	n.Traffic.BytesOut += int64(bodyBytes + f.cfg.HTTPOverhead)
	n.Traffic.LargestBody = max(n.Traffic.LargestBody, bodyBytes)
}

// countReceived counts a message at its receiver.
func (f *Fleet) countReceived(n *Node, bodyBytes int) {
	n.Traffic.BytesIn += int64(bodyBytes + f.cfg.HTTPOverhead)
}

// indirectPing pings a peer through a relay, which passes the acknowledgement
// back.
func (f *Fleet) indirectPing(n *Node, r member.IndirectPing) {
	boot := n.Entry.ID.Boot
	deliver := func(ev member.Event) {
		if n.Entry.ID.Boot == boot {
			f.deliver(n, ev)
		}
	}
	f.schedule(f.now.Add(r.Timeout), func() { deliver(member.ExchangeFailed{ExchangeID: r.ExchangeID}) })
	relay, peer := f.nodeAt(r.Via.Address), f.nodeAt(r.Peer.Address)
	f.sendPing(n, relay, func() {
		f.sendPing(relay, peer, func() {
			id := peer.Entry.ID
			f.sendPing(peer, relay, func() {
				f.sendPing(relay, n, func() { deliver(member.IndirectAck{ExchangeID: r.ExchangeID, ID: id}) })
			})
		})
	})
}

// sendPing sends a ping or its acknowledgement from a to b and runs receive if b
// is up and not paused.
func (f *Fleet) sendPing(a, b *Node, receive func()) {
	f.countSent(a, pingBytes)
	f.transmit(a, b, func() {
		if b.up && !b.paused {
			b.Traffic.BytesIn += int64(pingBytes + f.cfg.HTTPOverhead)
			receive()
		}
	})
}

// fetchEntries fetches the entries that a node lacks from another node. The node
// sends the digests of the entries that it has, 4 bytes each.
func (f *Fleet) fetchEntries(n *Node, a member.Fetch) {
	from := f.nodeAt(a.From.Address)
	boot := n.Entry.ID.Boot
	known := n.Table.EntryDigests()
	f.countSent(n, len(known)*4)
	f.transmit(n, from, func() {
		if !from.up || from.paused {
			return
		}
		m, size := f.transcode(from, member.Message{From: from.Entry.ID, Entries: from.Table.EntriesMissingFrom(known)})
		f.transmit(from, n, func() {
			f.countReceived(n, size)
			if n.Entry.ID.Boot == boot {
				f.deliver(n, member.Fetched{Entries: m.Entries})
			}
		})
	})
}

// pullSettings pulls the settings of a peer. A node has one pull in progress at a
// time; after 1 s without a response it may start the next.
func (f *Fleet) pullSettings(n *Node, b member.PeerAhead) {
	from := f.nodeAt(b.Peer.Address)
	if n.pulling || from == nil {
		return
	}
	n.pulling = true
	boot := n.Entry.ID.Boot
	f.schedule(f.now.Add(time.Second), func() { n.pulling = false })
	f.countSent(n, pingBytes)
	f.transmit(n, from, func() {
		if !from.up || from.paused {
			return
		}
		revisions := from.Revisions
		f.countSent(from, f.cfg.SettingsBytes)
		f.transmit(from, n, func() {
			n.Traffic.BytesIn += int64(f.cfg.SettingsBytes + f.cfg.HTTPOverhead)
			n.pulling = false
			if n.Entry.ID.Boot == boot {
				f.Handle(n, member.SetRevisions{Revisions: newerRevisions(n.Revisions, revisions)})
			}
		})
	})
}

func newerRevisions(a, b member.Revisions) member.Revisions {
	return member.Revisions{Settings: max(a.Settings, b.Settings)}
}
