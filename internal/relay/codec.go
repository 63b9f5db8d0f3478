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
	const maxMillis = 1 << 31
	return uint32(min(max(d.Milliseconds(), 0), maxMillis))
}

func fromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// optionalAge decodes an age that is encoded as 1 more than its milliseconds. A
// release without that kind of data omits the field, which decodes as the maximum age.
// Age 0 would confirm that no such data exists.
func optionalAge(ms uint32) time.Duration {
	if ms == 0 {
		return math.MaxInt64
	}
	return fromMillis(ms - 1)
}

// Formats of a PullReply. Each one includes the features of those before.
const (
	// formatLists has full, uncompressed lists. Entries that send no format understand
	// only this one.
	formatLists = 0
	// formatChanges has changes in place of full lists, and compressed configurations.
	formatChanges = 1
	// formatCompressed has compressed lists of targets and entries.
	formatCompressed = 2
)

// compressLists compresses the lists of a reply if they are large: uncompressed, 720
// targets take 54 KB and 472 entries take 47 KB.
func compressLists(w *wire.PullReply) (err error) {
	lists := &wire.PullReply{Targets: w.Targets, Entries: w.Entries}
	if proto.Size(lists) < minCompressBytes {
		return nil
	}
	plain, err := proto.Marshal(lists)
	if err != nil {
		return err
	}
	w.Targets, w.Entries = nil, nil
	w.Lists, err = compress(plain)
	return err
}

func decompressLists(w *wire.PullReply) (err error) {
	if len(w.Lists) == 0 {
		return nil
	}
	plain, err := decompress(w.Lists)
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

// minCompressBytes is the size from which a configuration or the lists are compressed.
const minCompressBytes = 1 << 10

func encodeResult(now time.Time, result PullResult) *wire.PullReply {
	w := &wire.PullReply{
		Config: result.Config, Listed: result.Targets != TargetsUnchanged, Changed: result.Targets == TargetsChanged,
		At: uint64(result.Revision), Moved: uint64(result.LastChange), Age: millis(result.Age),
	}
	for _, c := range result.Changes {
		t := c.Value
		w.Targets = append(w.Targets, &wire.Target{
			Id: c.Name, Revision: uint64(c.Revision), Address: t.Address, Service: t.Service, Place: t.Place,
			Slots: uint32(t.Slots), Leaving: t.Leaving, Warm: millis(t.WarmAt.Sub(now)), Deleted: c.Deleted,
			Born: t.StartedMillis,
		})
	}
	for _, e := range result.Entries {
		w.Entries = append(w.Entries, peer.EncodeEntry(now, e))
	}
	if e := result.Evacuations; e != nil {
		w.Evacuations = &wire.Evacuations{At: uint64(e.Revision), Moved: uint64(e.LastChange), Age: millis(e.Age)}
		for _, it := range e.List {
			w.Evacuations.List = append(w.Evacuations.List, &wire.Evacuation{Place: it.Name, Revision: uint64(it.Revision)})
		}
	}
	return w
}

func decodeResult(now time.Time, w *wire.PullReply) (result PullResult, err error) {
	result = PullResult{Config: w.Config, Revision: roster.Revision(w.At), LastChange: roster.Revision(w.Moved), Age: fromMillis(w.Age)}
	switch {
	case w.Changed:
		result.Targets = TargetsChanged
	case w.Listed:
		result.Targets = TargetsListed
	}
	if len(w.Packed) > 0 {
		if result.Config, err = decompress(w.Packed); err != nil {
			return result, errors.WithMessage(err, "packed")
		}
	}
	if err := decompressLists(w); err != nil {
		return result, errors.WithMessage(err, "lists")
	}
	for _, t := range w.Targets {
		v := slot.Target{
			ID: t.Id, Address: t.Address, Service: t.Service, Place: t.Place,
			Slots: int(t.Slots), Leaving: t.Leaving, StartedMillis: t.Born,
		}
		if t.Warm > 0 {
			v.WarmAt = now.Add(fromMillis(t.Warm))
		}
		result.Changes = append(result.Changes, roster.Change[slot.Target]{
			Item: roster.Item[slot.Target]{Name: t.Id, Revision: roster.Revision(t.Revision), Value: v}, Deleted: t.Deleted,
		})
	}
	if e := w.Evacuations; e != nil {
		result.Evacuations = &Evacuations{Revision: roster.Revision(e.At), LastChange: roster.Revision(e.Moved), Age: fromMillis(e.Age)}
		for _, it := range e.List {
			result.Evacuations.List = append(result.Evacuations.List, roster.Item[slot.Evacuation]{Name: it.Place, Revision: roster.Revision(it.Revision)})
		}
	}
	for i, w := range w.Entries {
		e, err := peer.DecodeEntry(now, fmt.Sprintf("entries[%d]", i), w)
		if err != nil {
			return result, err
		}
		result.Entries = append(result.Entries, e)
	}
	return result, nil
}

// configCompressor caches the compressed form of the last configuration.
type configCompressor struct {
	mu         sync.Mutex
	plain      []byte
	compressed []byte
}

func (c *configCompressor) compress(data []byte) (compressed []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.Equal(c.plain, data) {
		return c.compressed, nil
	}
	if compressed, err = compress(data); err != nil {
		return nil, err
	}
	c.plain, c.compressed = data, compressed
	return compressed, nil
}

func compress(data []byte) (compressed []byte, err error) {
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

// maxDecompressedBytes limits decompressed data. Objects in the store have at most
// 1 MB.
const maxDecompressedBytes = 4 << 20

func decompress(compressed []byte) (data []byte, err error) {
	z, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	data, err = io.ReadAll(io.LimitReader(z, maxDecompressedBytes+1))
	if err == nil && len(data) > maxDecompressedBytes {
		err = errors.Errorf("decompressed data exceeds %d bytes", maxDecompressedBytes)
	}
	return data, err
}
