package relay

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

type fixed struct{ news News }

func (f fixed) News(context.Context, Have) (News, error) { return f.news, nil }

func start(t *testing.T, s Source, heard func(Packet, string)) *Relay {
	r, err := New(Config{
		Address: "127.0.0.1:0", Source: s, Heard: heard, Sent: func(int) {}, Log: &log.Logger{Handler: discard.New()},
		Self: func() member.ID { return member.ID{Name: "self", Boot: 3} },
	})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = r.Serve(ctx) }()
	return r
}

func deaf(Packet, string) {}

// What an entry is told is what the other one said, and where it can answer.
func TestPacket(t *testing.T) {
	from := member.ID{Name: "a", Boot: 7}
	known := Knowledge{Config: 3, Targets: 9, ConfigAge: time.Second, TargetsAge: 20 * time.Millisecond}
	tests := []struct {
		name   string
		packet Packet
	}{
		{"ask", Packet{
			Kind: Ask, Exchange: 8, Message: member.Message{From: from, Digest: 5, Ask: 1 << 63}, Knowledge: known,
			Numbers: []owner.Number{{Host: 9, Owners: 3, Rate: 2.5, Sequence: 4}},
		}},
		{"answer", Packet{Kind: Answer, Exchange: 8, Message: member.Message{From: from, Sums: []uint32{1, 2}}, Knowledge: known}},
		{"knowledge", Packet{Kind: Tell, Knowledge: known}},
		{"suspects", Packet{Kind: Suspects, ID: from, Suspects: []call.Suspect{{Print: 5, Crashes: 2, Age: time.Second}}}},
		{"loads", Packet{Kind: Loads, ID: from, Loads: []Load{{Host: 9, Rate: 2.5}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			heard := make(chan Packet, 1)
			var at string
			to := start(t, fixed{}, func(p Packet, from string) { at = from; heard <- p })
			from := start(t, fixed{}, deaf)
			qt.Assert(t, from.Send(to.Address(), tt.packet), qt.IsNil)
			select {
			case got := <-heard:
				qt.Assert(t, got, qt.DeepEquals, tt.packet)
				qt.Assert(t, at, qt.Equals, from.Address())
			case <-time.After(10 * time.Second):
				t.Fatal("no packet heard")
			}
		})
	}
}

// An entry got no answer from another one and asks a third to ping it. The answer
// comes back by the same way, with the incarnation that gave it.
func TestReach(t *testing.T) {
	heard := make(chan Packet, 1)
	asks := start(t, fixed{}, func(p Packet, _ string) { heard <- p })
	via, target := start(t, fixed{}, deaf), start(t, fixed{}, deaf)
	qt.Assert(t, asks.Send(via.Address(), Packet{Kind: Reach, Exchange: 6, Target: target.Address()}), qt.IsNil)
	select {
	case got := <-heard:
		qt.Assert(t, got, qt.DeepEquals, Packet{Kind: Reached, Exchange: 6, ID: member.ID{Name: "self", Boot: 3}})
	case <-time.After(10 * time.Second):
		t.Fatal("not reached")
	}
}

// A message that is full of entries, digests and numbers fits into one packet.
func TestFullPacketFits(t *testing.T) {
	now := time.Unix(1000, 0)
	self := member.Entry{
		ID: member.ID{Name: "edge-fremantle-hall-100", Boot: 1 << 62}, Caller: "10.100.100.100:18548", Peer: "10.100.100.100:17540",
		Place: "fremantle-hall-annex", Region: "perth-metro-south", Capacity: 128,
	}
	const room = 900 // of entries, as the gateway has it
	table := member.New(member.Config{Self: self, Room: room, Bulk: 8, Rand: rand.New(rand.NewPCG(1, 1))})
	var all []member.Entry
	for i := range 300 {
		e := self
		e.ID.Name = fmt.Sprintf("edge-fremantle-hall-%d", 101+i)
		all = append(all, e)
	}
	p := Packet{Kind: Answer, Exchange: 1 << 62, Knowledge: Knowledge{Config: 1 << 40, Targets: 1 << 40, ConfigAge: time.Hour, TargetsAge: time.Hour}}
	for i := range 8 {
		p.Numbers = append(p.Numbers, owner.Number{Host: uint32(i), Owners: 400, Rate: 1, Sequence: 1 << 40})
	}
	for _, a := range table.Handle(now, member.Request{Message: member.Message{From: all[0].ID, Digest: 1, Entries: all}}) {
		if r, ok := a.(member.Reply); ok {
			p.Message = r.Message
		}
	}
	qt.Assert(t, p.Message.Sums, qt.HasLen, member.Buckets)
	qt.Assert(t, len(p.Message.Entries) > 4, qt.IsTrue)
	data, err := encodePacket(now, p)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) <= maxPacket, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	got, err := decodePacket(now, data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Message.Entries, qt.HasLen, len(p.Message.Entries))
	p.Message.Accused = make([]uint32, 96)
	for i := range 8 {
		p.Message.Rumours.Crashers = append(p.Message.Rumours.Crashers, member.Crasher{
			Print: 1 << 63, Crashes: 3, At: now, By: fmt.Sprintf("edge-fremantle-hall-%d", i), Sequence: 1 << 62,
		})
	}
	data, err = encodePacket(now, p)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) <= maxPacket, qt.IsTrue, qt.Commentf("%d bytes with accusations and rumours", len(data)))
}

