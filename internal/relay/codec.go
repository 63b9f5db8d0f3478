package relay

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

func millis(d time.Duration) uint32 {
	const most = 1 << 31
	return uint32(min(max(d.Milliseconds(), 0), most))
}

func span(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// known reads an age that is told with one added. An entry of a release that knows
// nothing of a kind doesn't tell its age: taken for 0, it would confirm that there is
// nothing.
func known(ms uint32) time.Duration {
	if ms == 0 {
		return math.MaxInt64
	}
	return span(ms - 1)
}

// Formats of what entries say to each other.
const (
	// formatWhole is that of entries that name no format: news are whole lists.
	formatWhole = 0
	// formatBrief has changes in place of lists, and compressed configurations.
	formatBrief = 1
	// formatPacked has compressed lists of targets and entries.
	formatPacked = 2
)

// packLists compresses the lists of an answer where that pays: 720 targets take
// 54 KB, and 472 entries 47.
func packLists(w *wire.PullReply) (err error) {
	lists := &wire.PullReply{Targets: w.Targets, Entries: w.Entries}
	if proto.Size(lists) < packFrom {
		return nil
	}
	plain, err := proto.Marshal(lists)
	if err != nil {
		return err
	}
	w.Targets, w.Entries = nil, nil
	w.Lists, err = pack(plain)
	return err
}

func unpackLists(w *wire.PullReply) (err error) {
	if len(w.Lists) == 0 {
		return nil
	}
	plain, err := unpack(w.Lists)
	if err != nil {
		return err
	}
	var lists wire.PullReply
	if err := proto.Unmarshal(plain, &lists); err != nil {
		return err
	}
	w.Targets, w.Entries = lists.Targets, lists.Entries
	return nil
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
	for _, e := range n.Entries {
		w.Entries = append(w.Entries, peer.EncodeEntry(now, e))
	}
	if e := n.Evacuations; e != nil {
		w.Evacuations = &wire.Evacuations{At: uint64(e.At), Moved: uint64(e.Moved), Age: millis(e.Age)}
		for _, it := range e.List {
			w.Evacuations.List = append(w.Evacuations.List, &wire.Evacuation{Place: it.Name, Revision: uint64(it.Revision)})
		}
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
	if err := unpackLists(w); err != nil {
		return n, errors.WithMessage(err, "lists")
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
	if e := w.Evacuations; e != nil {
		n.Evacuations = &Evacuations{At: roster.Revision(e.At), Moved: roster.Revision(e.Moved), Age: span(e.Age)}
		for _, it := range e.List {
			n.Evacuations.List = append(n.Evacuations.List, roster.Item[slot.Evacuation]{Name: it.Place, Revision: roster.Revision(it.Revision)})
		}
	}
	for i, w := range w.Entries {
		e, err := peer.DecodeEntry(now, fmt.Sprintf("entries[%d]", i), w)
		if err != nil {
			return n, err
		}
		n.Entries = append(n.Entries, e)
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
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
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
