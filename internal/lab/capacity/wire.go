package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/pkg/member"
)

// echo responds to a message with the same message.
type echo struct{}

func (echo) Gossip(_ context.Context, m member.Message) (member.Message, error) { return m, nil }
func (echo) Ping(context.Context, string) (member.ID, error)                    { return member.ID{}, nil }

// sampleEntry returns an entry with names and addresses of typical length.
func sampleEntry(i int) member.Entry {
	return member.Entry{
		ID:            member.ID{Name: fmt.Sprintf("entry-%03d", i), Boot: 1_700_000_000_000},
		CallerAddress: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
		PeerAddress:   fmt.Sprintf("10.1.%d.%d:8081", i/250, i%250),
		Place:         fmt.Sprintf("place-%02d", i%15),
		Region:        fmt.Sprintf("region-%d", i%4),
	}
}

// runWire measures a gossip exchange on a keep-alive loopback connection: the
// bytes of the body and of HTTP beside it, and the CPU time of both ends together.
func runWire(cfg Config, m *messageSizes, w io.Writer) (err error) {
	exchanges := cfg.Exchanges
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	counters := &peer.Counters{}
	srv := peer.NewServer(peer.ServerConfig{Self: sampleEntry(0).ID, Members: echo{}})
	go srv.Serve(l)
	defer srv.Close()
	client := peer.NewClient(peer.ClientConfig{Counters: counters})
	defer client.Close()

	body := &series{name: "body, B each way"}
	overhead := &series{name: "HTTP beside it, B each way", digits: 1}
	cpu := &series{name: "processor time of both ends, us", digits: 1}
	for _, entries := range []int{0, 16, 64, 256} {
		msg := member.Message{From: sampleEntry(0).ID, Digest: 1 << 60}
		for i := range entries {
			msg.Entries = append(msg.Entries, sampleEntry(i))
		}
		startTotal, startBodies, startCPU := counters.ConnOut.Load()+counters.ConnIn.Load(), gossipBytes(counters), cpuTime()
		for range exchanges {
			if _, err := client.Gossip(context.Background(), l.Addr().String(), msg); err != nil {
				return err
			}
		}
		spent := cpuTime() - startCPU
		total := counters.ConnOut.Load() + counters.ConnIn.Load() - startTotal
		bodies := gossipBytes(counters) - startBodies
		body.add(entries, float64(bodies)/float64(exchanges)/2)
		overhead.add(entries, float64(total-bodies)/float64(exchanges)/2)
		cpu.add(entries, float64(spent.Nanoseconds())/float64(exchanges)/1000)
	}
	m.httpOverhead = int(overhead.runs[0][0])
	fmt.Fprintf(w, "%d exchanges of each size over one connection; TCP and IP headers are not counted\n\n", exchanges)
	writeTable(w, "entries in a message", body, overhead, cpu)
	return nil
}

// gossipBytes returns the bytes of the bodies of all gossip messages so far.
func gossipBytes(c *peer.Counters) int64 {
	n := c.Counts()[peer.Gossip]
	return n.In + n.Out
}

// cpuTime returns the CPU time of this process so far, or 0 if it can't be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
