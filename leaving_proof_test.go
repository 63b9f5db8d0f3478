package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/load"
)

// Both preferred entries of a service get SIGTERM under load, one of them a second time
// 200 ms later. All callers use these entries and cache locate responses for their full
// TTL. Every request must get its complete response: an entry serves until no valid
// locate response names it, and its requests in flight finish.
func TestPlannedStopOfAnEntryCutsOffNothing(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 3, 3, 5*time.Millisecond)
	preferred := s.preferredEntries(t, 0)
	q.Assert(preferred, qt.HasLen, 2)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		time.Sleep(time.Second)
		s.entries[preferred[0]].signal(syscall.SIGTERM)
		s.entries[preferred[1]].signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		s.entries[preferred[0]].signal(syscall.SIGTERM)
	}()
	r, err := load.Run(t.Context(), load.Config{
		Entries: []string{s.callers(0), s.callers(1), s.callers(2)}, Services: []string{testService},
		Rate: 150, Requests: 3000, Writes: 0.3, Timeout: 5 * time.Second, Seed: 4,
	})
	q.Assert(err, qt.IsNil)
	<-stopped
	q.Check(r.Answered, qt.Equals, r.Sent, qt.Commentf("%+v", reportOf(r)))
	for _, n := range preferred {
		s.awaitEnd(t, n)
	}
}

// awaitEnd waits until an entry has exited, and checks that its exit code is 0.
func (c *cluster) awaitEnd(t *testing.T, n int) {
	t.Helper()
	select {
	case <-c.entries[n].exited:
	case <-time.After(waitLimit):
		t.Fatalf("entry %d did not end", n)
	}
	qt.Check(t, c.entries[n].cmd.ProcessState.ExitCode(), qt.Equals, 0)
}

// A target is drained, or reports on its responses that it is leaving, while its health
// check and the VM list still show it as live. Only one entry sends it requests and learns
// of this directly; the other entries are idle. Two seconds later they start to send, and
// no entry may send the target anything. No request may be cut off.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		leave func(t *testing.T, s *cluster)
	}{
		{"drained by an operator", func(t *testing.T, s *cluster) {
			code, out := s.runCommand(t, 0, "drain", targetName(0))
			qt.Assert(t, code, qt.Equals, exitOK, qt.Commentf("%s", out))
		}},
		{"reported on its responses", reportLeaving},
		{"reported on its responses, store down", func(t *testing.T, s *cluster) {
			s.setFaults(t, `{"down":true}`)
			reportLeaving(t, s)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			q := qt.New(t)
			s := newCluster(t, 3, 3, 2*time.Millisecond)
			first := s.startStream(0)
			eventually(t, "the target works", func() bool { return targetRuns(t, s, 0) > 100 })
			c.leave(t, s)
			time.Sleep(2 * time.Second)
			before := targetRuns(t, s, 0)
			rest := s.startStream(1, 2)
			eventually(t, "the other targets work for all entries", func() bool { return rest.sent.Load() > 500 && first.sent.Load() > 500 })
			q.Check(targetRuns(t, s, 0), qt.Equals, before)
			q.Check(first.stopAndWait(), qt.HasLen, 0)
			q.Check(rest.stopAndWait(), qt.HasLen, 0)
		})
	}
}

// A place is evacuated through one entry. After two seconds no entry may send requests to
// the target in that place, not even an entry that starts later, and no request may be cut
// off. After the place is restored, its target gets requests again. Evacuating an unknown
// place must fail.
func TestEvacuatedPlaceGetsNoNewWork(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 3, 3, 2*time.Millisecond)
	first := s.startStream(0, 1, 2)
	eventually(t, "the target works", func() bool { return targetRuns(t, s, 0) > 100 })
	code, out := s.runCommand(t, 0, "evacuate", "nowhere")
	q.Assert(code, qt.Equals, exitFailed, qt.Commentf("%s", out))
	code, out = s.runCommand(t, 0, "evacuate", testPlaces[0])
	q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	time.Sleep(2 * time.Second)
	before := targetRuns(t, s, 0)
	eventually(t, "the other targets work", func() bool { return first.sent.Load() > 500 })
	q.Check(first.stopAndWait(), qt.HasLen, 0)
	n := s.startEntry(t)
	eventually(t, "the late entry serves", func() bool {
		return s.readyEntries(n) == len(s.entries) && s.get(n, newKey(), time.Second).status == http.StatusOK
	})
	late := s.startStream(0, 1, 2, n)
	eventually(t, "the other targets work for all entries", func() bool { return late.sent.Load() > 500 })
	q.Check(targetRuns(t, s, 0), qt.Equals, before)
	code, out = s.runCommand(t, 1, "restore", testPlaces[0])
	q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	eventually(t, "the target works again", func() bool { return targetRuns(t, s, 0) > before })
	q.Check(late.stopAndWait(), qt.HasLen, 0)
}