func TestPull(t *testing.T) {
	target := slot.Target{ID: "i-1", Address: "10.0.0.9:1", Service: "s", Place: "hall", Slots: 2, Leaving: true, Born: 1764720000000}
	changes := []roster.Change[slot.Target]{
		{Item: roster.Item[slot.Target]{Name: "i-1", Revision: 4, Value: target}},
		{Item: roster.Item[slot.Target]{Name: "i-2", Revision: 5, Value: slot.Target{ID: "i-2"}}, Deleted: true},
	}
	var many []roster.Change[slot.Target]
	for i := range 700 {
		c := changes[0]
		c.Name = fmt.Sprint("i-", i)
		c.Value.ID = c.Name
		many = append(many, c)
	}
	tests := []struct {
		name string
		news News
	}{
		{"nothing new", News{}},
		{"long list", News{Targets: Listed, At: 12, Moved: 9, Changes: many}},
		{"list", News{Config: []byte("{}"), Targets: Listed, At: 12, Moved: 9, Age: 30 * time.Millisecond, Changes: changes[:1]}},
		{"changes", News{Targets: Changed, At: 12, Moved: 9, Changes: changes}},
		{"entries", News{Entries: []member.Entry{{
			ID: member.ID{Name: "a", Boot: 7}, Sequence: 3, State: member.Leaving, Caller: "c", Peer: "p", Place: "hall", Region: "metro", Capacity: 128,
		}}}},
		{"evacuations", News{Evacuations: &Evacuations{
			List: []roster.Item[slot.Evacuation]{{Name: "hall", Revision: 4}}, At: 12, Moved: 9, Age: 30 * time.Millisecond,
		}}},
		{"no evacuations any more", News{Evacuations: &Evacuations{At: 12, Moved: 9}}},
		{"long configuration", News{Config: bytes.Repeat([]byte(`{"route":1}`), 20000)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			to := start(t, fixed{tt.news}, deaf)
			from := start(t, fixed{}, deaf)
			for range 2 {
				got, err := from.Pull(t.Context(), to.Address(), Have{Targets: 1})
				qt.Assert(t, err, qt.IsNil)
				for i := range got.Entries {
					got.Entries[i].Since = time.Time{} // told as an age
				}
				qt.Assert(t, got, qt.DeepEquals, tt.news)
			}
		})
	}
}

// An entry of an earlier release asks. It knows neither changes nor compressed
// configurations, and gets what it understands.
func TestPullByEarlierRelease(t *testing.T) {
	long := bytes.Repeat([]byte(`{"route":1}`), 200)
	s := &server{source: since{long}}
	w, err := s.Pull(t.Context(), &wire.PullRequest{Targets: 3})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Config, qt.DeepEquals, long)
	qt.Assert(t, w.Listed && !w.Changed, qt.IsTrue)
}

// Hundreds of entries start at once and ask for all that there is. The answer is
// made once for all that ask within a moment, and not kept for longer; one that
// says only a part is not kept.
func TestStartOfMany(t *testing.T) {
	now := time.Unix(1000, 0)
	whole := &wire.PullReply{Listed: true, Packed: []byte("x")}
	tests := []struct {
		name  string
		reply *wire.PullReply
		after time.Duration
		kept  bool
	}{
		{"at once", whole, 0, true},
		{"within the moment", whole, recentTime, true},
		{"later", whole, recentTime + 1, false},
		{"targets alone", &wire.PullReply{Listed: true}, 0, false},
		{"configuration alone", &wire.PullReply{Config: []byte("x")}, 0, false},
	}
	for _, tt := range tests {
		var r recent
		r.put(now, formatPacked, tt.reply)
		qt.Assert(t, r.get(now.Add(tt.after), formatPacked) != nil, qt.Equals, tt.kept, qt.Commentf(tt.name))
		qt.Assert(t, r.get(now.Add(tt.after), formatBrief), qt.IsNil)
	}
}

// since gives a list to those that have nothing, and changes to others.
type since struct{ config []byte }

func (s since) News(_ context.Context, have Have) (News, error) {
	if have.Targets == 0 {
		return News{Config: s.config, Targets: Listed}, nil
	}
	return News{Config: s.config, Targets: Changed}, nil
}

// A configuration that is cut short or grows without end when unpacked is an
// error, not a configuration.
func TestUnpack(t *testing.T) {
	bomb, err := pack(make([]byte, maxUnpacked+1))
	qt.Assert(t, err, qt.IsNil)
	good, err := pack([]byte("{}"))
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name   string
		packed []byte
	}{
		{"too long", bomb}, {"cut short", good[:len(good)-3]}, {"not packed", []byte("{}")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decodeNews(time.Unix(1, 0), &wire.PullReply{Packed: tt.packed})
			qt.Assert(t, err, qt.ErrorMatches, "packed: .*")
		})
	}
}

// What is no packet is logged and dropped, and the next packet is heard.
func TestGarbage(t *testing.T) {
	for _, data := range []string{"", "\xff\xff", "\x0a\x01a", "\x08\x63"} {
		_, err := decodePacket(time.Unix(1000, 0), []byte(data))
		qt.Assert(t, err, qt.IsNotNil)
	}
}

// An entry of a release that knows nothing of evacuations tells what it has in force.
// Its silence is no word on them: taken for the word that there are none, it would keep
// requests in a failure domain that is evacuated.
func TestSilenceOnEvacuationsIsNoWord(t *testing.T) {
	c := qt.New(t)
	k := decodeKnowledge(&wire.Knowledge{Config: 3, Targets: 9})
	c.Assert(k.EvacuationsAge > 24*time.Hour, qt.IsTrue, qt.Commentf("%v", k.EvacuationsAge))
	told := Knowledge{Config: 3, Targets: 9, Evacuations: 4, EvacuationsAge: 20 * time.Millisecond}
	c.Assert(decodeKnowledge(encodeKnowledge(told)), qt.Equals, told)
}
