package relay

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

type fixed struct{ news News }

func (f fixed) News(context.Context, Have) (News, error) { return f.news, nil }

func start(t *testing.T, s Source, heard func(Beat)) *Relay {
	r, err := New(Config{Address: "127.0.0.1:0", Source: s, Heard: heard, Log: &log.Logger{Handler: discard.New()}})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = r.Serve(ctx) }()
	return r
}

func TestBeat(t *testing.T) {
	heard := make(chan Beat, 1)
	to := start(t, fixed{}, func(b Beat) { heard <- b })
	from := start(t, fixed{}, func(Beat) {})
	want := Beat{
		Entry:  owner.Entry{Name: "a", Boot: 7, Front: "10.0.0.1:1", Peer: "10.0.0.1:2", Place: "hall", Region: "metro"},
		Config: 3, Targets: 9, ConfigAge: time.Second, TargetsAge: 20 * time.Millisecond,
		Shut: true, Leaving: true, Strained: true,
		Loads:    []Load{{Host: 9, Rate: 2.5, Owners: 3}},
		Suspects: []call.Suspect{{Print: 5, Crashes: 2, Age: time.Second}},
	}
	tests := []struct {
		name         string
		brief, whole []owner.Entry
		want         func(b *Beat)
	}{
		{"whole", nil, []owner.Entry{{Peer: to.Address()}}, func(b *Beat) { b.Briefly = true }},
		{"brief", []owner.Entry{{Peer: to.Address()}}, nil, func(b *Beat) { b.Brief, b.Entry = true, owner.Entry{} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, from.Tell(want, tt.brief, tt.whole), qt.IsNil)
			expect := want
			expect.ID = want.Entry.ID()
			tt.want(&expect)
			select {
			case got := <-heard:
				qt.Assert(t, got, qt.DeepEquals, expect)
			case <-time.After(10 * time.Second):
				t.Fatal("no beat heard")
			}
		})
	}
}

// The bytes of beats between failure domains cost, and nothing in an entry's
// addresses changes while it runs.
func TestBriefBeatIsShort(t *testing.T) {
	b := Beat{
		Entry: owner.Entry{
			Name: "edge-civic-hall-6", Boot: 1 << 60, Front: "10.1.64.22:8548", Peer: "10.1.64.22:7540",
			Place: "civic-hall", Region: "river-district", Capacity: 256,
		},
		Config: 30, Targets: 9000, ConfigAge: time.Second, TargetsAge: time.Second, Rate: 40, Period: 250 * time.Millisecond,
	}
	brief, err := encodeBeat(b, true)
	qt.Assert(t, err, qt.IsNil)
	whole, err := encodeBeat(b, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, 3*len(brief) < len(whole), qt.IsTrue, qt.Commentf("%d of %d bytes", len(brief), len(whole)))
}

func TestPull(t *testing.T) {
	target := slot.Target{ID: "i-1", Address: "10.0.0.9:1", Service: "s", Place: "hall", Slots: 2, Leaving: true, Born: 1764720000000}
	changes := []roster.Change[slot.Target]{
		{Item: roster.Item[slot.Target]{Name: "i-1", Revision: 4, Value: target}},
		{Item: roster.Item[slot.Target]{Name: "i-2", Revision: 5, Value: slot.Target{ID: "i-2"}}, Deleted: true},
	}
	tests := []struct {
		name string
		news News
	}{
		{"nothing new", News{}},
		{"list", News{Config: []byte("{}"), Targets: Listed, At: 12, Moved: 9, Age: 30 * time.Millisecond, Changes: changes[:1]}},
		{"changes", News{Targets: Changed, At: 12, Moved: 9, Changes: changes}},
		{"long configuration", News{Config: bytes.Repeat([]byte(`{"route":1}`), 20000)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			to := start(t, fixed{tt.news}, func(Beat) {})
			from := start(t, fixed{}, func(Beat) {})
			for range 2 {
				got, err := from.Pull(t.Context(), owner.Entry{Name: "b", Peer: to.Address()}, Have{Targets: 1})
				qt.Assert(t, err, qt.IsNil)
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

// What is no beat is logged and dropped, and the next beat is heard.
func TestGarbage(t *testing.T) {
	for _, data := range []string{"", "\xff\xff", "\x0a\x01a"} {
		_, err := decodeBeat([]byte(data))
		qt.Assert(t, err, qt.IsNotNil)
	}
}
