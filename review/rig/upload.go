package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// Sizes and times of the upload case.
const (
	uploadHost  = "media.example"
	uploadBytes = 360_000 // the largest body of the kind in a site file
	uploadPause = 1500 * time.Millisecond
	uploadCount = 8
	uploadRead  = 16 << 10 // bytes that a target reads before it pauses
	readBuffer  = 16 << 10 // of a target's connections
)

// uploadTarget reads the beginning of a body, works for a while, and reads on.
type uploadTarget struct {
	id   string
	mu   sync.Mutex
	runs map[string]*uploadRun
}

type uploadRun struct {
	began, ended time.Time
	bytes        int64
	err          error
}

func (t *uploadTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Plumpitch-Instance-Id", t.id)
		w.Header().Set("Plumpitch-Server-Load", "0,0,40")
		return
	}
	id := r.Header.Get("Plumpitch-Request-Id")
	w.Header().Set("Plumpitch-Request-Id", id)
	if expected := r.Header.Get("Plumpitch-Target-Instance"); expected != "" && expected != t.id {
		w.Header().Set("Plumpitch-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := &uploadRun{began: time.Now()}
	t.mu.Lock()
	t.runs[id] = run
	t.mu.Unlock()
	n, err := io.CopyN(io.Discard, r.Body, uploadRead)
	if err == nil {
		time.Sleep(uploadPause)
		m := int64(0)
		m, err = io.Copy(io.Discard, r.Body)
		n += m
	}
	t.mu.Lock()
	run.ended, run.bytes, run.err = time.Now(), n, err
	t.mu.Unlock()
	if err != nil {
		return
	}
	w.Header().Set("Plumpitch-Response-Signature", "signed-by-"+t.id)
	fmt.Fprintf(w, "stored %d bytes", n)
}

// listenNarrow listens on a loopback port whose connections hold few unread bytes.
func listenNarrow() (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, readBuffer) })
	}}
	return c.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// playUpload stops a gateway as planned while targets are at work on uploads, which they don't read all the time.
func playUpload(record string, trouble bool) (broken bool, err error) {
	s, err := newSite(record, []string{"zone-a", "zone-b"}, []string{
		"drain=2000ms", "grace=6s", "lossSlack=200ms", "configApply=2000ms", "retryBudgetRatio=0.2", "retryBudgetSlack=62", "budgetWindow=10s", "ttl_max=5s", "stableWindow=3000ms", "probesPerS=60",
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	t := &uploadTarget{id: "i-media-0", runs: make(map[string]*uploadRun)}
	l, err := listenNarrow()
	if err != nil {
		return false, err
	}
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	s.store.PutTarget(objects.Target{ID: t.id, Address: l.Addr().String(), Service: "media", Place: "zone-a", Slots: 40, StartedMillis: time.Now().UnixMilli()})
	s.store.BodyLimit = 64 << 20
	s.store.PutConfig(12, []objects.Route{
		{Name: "r-upload", Host: uploadHost, Prefix: "/media/", Kind: "upload", Timeout: "3s", TargetLatency: "2500ms", Attempts: 1, Service: "media"},
	}, []string{"media"})
	for _, zone := range s.zones {
		s.seeds = append(s.seeds, s.newGateway("edge-"+zone+"-1", zone))
	}
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(s.gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stopped := s.gateways[0]
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for i := range uploadCount {
		time.Sleep(100 * time.Millisecond)
		done.Go(func() {
			id := fmt.Sprintf("u%03d", i)
			status := s.upload(id, stopped)
			t.mu.Lock()
			run := t.runs[id]
			ran := run != nil
			t.mu.Unlock()
			// The target was at work, and the answer isn't its own.
			if ran && status != http.StatusOK && status != http.StatusServiceUnavailable {
				mu.Lock()
				defer mu.Unlock()
				cut++
			}
		})
	}
	done.Wait()
	time.Sleep(uploadPause)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.runs) == 0 {
		return false, errors.New("no request has run")
	}
	for i := range uploadCount {
		if run := t.runs[fmt.Sprintf("u%03d", i)]; run != nil {
			s.log("u%03d: run from %.3f to %.3f, %d bytes read, %v", i, run.began.Sub(s.began).Seconds(), run.ended.Sub(s.began).Seconds(), run.bytes, run.err)
		}
	}
	s.log("LOST: %d of %d uploads at which the target was at work were broken off, after SIGTERM: %t", cut, len(t.runs), trouble)
	fmt.Printf("uploads that were broken off while their target was at work: %d of %d, after SIGTERM: %t\n", cut, len(t.runs), trouble)
	return trouble && cut > 0, nil
}

// upload sends a body and returns the status of the response, 0 without one.
func (s *site) upload(id string, g *gateway) int {
	r, _ := http.NewRequest(http.MethodPost, "http://"+g.front()+"/media/"+id, bytes.NewReader(make([]byte, uploadBytes)))
	r.Host = uploadHost
	r.Header.Set("Plumpitch-Request-Id", id)
	r.Header.Set("Plumpitch-Request-Deadline", "3000")
	sent := time.Now()
	res, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		s.log("%s: sent to %s, no response after %.3f s: %v", id, g.name, time.Since(sent).Seconds(), err)
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	s.log("%s: sent to %s, status %d %s after %.3f s", id, g.name, res.StatusCode, res.Header.Get("Plumpitch-Reason"), time.Since(sent).Seconds())
	return res.StatusCode
}