func reportLeaving(t *testing.T, s *cluster) {
	t.Helper()
	res, err := http.Post("http://"+s.targets[0].addrs[0]+"/-/drain", "", nil)
	qt.Assert(t, err, qt.IsNil)
	res.Body.Close()
}

func targetRuns(t *testing.T, s *cluster, n int) int {
	t.Helper()
	var log []struct{ ID string }
	qt.Assert(t, getJSON("http://"+s.targets[n].addrs[0]+"/-/log", &log), qt.IsNil)
	return len(log)
}

// requestStream is a steady stream of idempotent requests to some entries.
type requestStream struct {
	sent    atomic.Int64
	stop    chan struct{}
	senders sync.WaitGroup

	mu         sync.Mutex
	incomplete []callResult
}

// streamPause is the pause of a sender before each request.
const streamPause = 5 * time.Millisecond

// startStream starts two senders for each of the entries.
func (c *cluster) startStream(entries ...int) *requestStream {
	s := &requestStream{stop: make(chan struct{})}
	for _, n := range append(entries, entries...) {
		s.senders.Go(func() { s.send(c, n) })
	}
	return s
}

func (s *requestStream) send(c *cluster, n int) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(streamPause):
		}
		id := newKey()
		if a := c.get(n, id, 5*time.Second); !a.complete(id) {
			s.mu.Lock()
			s.incomplete = append(s.incomplete, a)
			s.mu.Unlock()
		}
		s.sent.Add(1)
	}
}

// stopAndWait stops the senders and returns the incomplete responses.
func (s *requestStream) stopAndWait() []callResult {
	close(s.stop)
	s.senders.Wait()
	return s.incomplete
}

// Long responses stream through an entry when it gets SIGTERM twice. They last longer than
// the TTL of the locate responses that name the entry, and go on after it has closed its
// listeners. Each must arrive complete.
func TestLongResponseSurvivesStopOfItsEntry(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newStore(t)
	addr, target := newStreamer(t)
	s.registerVM(t, "ledger-stream", addr)
	s.startEntries(t, 2)
	for _, set := range [][2]string{{"locatettl", "500ms"}, {"timeout", "1m"}} {
		code, out := s.runCommand(t, 0, "settings", "set", servicePath, set[0], set[1], "--wait")
		q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	}
	results := make(chan callResult, 4)
	for n := range cap(results) {
		go func() {
			results <- s.send(1, []string{http.MethodGet, http.MethodPost}[n%2], "/stream", newKey(), waitLimit)
		}()
	}
	eventually(t, "the responses stream", func() bool { return target.streams.Load() == int64(cap(results)) })
	s.entries[1].signal(syscall.SIGTERM)
	s.entries[1].signal(syscall.SIGTERM)
	eventually(t, "the entry has closed its listener", func() bool {
		c, err := net.Dial("tcp", s.callers(1))
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(target.release)
	for range cap(results) {
		a := <-results
		q.Check(a.err, qt.IsNil)
		q.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
		q.Check(len(a.body) > 0 && a.body[len(a.body)-4:] == "end\n", qt.IsTrue, qt.Commentf("%d bytes", len(a.body)))
	}
	s.awaitEnd(t, 1)
}

// streamer is a target in the test process whose responses stream until it is released.
type streamer struct {
	streams atomic.Int64
	release chan struct{}
}

func newStreamer(t *testing.T) (addr string, s *streamer) {
	t.Helper()
	s = &streamer{release: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	srv := &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String(), s
}

func (s *streamer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/stream" {
		fmt.Fprintf(w, "id=%s \n", r.Header.Get("X-Request-Id"))
		return
	}
	s.streams.Add(1)
	for {
		_, _ = io.WriteString(w, "part\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-s.release:
			_, _ = io.WriteString(w, "end\n")
			return
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
