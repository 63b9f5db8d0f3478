// Package endless is a stand-in of a faulty server: it sends bytes that are no response, without
// end, until its caller closes the connection.
package endless

import (
	"fmt"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Case is one kind of bytes without end.
type Case struct {
	Name   string
	Start  string             // sent first
	Repeat func(n int) string // sent after it, again and again
	Body   bool               // the head is valid: what has no end is the body
	Long   bool               // the body is valid too, but for its end
	Slow   bool               // each byte of the body takes several
}

// HeadHeap is what the head of a response may take while it is read, in bytes. A head of 64 KiB has
// up to 16,000 headers, each of which takes some hundred bytes of a map, which is copied as it grows.
const HeadHeap = 4 << 20

// Cases returns all kinds. Heads that are valid so far have these header lines, each with its end.
func Cases(lines string) []Case {
	const ok = "HTTP/1.1 200 OK\r\n"
	x := strings.Repeat("x", blockBytes)
	same := func(text string) func(int) string { return func(int) string { return text } }
	many := func(line string) func(int) string { return same(strings.Repeat(line, blockBytes/len(line))) }
	numbered := func(n int) string {
		var b strings.Builder
		for i := range 200 {
			fmt.Fprintf(&b, "X-%d-%d: x\r\n", n, i)
		}
		return b.String()
	}
	chunked := ok + lines + "Transfer-Encoding: chunked\r\n\r\n"
	return []Case{
		{Name: "no HTTP", Repeat: same(x)},
		{Name: "zeros", Repeat: same(strings.Repeat("\x00", blockBytes))},
		{Name: "blank lines", Repeat: many("\r\n")},
		{Name: "status line", Start: "HTTP/1.1 200 ", Repeat: same(x)},
		{Name: "header name", Start: ok + lines, Repeat: same(x)},
		{Name: "header value", Start: ok + lines + "X-Long: ", Repeat: same(x)},
		{Name: "folded header", Start: ok + lines + "X-Long: x\r\n", Repeat: many(" x\r\n")},
		{Name: "one header again and again", Start: ok + lines, Repeat: many("X: x\r\n")},
		{Name: "headers without a value", Start: ok + lines, Repeat: many("X:\n")},
		{Name: "many headers", Start: ok + lines, Repeat: numbered},
		{Name: "cookies", Start: ok + lines, Repeat: many("Set-Cookie: a=b\r\n")},
		{Name: "interim responses", Repeat: many("HTTP/1.1 103 Early Hints\r\n\r\n")},
		{Name: "interim responses with headers", Repeat: many("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")},
		{Name: "continues", Repeat: many("HTTP/1.1 100 Continue\r\n\r\n")},
		{Name: "header of an interim response", Start: "HTTP/1.1 103 Early Hints\r\nLink: ", Repeat: same(x)},
		{Name: "chunk size", Start: chunked, Repeat: same(strings.Repeat("0", blockBytes)), Body: true},
		{Name: "chunk extension", Start: chunked + "1;", Repeat: same(x), Body: true},
		{Name: "chunk extensions", Start: chunked, Repeat: many("1;" + x[:1000] + "\r\nx\r\n"), Body: true},
		{Name: "trailer", Start: chunked + "1\r\nx\r\n0\r\nX-Long: ", Repeat: same(x), Body: true},
		{Name: "trailers", Start: chunked + "1\r\nx\r\n0\r\n", Repeat: numbered, Body: true},
		{Name: "chunks", Start: chunked, Repeat: many("1\r\nx\r\n"), Body: true, Long: true, Slow: true},
		{Name: "large chunk", Start: chunked + "7fffffffffffffff\r\n", Repeat: same(x), Body: true, Long: true},
		{Name: "length of all numbers", Start: ok + lines + "Content-Length: 9223372036854775807\r\n\r\n", Repeat: same(x), Body: true, Long: true},
		{Name: "body until the close", Start: ok + lines + "\r\n", Repeat: same(x), Body: true, Long: true},
	}
}

// blockBytes is the size of a write.
const blockBytes = 16 << 10

// Server sends the bytes of a case on each connection, after the first bytes of a request.
type Server struct {
	Case     Case
	listener net.Listener
	sent     atomic.Int64
	open     sync.WaitGroup
}

// Start returns a server on a free port.
func Start(c Case) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Case: c, listener: l}
	s.open.Go(s.accept)
	return s, nil
}

// Address returns the host:port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns the number of bytes that have been sent, with those in the kernel's buffers.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops the server and waits until all callers have closed their connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.open.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.open.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(blockBytes) // so that few bytes count that nobody reads
	}
	if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
		return
	}
	for n, text := 0, s.Case.Start; ; n, text = n+1, s.Case.Repeat(n) {
		written, err := conn.Write([]byte(text))
		s.sent.Add(int64(written))
		if err != nil {
			return
		}
	}
}

// Result is what a number of calls of one server did.
type Result struct {
	Heap     uint64        // bytes by which the live heap grew at most
	Sent     int64         // bytes that the server sent, with those in the kernel's buffers
	Longest  time.Duration // of the longest call
	Complete int           // calls that took the bytes for a complete response
}

// Call makes this number of calls at a time of a server of the case. A call returns nil if it
// takes the bytes for a complete response.
func Call(c Case, calls int, call func(address string) error) (r Result, err error) {
	s, err := Start(c)
	if err != nil {
		return r, err
	}
	var mu sync.Mutex
	r.Heap = peakHeap(func() {
		var pending sync.WaitGroup
		for range calls {
			pending.Go(func() {
				began := time.Now()
				err := call(s.Address())
				took := time.Since(began)
				mu.Lock()
				defer mu.Unlock()
				r.Longest = max(r.Longest, took)
				if err == nil {
					r.Complete++
				}
			})
		}
		pending.Wait()
	})
	s.Close()
	r.Sent = s.Sent()
	return r, nil
}

// peakHeap runs f and returns by how many bytes the live heap grew meanwhile, at most.
func peakHeap(f func()) (bytes uint64) {
	before := liveHeap()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			live := liveHeap()
			bytes = max(bytes, live-min(live, before))
			select {
			case <-stop:
				return
			case <-time.After(samplePeriod):
			}
		}
	}()
	f()
	close(stop)
	<-stopped
	return bytes
}

// liveHeap returns the bytes that a collection leaves.
func liveHeap() uint64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// samplePeriod is the time between two looks at the heap.
const samplePeriod = 5 * time.Millisecond
