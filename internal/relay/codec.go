package relay

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
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

// maxSuspects and maxLoads keep a beat within one packet.
const (
	maxSuspects = 32
	maxLoads    = 32
)

// Formats of what entries say to each other.
const (
	// formatWhole is that of entries that name no format: each beat is whole,
	// and news are whole lists.
	formatWhole = 0
	// formatBrief has brief beats, changes in place of lists, and compressed
	// configurations.
	formatBrief = 1
)

// encodeBeat writes a beat, a brief one without what never changes in one run:
// that is two thirds of it.
func encodeBeat(b Beat, brief bool) ([]byte, error) {
	w := &wire.Beat{
		Id: b.Entry.ID(), Config: uint64(b.Config), Targets: uint64(b.Targets),
		ConfigAge: millis(b.ConfigAge), TargetsAge: millis(b.TargetsAge),
		Shut: b.Shut, Leaving: b.Leaving, Strained: b.Strained,
		Rate: float32(b.Rate), Period: millis(b.Period),
	}
	if !brief {
		w.Name, w.Boot, w.Front, w.Peer = b.Entry.Name, b.Entry.Boot, b.Entry.Front, b.Entry.Peer
		w.Place, w.Region, w.Capacity = b.Entry.Place, b.Entry.Region, float32(b.Entry.Capacity)
		w.Format = formatBrief
	}
	for _, s := range b.Suspects[:min(len(b.Suspects), maxSuspects)] {
		w.Suspects = append(w.Suspects, &wire.Suspect{Print: s.Print, Crashes: uint32(s.Crashes), Age: millis(s.Age)})
	}
	for _, l := range b.Loads[:min(len(b.Loads), maxLoads)] {
		w.Loads = append(w.Loads, &wire.Load{Host: l.Host, Rate: float32(l.Rate), Owners: uint32(max(l.Owners, 0))})
	}
	return proto.Marshal(w)
}

func decodeBeat(data []byte) (b Beat, err error) {
	var w wire.Beat
	if err := proto.Unmarshal(data, &w); err != nil {
		return b, err
	}
	b = Beat{
		ID: w.Id, Rate: float64(w.Rate), Period: span(w.Period),
		Config: route.Version(w.Config), Targets: roster.Revision(w.Targets),
		ConfigAge: span(w.ConfigAge), TargetsAge: span(w.TargetsAge),
		Shut: w.Shut, Leaving: w.Leaving, Strained: w.Strained,
	}
	for _, s := range w.Suspects {
		b.Suspects = append(b.Suspects, call.Suspect{Print: s.Print, Crashes: int(s.Crashes), Age: span(s.Age)})
	}
	for _, l := range w.Loads {
		b.Loads = append(b.Loads, Load{Host: l.Host, Rate: float64(l.Rate), Owners: int(l.Owners)})
	}
	if w.Name == "" && w.Id != 0 {
		b.Brief = true
		return b, nil
	}
	if w.Name == "" || w.Front == "" || w.Peer == "" {
		return b, errors.New("name, front, peer: found nothing, expected a value")
	}
	b.Entry = owner.Entry{Name: w.Name, Boot: w.Boot, Front: w.Front, Peer: w.Peer, Place: w.Place, Region: w.Region, Capacity: float64(w.Capacity)}
	b.ID = b.Entry.ID()
	b.Briefly = w.Format >= formatBrief
	return b, nil
}

// packFrom is the size in bytes from which a configuration is compressed.
const packFrom = 1 << 10

func encodeNews(now time.Time, n News) *wire.PullReply {
	w := &wire.PullReply{
		Config: n.Config, Listed: n.Targets != Nothing, Changed: n.Targets == Changed,
		At: uint64(n.At), Moved: uint64(n.Moved), Age: millis(n.Age),
	}
	for _, c := range n.Changes {
		t := c.Value
		w.Targets = append(w.Targets, &wire.Target{
			Id: c.Name, Revision: uint64(c.Revision), Address: t.Address, Service: t.Service, Place: t.Place,
			Slots: uint32(t.Slots), Leaving: t.Leaving, Warm: millis(t.Warm.Sub(now)), Deleted: c.Deleted,
			Born: t.Born,
		})
	}
	return w
}

func decodeNews(now time.Time, w *wire.PullReply) (n News, err error) {
	n = News{Config: w.Config, At: roster.Revision(w.At), Moved: roster.Revision(w.Moved), Age: span(w.Age)}
	switch {
	case w.Changed:
		n.Targets = Changed
	case w.Listed:
		n.Targets = Listed
	}
	if len(w.Packed) > 0 {
		if n.Config, err = unpack(w.Packed); err != nil {
			return n, errors.WithMessage(err, "packed")
		}
	}
	for _, t := range w.Targets {
		v := slot.Target{
			ID: t.Id, Address: t.Address, Service: t.Service, Place: t.Place,
			Slots: int(t.Slots), Leaving: t.Leaving, Born: t.Born,
		}
		if t.Warm > 0 {
			v.Warm = now.Add(span(t.Warm))
		}
		n.Changes = append(n.Changes, roster.Change[slot.Target]{
			Item: roster.Item[slot.Target]{Name: t.Id, Revision: roster.Revision(t.Revision), Value: v}, Deleted: t.Deleted,
		})
	}
	return n, nil
}

// packer compresses a configuration once for all that ask for it.
type packer struct {
	mu     sync.Mutex
	plain  []byte
	packed []byte
}

func (p *packer) pack(data []byte) (packed []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bytes.Equal(p.plain, data) {
		return p.packed, nil
	}
	if packed, err = pack(data); err != nil {
		return nil, err
	}
	p.plain, p.packed = data, packed
	return packed, nil
}

func pack(data []byte) (packed []byte, err error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// maxUnpacked bounds a configuration, in bytes. The store holds objects of at
// most a megabyte.
const maxUnpacked = 4 << 20

func unpack(packed []byte) (data []byte, err error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	data, err = io.ReadAll(io.LimitReader(z, maxUnpacked+1))
	if err == nil && len(data) > maxUnpacked {
		err = errors.Errorf("found more than %d bytes", maxUnpacked)
	}
	return data, err
}
