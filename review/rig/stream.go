package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// Times and sizes of the stream case.
const (
	streamHost   = "files.example"
	streamHead   = 1280 << 10 // bytes that a target sends at once
	streamTotal  = 2 << 20
	streamWork   = 4 * time.Second // of the target between the two parts
	streamCount  = 40
	leavePart    = 0.3 // of the clients
	goneTime     = 500 * time.Millisecond
	goneShare    = 0.25
	streamLeaves = 300 * time.Millisecond // after the first byte
)

// download is one request as its target has seen it.
type download struct {
	began, ended time.Time
	closed       bool // the connection ended before the work
}

// streamTarget answers with a long body, the second part of which takes a while.
type streamTarget struct {
	id   string
	work time.Duration // between the two parts
	mu   sync.Mutex
	runs map[string]*download
}

func (t *streamTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Plumpitch-Instance-Id", t.id)
		w.Header().Set("Plumpitch-Server-Load", "0,0,40")
		return
	}
	id := r.Header.Get("Plumpitch-Request-Id")
	if expected := r.Header.Get("Plumpitch-Target-Instance"); expected != "" && expected != t.id {
		w.Header().Set("Plumpitch-Not-Executed", "1")
		w.Header().Set("Plumpitch-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d := &download{began: time.Now()}
	t.mu.Lock()
	t.runs[id] = d
	t.mu.Unlock()
	w.Header().Set("Plumpitch-Request-Id", id)
	w.Header().Set("Plumpitch-Response-Signature", "signed-by-"+t.id)
	w.Header().Set("Content-Length", fmt.Sprint(streamTotal))
	_, _ = w.Write([]byte(strings.Repeat("x", streamHead)))
	_ = http.NewResponseController(w).Flush()
	closed := false
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		closed = true
	}
	t.mu.Lock()
	d.ended, d.closed = time.Now(), closed
	t.mu.Unlock()
	if !closed {
		_, _ = w.Write([]byte(strings.Repeat("x", streamTotal-streamHead)))
	}
}

// startArchive starts a target and two gateways that serve it.
func (s *site) startArchive(work time.Duration, timeout, objective string) (t *streamTarget, end func(), err error) {
	t = &streamTarget{id: "i-archive-0", work: work, runs: make(map[string]*download)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(l) }()
	end = func() { server.Close() }
	s.store.PutTarget(objects.Target{ID: t.id, Address: l.Addr().String(), Service: "archive", Place: "zone-a", Slots: 40, StartedMillis: time.Now().UnixMilli()})
	s.store.PutConfig(12, []objects.Route{
		{Name: "r-archive", Host: streamHost, Prefix: "/archive/", Timeout: timeout, TargetLatency: objective, Attempts: 1, Service: "archive"},
	}, []string{"archive"})
	for _, zone := range s.zones {
		s.seeds = append(s.seeds, s.newGateway("edge-"+zone+"-1", zone))
	}
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return t, end, err
		}
	}
	if err := awaitReady(s.gateways, 10*time.Second); err != nil {
		return t, end, err
	}
	time.Sleep(4 * time.Second)
	return t, end, nil
}

// playStream has clients leave while a target works on the rest of a long response.
func playStream(record string, trouble bool) (broken bool, err error) {
	s, err := newSite(record, []string{"zone-a", "zone-b"}, []string{
		"drain=2000ms", "grace=6s", "configApply=2000ms", "retryBudgetRatio=0.2", "retryBudgetSlack=56", "budgetWindow=10s", "ttl_max=5s", "stableWindow=3000ms", "probesPerS=60",
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	t, end, err := s.startArchive(streamWork, "8s", "6s")
	if err != nil {
		return false, err
	}
	defer end()
	var done sync.WaitGroup
	left := make([]time.Time, streamCount)
	for i := range streamCount {
		g := s.gateways[i%len(s.gateways)]
		done.Go(func() { left[i] = s.download(i, g, trouble && float64(i%10) < 10*leavePart) })
		time.Sleep(100 * time.Millisecond)
	}
	done.Wait()
	time.Sleep(streamWork + time.Second)
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, working := 0, 0
	for i := range streamCount {
		d := t.runs[fmt.Sprintf("d%03d", i)]
		if d == nil {
			s.log("d%03d: not run", i)
			continue
		}
		if left[i].IsZero() {
			s.log("d%03d: run from %.3f to %.3f, its client stayed", i, d.began.Sub(s.began).Seconds(), d.ended.Sub(s.began).Seconds())
			continue
		}
		if d.began.Add(streamWork).Before(left[i].Add(goneTime)) {
			continue
		}
		counted++
		after := d.ended.Sub(left[i])
		if after > goneTime {
			working++
		}
		s.log("d%03d: run began %.3f, client left %.3f, target worked until %.3f, %.3f s later, connection closed meanwhile: %t", i, d.began.Sub(s.began).Seconds(), left[i].Sub(s.began).Seconds(), d.ended.Sub(s.began).Seconds(), after.Seconds(), d.closed)
	}
	if trouble && counted == 0 || len(t.runs) == 0 {
		return false, errors.New("no request has run")
	}
	s.log("GONE: targets still worked half a second after the client had left on %d of %d requests, bound %.0f in 100", working, counted, 100*goneShare)
	fmt.Printf("targets still worked half a second after the client had left on %d of %d requests\n", working, counted)
	return float64(working) > goneShare*float64(counted), nil
}

// download sends a request and reads the response to its end, or, with leave set, closes the connection after
// a while. It returns when it closed it; zero if it read to the end.
func (s *site) download(i int, g *gateway, leave bool) (left time.Time) {
	c, err := net.DialTimeout("tcp", g.front(), time.Second)
	if err != nil {
		s.log("d%03d: %v", i, err)
		return left
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /archive/%d HTTP/1.1\r\nHost: %s\r\nPlumpitch-Request-Id: d%03d\r\nPlumpitch-Request-Deadline: 10000\r\n\r\n", i, streamHost, i)
	s.log("d%03d: sent to %s", i, g.name)
	br := bufio.NewReader(c)
	if !leave {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			s.log("d%03d: %v", i, err)
			return left
		}
		n := 0
		buf := make([]byte, 64<<10)
		for err == nil {
			var m int
			m, err = res.Body.Read(buf)
			n += m
		}
		s.log("d%03d: status %d, %d bytes, end %v", i, res.StatusCode, n, err)
		return left
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := br.ReadByte(); err != nil {
		s.log("d%03d: no response: %v", i, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(streamLeaves))
	buf := make([]byte, 64<<10)
	n := 0
	for err == nil {
		var m int
		m, err = br.Read(buf)
		n += m
	}
	left = time.Now()
	s.log("d%03d: client leaves after %d bytes (%v)", i, n, errors.Is(err, syscall.ETIMEDOUT))
	return left
}
