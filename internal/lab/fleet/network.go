package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/pkg/member"
)

// pingBytes is the size of a ping and of its answer, HTTP left out.
const pingBytes = 20

func (f *Fleet) tickAt(n *Node, t time.Time) {
	n.wake++
	number, boot := n.wake, n.Entry.ID.Boot
	f.at(t, func() {
		if n.up && !n.paused && n.wake == number && n.Entry.ID.Boot == boot {
			f.handle(n, member.Tick{})
		}
	})
}

// handle gives an event to an entry and carries out what follows from it.
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b.Add(time.Millisecond)
}

func (f *Fleet) act(n *Node, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		f.send(n, a)
	case member.Reach:
		f.reach(n, a)
	case member.Behind:
		f.fetch(n, a)
	case member.Fetch:
		f.fetchEntries(n, a)
	case member.Learned:
		n.Learned.Stopping = append(n.Learned.Stopping, a.Rumours.Stopping...)
		n.Learned.Crashers = append(n.Learned.Crashers, a.Rumours.Crashers...)
	case member.Changed, member.Marked:
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

// carry passes do from a to b, unless the network is cut between them.
func (f *Fleet) carry(a, b *Node, do func()) {
	if b == nil || f.cut(a, b) {
		return
	}
	f.at(f.now.Add(f.delay(a, b)), func() {
		if !f.cut(a, b) {
			do()
		}
	})
}

func (f *Fleet) send(n *Node, s member.Send) {
	boot := n.Entry.ID.Boot
	back := func(ev member.Event) {
		if n.Entry.ID.Boot == boot {
			f.handle(n, ev)
		}
	}
	f.at(f.now.Add(s.Timeout), func() { back(member.NoAnswer{Exchange: s.Exchange}) })
	to := f.find(s.To.Address)
	m, size := f.pass(n, s.Message)
	f.carry(n, to, func() {
		if !to.up || to.paused {
			f.handle(to, member.Request{Message: m}) // waits, its answer is lost
			return
		}
		f.received(to, size)
		reply := f.handle(to, member.Request{Message: m})
		answer, size := f.pass(to, *reply)
		f.carry(to, n, func() {
			f.received(n, size)
			back(member.Answer{Exchange: s.Exchange, Message: answer})
		})
	})
}

// pass encodes and decodes a message and counts its bytes at the sender.
func (f *Fleet) pass(n *Node, m member.Message) (passed member.Message, body int) {
	start := time.Now()
	raw, err := proto.Marshal(&wire.GossipRequest{Version: peer.Version, Gossip: peer.EncodeGossip(f.now, m)})
	if err != nil {
		panic(err)
	}
	var w wire.GossipRequest
	if err := proto.Unmarshal(raw, &w); err != nil {
		panic(err)
	}
	passed, err = peer.DecodeGossip(f.now, w.GetGossip())
	if err != nil {
		panic(err)
	}
	n.Traffic.Busy += time.Since(start)
	f.count(n, len(raw))
	return passed, len(raw)
}

func (f *Fleet) count(n *Node, body int) {
	n.Traffic.Messages++
	n.Traffic.Out += int64(body + f.cfg.Overhead)
	n.Traffic.Largest = max(n.Traffic.Largest, body)
}

func (f *Fleet) received(n *Node, body int) {
	n.Traffic.In += int64(body + f.cfg.Overhead)
}

func (f *Fleet) reach(n *Node, r member.Reach) {
	boot := n.Entry.ID.Boot
	back := func(ev member.Event) {
		if n.Entry.ID.Boot == boot {
			f.handle(n, ev)
		}
	}
	f.at(f.now.Add(r.Timeout), func() { back(member.NoAnswer{Exchange: r.Exchange}) })
	via, target := f.find(r.Via.Address), f.find(r.Target.Address)
	f.ping(n, via, func() {
		f.ping(via, target, func() {
			id := target.Entry.ID
			f.ping(target, via, func() {
				f.ping(via, n, func() { back(member.Reached{Exchange: r.Exchange, ID: id}) })
			})
		})
	})
}

func (f *Fleet) ping(a, b *Node, do func()) {
	f.count(a, pingBytes)
	f.carry(a, b, func() {
		if b.up && !b.paused {
			b.Traffic.In += int64(pingBytes + f.cfg.Overhead)
			do()
		}
	})
}

// fetchEntries gets the entries that a node lacks from another one.
func (f *Fleet) fetchEntries(n *Node, a member.Fetch) {
	from := f.find(a.From.Address)
	boot := n.Entry.ID.Boot
	known := n.Table.Known()
	f.count(n, len(known)*4)
	f.carry(n, from, func() {
		if !from.up || from.paused {
			return
		}
		m, size := f.pass(from, member.Message{From: from.Entry.ID, Entries: from.Table.Lacking(known)})
		f.carry(from, n, func() {
			f.received(n, size)
			if n.Entry.ID.Boot == boot {
				f.handle(n, member.Fetched{Entries: m.Entries})
			}
		})
	})
}

// fetch gets the settings that a peer has, one fetch at a time.
func (f *Fleet) fetch(n *Node, b member.Behind) {
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
		marks := from.Marks
		f.count(from, f.cfg.Fetch)
		f.carry(from, n, func() {
			n.Traffic.In += int64(f.cfg.Fetch + f.cfg.Overhead)
			n.fetches = false
			if n.Entry.ID.Boot == boot {
				f.Handle(n, member.Revised{Marks: higher(n.Marks, marks)})
			}
		})
	})
}

func higher(a, b member.Marks) member.Marks {
	return member.Marks{Settings: max(a.Settings, b.Settings)}
}
