package relay

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

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
		Suspects: []call.Suspect{{Print: 5, Crashes: 2, Age: time.Second}},
	}
	qt.Assert(t, from.Tell(want, []owner.Entry{{Peer: to.Address()}}), qt.IsNil)
	select {
	case got := <-heard:
		qt.Assert(t, got, qt.DeepEquals, want)
	case <-time.After(10 * time.Second):
		t.Fatal("no beat heard")
	}
}

func TestPull(t *testing.T) {
	news := News{
		Config: []byte("{}"), Listed: true, At: 12, Age: 30 * time.Millisecond,
		Targets: []roster.Item[slot.Target]{{
			Name: "i-1", Revision: 4,
			Value: slot.Target{ID: "i-1", Address: "10.0.0.9:1", Service: "s", Place: "hall", Slots: 2, Leaving: true},
		}},
	}
	to := start(t, fixed{news}, func(Beat) {})
	from := start(t, fixed{}, func(Beat) {})
	got, err := from.Pull(t.Context(), owner.Entry{Name: "b", Peer: to.Address()}, Have{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, news)
}

// What is no beat is logged and dropped, and the next beat is heard.
func TestGarbage(t *testing.T) {
	for _, data := range []string{"", "\xff\xff", "\x0a\x01a"} {
		_, err := decodeBeat([]byte(data))
		qt.Assert(t, err, qt.IsNotNil)
	}
}
