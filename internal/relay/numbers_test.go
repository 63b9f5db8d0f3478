package relay

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	peerwire "plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/member"
)

// numberPacket returns a packet with numbers of each kind.
func numberPacket(rate float32) *wire.Datagram {
	return &wire.Datagram{
		Kind: 1, Ident: &peerwire.Ident{Name: "a", Boot: 1},
		Numbers: []*wire.Number{{Host: 1, Owners: 2, Rate: rate}},
		Loads:   []*wire.Load{{Host: 1, Rate: rate}},
		Gossip: &peerwire.Gossip{
			From: &peerwire.Ident{Name: "a", Boot: 1}, Entries: []*peerwire.Entry{{Ident: &peerwire.Ident{Name: "b", Boot: 1}, Capacity: rate}},
		},
	}
}

// Guards against a message whose rates make the sums of all entries meaningless.
func TestRatesOutOfRange(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	tests := []struct {
		name string
		edit func(*wire.Datagram)
		want string
	}{
		{"sound", func(*wire.Datagram) {}, ""},
		{"rate of a number", func(w *wire.Datagram) { w.Numbers[0].Rate = nan }, "numbers.rate: found NaN, .*"},
		{"infinite rate of a number", func(w *wire.Datagram) { w.Numbers[0].Rate = inf }, `numbers.rate: found \+Inf, .*`},
		{"negative load", func(w *wire.Datagram) { w.Loads[0].Rate = -1 }, "loads.rate: found -1, .*"},
		{"load", func(w *wire.Datagram) { w.Loads[0].Rate = nan }, "loads.rate: found NaN, .*"},
		{"capacity", func(w *wire.Datagram) { w.Gossip.Entries[0].Capacity = nan }, ".*capacity.*NaN.*"},
		{"negative capacity", func(w *wire.Datagram) { w.Gossip.Entries[0].Capacity = -1 }, ".*capacity.*-1.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := numberPacket(3)
			tt.edit(w)
			data, err := proto.Marshal(w)
			qt.Assert(t, err, qt.IsNil)
			_, err = decodePacket(time.Now(), data)
			if tt.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// Guards against decoders of messages that accept a number which fails later in a sum.
func FuzzDecodePacket(f *testing.F) {
	for _, rate := range []float32{3, -1, float32(math.NaN()), float32(math.Inf(1))} {
		data, err := proto.Marshal(numberPacket(rate))
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decodePacket(time.Unix(1_800_000_000, 0), data)
		if err != nil {
			return
		}
		sum := 0.0
		for _, l := range p.Loads {
			sum += l.Rate
		}
		for _, n := range p.OwnerCounts {
			sum += n.Rate
		}
		for _, e := range p.Message.Entries {
			sum += e.Capacity
		}
		if !(sum >= 0) || math.IsInf(sum, 0) || len(p.Message.Entries) > member.MaxJoin {
			t.Fatalf("%+v", p)
		}
	})
}
