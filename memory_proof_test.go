package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/platform"
)

// Memory of the VM in TestMemoryWithinSettings, and for how long each load is played.
const (
	proofMemoryMB = 100
	proofLoadTime = 4 * time.Second
	proofPause    = 50 * time.Millisecond // of a caller between two requests
)

// proofLoad is a load of callers that repeat one request.
type proofLoad struct {
	callers  int
	bytes    int     // of the request body
	rate     float64 // bytes per second at which a caller sends and reads; 0 reads no response
	chunked  bool
	response int  // bytes of the response; 0 for the hash of the body
	least    int  // complete responses, one round of what has room at a time
	fits     bool // none is refused for lack of memory
}

// proofResult counts the requests of a load.
type proofResult struct{ served, refused atomic.Int64 }

// pacedReader yields bytes at a rate. It hides the length of what it reads.
type pacedReader struct {
	io.Reader
	rate float64
	next time.Time
}

func (r *pacedReader) Read(p []byte) (n int, err error) {
	const part = 20 * time.Millisecond
	if now := time.Now(); r.next.Before(now.Add(-part)) {
		r.next = now
	}
	n, err = r.Reader.Read(p[:min(len(p), max(1, int(r.rate*part.Seconds())))])
	r.next = r.next.Add(time.Duration(float64(n) / r.rate * float64(time.Second)))
	time.Sleep(time.Until(r.next))
	return n, err
}

// headerBytes is how many bytes the response of hashTarget has; without it, it is the hash of the body.
const headerBytes = "X-Bytes"

// hashTarget responds with the hash of the body, or with a number of bytes.
func hashTarget(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		_, _ = io.Copy(sum, r.Body)
		body := []byte(hex.EncodeToString(sum.Sum(nil)))
		if n, err := strconv.Atoi(r.Header.Get(headerBytes)); err == nil {
			body = make([]byte, n)
		}
		w.Header().Set("Plumpitch-Server-Load", "0,0,2,100")
		w.Header().Set("Plumpitch-Instance-Id", id)
		w.Header().Set("Plumpitch-Response-Signature", "signed")
		if request := r.Header.Get(platform.HeaderRequestID); request != "" { // none in a health check
			w.Header().Set(platform.HeaderRequestID, request)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// Guards against gateways that the platform kills because callers or targets send more bytes than
// the VM has memory for, and against refusals where there is room.
func TestMemoryWithinSettings(t *testing.T) {
	small := proofLoad{callers: 12, bytes: 100, rate: 1e9, least: 12, fits: true}
	slow := proofLoad{callers: 300, bytes: 1000 << 10, rate: 4 << 10}
	tests := []struct {
		name  string
		loads []proofLoad
	}{
		{"there is room", []proofLoad{{callers: 16, bytes: 1000 << 10, rate: 2e6, least: 16, fits: true}, small}},
		{"uploads", []proofLoad{{callers: 120, bytes: 1000 << 10, rate: 2e6, least: 36}, small}},
		{"chunked uploads", []proofLoad{{callers: 120, bytes: 1000 << 10, rate: 2e6, chunked: true, least: 36}, small}},
		{"beside slow uploads", []proofLoad{{callers: 8, bytes: 1000 << 10, rate: 2e6, least: 8, fits: true}, slow, small}},
		{"many of middle size", []proofLoad{{callers: 300, bytes: 400 << 10, rate: 4e5, least: 90}, small}},
		{"responses that are read slowly", []proofLoad{{callers: 200, rate: 3e5, response: 1000 << 10}, small}},
		{"responses that are never read", []proofLoad{{callers: 200, response: 1000 << 10}, small}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newGatewaySite(t, 0)
			s.memoryMB = proofMemoryMB
			for i := range 6 {
				id := fmt.Sprint("i-", i)
				server := httptest.NewServer(hashTarget(id))
				t.Cleanup(server.CloseClientConnections)
				s.store.PutTarget(objects.Target{ID: id, Address: strings.TrimPrefix(server.URL, "http://"), Service: "gowns", Place: "hall", Slots: 2})
			}
			s.version++
			s.store.PutConfig(s.version, []objects.Route{{
				Name: "r-a", Host: "veil.example", Prefix: "/a/", Kind: "upload", Timeout: "4s", TargetLatency: "3s", Attempts: 2, Service: "gowns",
			}}, []string{"gowns"})
			g := s.start(program(t))
			ctx, cancel := context.WithTimeout(t.Context(), proofLoadTime)
			defer cancel()
			var all sync.WaitGroup
			results := make([]proofResult, len(tt.loads))
			for i, l := range tt.loads {
				for n := range l.callers {
					all.Go(func() { g.repeat(ctx, fmt.Sprint(i, "-", n), l, &results[i]) })
				}
			}
			most := g.peakMemory(ctx)
			all.Wait()
			s.q.Check(most < proofMemoryMB*1e6, qt.IsTrue, qt.Commentf("%d bytes", most))
			for i, l := range tt.loads {
				served, refused := results[i].served.Load(), results[i].refused.Load()
				t.Logf("most memory %d MB, load %d: served %d, refused %d", most/1e6, i, served, refused)
				s.q.Check(served >= int64(l.least), qt.IsTrue, qt.Commentf("load %d: %d", i, served))
				s.q.Check(refused == 0 || !l.fits, qt.IsTrue, qt.Commentf("load %d: %d", i, refused))
			}
		})
	}
}

// repeat sends requests until ctx ends.
func (g *gatewayProcess) repeat(ctx context.Context, name string, l proofLoad, result *proofResult) {
	client := &http.Client{Transport: &http.Transport{WriteBufferSize: 64 << 10}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte(name), l.bytes/len(name))
	hash := sha256.Sum256(body)
	want := hex.EncodeToString(hash[:])
	for i := 0; ctx.Err() == nil; i++ {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.ip+":8548/a/upload", &pacedReader{Reader: bytes.NewReader(body), rate: l.rate})
		if err != nil {
			return
		}
		if r.Host = "veil.example"; !l.chunked {
			r.ContentLength = int64(len(body))
		}
		if len(body) == 0 {
			r.Body = nil
		}
		r.Header.Set(platform.HeaderRequestID, fmt.Sprint(name, "-", i))
		if l.response > 0 {
			r.Header.Set(headerBytes, strconv.Itoa(l.response))
			want = string(make([]byte, l.response))
		}
		time.Sleep(proofPause)
		res, err := client.Do(r)
		if err != nil {
			continue
		}
		if l.rate == 0 {
			<-ctx.Done()
			res.Body.Close()
			return
		}
		text, err := io.ReadAll(&pacedReader{Reader: res.Body, rate: l.rate})
		res.Body.Close()
		switch {
		case res.StatusCode == http.StatusOK && err == nil && string(text) == want:
			result.served.Add(1)
		case res.Header.Get("Plumpitch-Reason") == "nomemory":
			result.refused.Add(1)
		}
	}
}

// peakMemory returns the largest anonymous memory of the process in bytes until ctx ends.
func (g *gatewayProcess) peakMemory(ctx context.Context) (most int64) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
		_, rest, _ := strings.Cut(string(text), "RssAnon:")
		field, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		kb, _ := strconv.ParseInt(field, 10, 64)
		most = max(most, kb<<10)
	}
	return most
}
