package relay

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
)

func millis(d time.Duration) uint32 {
	const most = 1 << 31
	return uint32(min(max(d.Milliseconds(), 0), most))
}

func span(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// maxSuspects keeps a beat within one packet.
const maxSuspects = 32

func encodeBeat(b Beat) ([]byte, error) {
	w := &wire.Beat{
		Name: b.Entry.Name, Boot: b.Entry.Boot, Front: b.Entry.Front, Peer: b.Entry.Peer,
		Place: b.Entry.Place, Region: b.Entry.Region,
		Config: uint64(b.Config), Targets: uint64(b.Targets),
		ConfigAge: millis(b.ConfigAge), TargetsAge: millis(b.TargetsAge),
		Shut: b.Shut, Leaving: b.Leaving, Strained: b.Strained,
		Capacity: float32(b.Entry.Capacity), Rate: float32(b.Rate), Period: millis(b.Period),
	}
	for _, s := range b.Suspects[:min(len(b.Suspects), maxSuspects)] {
		w.Suspects = append(w.Suspects, &wire.Suspect{Print: s.Print, Crashes: uint32(s.Crashes), Age: millis(s.Age)})
	}
	return proto.Marshal(w)
}

func decodeBeat(data []byte) (b Beat, err error) {
	var w wire.Beat
	if err := proto.Unmarshal(data, &w); err != nil {
		return b, err
	}
	if w.Name == "" || w.Front == "" || w.Peer == "" {
		return b, errors.New("name, front, peer: found nothing, expected a value")
	}
	b = Beat{
		Entry: owner.Entry{Name: w.Name, Boot: w.Boot, Front: w.Front, Peer: w.Peer, Place: w.Place, Region: w.Region, Capacity: float64(w.Capacity)},
		Rate:  float64(w.Rate), Period: span(w.Period),
		Config: route.Version(w.Config), Targets: roster.Revision(w.Targets),
		ConfigAge: span(w.ConfigAge), TargetsAge: span(w.TargetsAge),
		Shut: w.Shut, Leaving: w.Leaving, Strained: w.Strained,
	}
	for _, s := range w.Suspects {
		b.Suspects = append(b.Suspects, call.Suspect{Print: s.Print, Crashes: int(s.Crashes), Age: span(s.Age)})
	}
	return b, nil
}

func encodeNews(now time.Time, n News) *wire.PullReply {
	w := &wire.PullReply{Config: n.Config, Listed: n.Listed, At: uint64(n.At), Age: millis(n.Age)}
	for _, it := range n.Targets {
		t := it.Value
		w.Targets = append(w.Targets, &wire.Target{
			Id: t.ID, Revision: uint64(it.Revision), Address: t.Address, Service: t.Service, Place: t.Place,
			Slots: uint32(t.Slots), Leaving: t.Leaving, Warm: millis(t.Warm.Sub(now)),
		})
	}
	return w
}

func decodeNews(now time.Time, w *wire.PullReply) News {
	n := News{Config: w.Config, Listed: w.Listed, At: roster.Revision(w.At), Age: span(w.Age)}
	for _, t := range w.Targets {
		v := slot.Target{
			ID: t.Id, Address: t.Address, Service: t.Service, Place: t.Place,
			Slots: int(t.Slots), Leaving: t.Leaving,
		}
		if t.Warm > 0 {
			v.Warm = now.Add(span(t.Warm))
		}
		n.Targets = append(n.Targets, roster.Item[slot.Target]{Name: t.Id, Revision: roster.Revision(t.Revision), Value: v})
	}
	return n
}
