package capacity

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/members"
	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/pkg/member"
)

// entry is the control plane of one entry with its own connections.
type entry struct {
	self     member.Entry
	members  *members.Members
	client   *peer.Client
	server   *http.Server
	counters peer.Counters
	cancel   context.CancelFunc
}

// runLoopback runs the control planes of many entries in this process in real
// time over loopback TCP.
func runLoopback(cfg Config, _ *messageSizes, w io.Writer) error {
	bytes := &series{name: "bytes in and out, B/s"}
	cpu := &series{name: "processor time, us/s"}
	mem := &series{name: "heap and stacks, KB"}
	joined := &series{name: "all started until all agree, s", digits: 2}
	notice := &series{name: "one stopped until all know, s", digits: 2}
	for _, n := range cfg.Loopback {
		if err := measureLoopback(cfg, n, bytes, cpu, mem, joined, notice); err != nil {
			return errors.WithMessagef(err, "%d entries", n)
		}
	}
	fmt.Fprintf(w, "loopback TCP, %v of quiet; per entry; TCP and IP headers are not counted; a stopped entry refuses connections\n\n", cfg.QuietTime)
	writeTable(w, "entries", bytes, cpu, mem, joined, notice)
	return nil
}

// measureLoopback measures n entries and adds the values to the series.
func measureLoopback(cfg Config, n int, bytes, cpu, mem, joined, notice *series) error {
	before := heapAndStacks()
	entries, err := startAll(n)
	defer func() {
		for _, e := range entries {
			e.stop()
		}
	}()
	if err != nil {
		return err
	}
	took, err := waitUntil(time.Minute, func() bool { return agreedServing(entries) == n })
	if err != nil {
		return errors.WithMessage(err, "agreement")
	}
	joined.add(n, took.Seconds())
	time.Sleep(cfg.SettleTime)

	startBytes, startCPU := totalBytes(entries), cpuTime()
	time.Sleep(cfg.QuietTime)
	secs, k := cfg.QuietTime.Seconds(), float64(n)
	cpu.add(n, float64((cpuTime()-startCPU).Microseconds())/secs/k)
	bytes.add(n, float64(totalBytes(entries)-startBytes)/secs/k)
	mem.add(n, (heapAndStacks()-before)/k/1024)

	entries[n/2].stop()
	rest := append(append([]*entry{}, entries[:n/2]...), entries[n/2+1:]...)
	took, err = waitUntil(time.Minute, func() bool { return agreedServing(rest) == n-1 })
	notice.add(n, took.Seconds())
	return errors.WithMessage(err, "notice")
}

func startAll(n int) (entries []*entry, err error) {
	places, regions := topology(n)
	var seeds []string
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return entries, err
		}
		self := sampleEntry(i)
		self.PeerAddress = l.Addr().String()
		self.Place, self.Region = fmt.Sprintf("place-%02d", i%places), fmt.Sprintf("region-%d", i%places%regions)
		if i < 3 {
			seeds = append(seeds, self.PeerAddress)
		}
		entries = append(entries, startEntry(l, self, seeds))
	}
	return entries, nil
}

func startEntry(l net.Listener, self member.Entry, seeds []string) *entry {
	e := &entry{self: self}
	e.client = peer.NewClient(peer.ClientConfig{Counters: &e.counters})
	e.members = members.New(members.Config{
		Client: e.client,
		Member: member.Config{Self: self, Seeds: seeds, Rand: rand.New(rand.NewPCG(1, self.ID.Boot+uint64(len(seeds))))},
	})
	e.server = peer.NewServer(peer.ServerConfig{Self: self.ID, Members: e.members, Counters: &e.counters})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.server.Serve(e.counters.Listener(l))
	go e.members.Serve(ctx)
	return e
}

func (e *entry) stop() {
	e.cancel()
	e.server.Close()
	e.client.Close()
}

// agreedServing returns the number of serving entries in the first entry's view,
// or 0 if any view shows a different number of alive entries.
func agreedServing(entries []*entry) int {
	n := len(entries[0].members.Serving())
	for _, e := range entries {
		alive := 0
		for _, s := range e.members.View().Entries {
			if s.State == member.Alive {
				alive++
			}
		}
		if alive != n {
			return 0
		}
	}
	return n
}

func totalBytes(entries []*entry) (total int64) {
	for _, e := range entries {
		total += e.counters.ConnIn.Load() + e.counters.ConnOut.Load()
	}
	return total
}

// heapAndStacks returns the bytes of the heap and the stacks of this process.
func heapAndStacks() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// waitUntil polls a condition until it holds and returns the time that passed.
func waitUntil(timeout time.Duration, ok func() bool) (took time.Duration, err error) {
	const pollInterval = 20 * time.Millisecond
	start := time.Now()
	for !ok() {
		if time.Since(start) > timeout {
			return time.Since(start), errors.Errorf("condition did not hold within %v", timeout)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), nil
}
