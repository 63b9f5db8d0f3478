package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

// copyingTarget refuses each POST when it arrives for the first time and runs it when it arrives
// again. If a connection carries a request again, the target sends a copy of the refusal first.
type copyingTarget struct {
	refusal func(id string) string
	send    func(w io.Writer, copied, response string)
	address string

	mu       sync.Mutex
	arrivals map[string]int
	runs     map[string]int
	repeated int      // requests whose ID their connection had carried before
	records  []string // IDs that it has in turn in responses to health checks
	checks   int
}

func startCopyingTarget(t *testing.T, refusal func(id string) string, send func(w io.Writer, copied, response string)) *copyingTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	k := &copyingTarget{refusal: refusal, send: send, address: l.Addr().String(), records: []string{"i-0"}, arrivals: make(map[string]int), runs: make(map[string]int)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

func (k *copyingTarget) serve(c net.Conn) {
	defer c.Close()
	carried := make(map[string]bool)
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Plumpitch-Request-Id")
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(c, worker.StrayHealth(k.nextRecord()))
			continue
		}
		k.mu.Lock()
		k.arrivals[id]++
		refuse := k.arrivals[id] == 1 && r.Method == http.MethodPost
		if !refuse {
			k.runs[id]++
		}
		if carried[id] {
			k.repeated++
		}
		k.mu.Unlock()
		body := "ran " + id
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: %s\r\nPlumpitch-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		switch {
		case refuse:
			_, _ = io.WriteString(c, k.refusal(id))
		case carried[id]:
			k.send(c, k.refusal(id), response)
		default:
			_, _ = io.WriteString(c, response)
		}
		carried[id] = true
	}
}

// nextRecord returns the ID for a response to a health check.
func (k *copyingTarget) nextRecord() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checks++
	return k.records[k.checks%len(k.records)]
}

// runCount returns how often a request has run.
func (k *copyingTarget) runCount(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[id]
}

// replaceRecords replaces the records of targets by three that have one address.
func replaceRecords(w *world, k *copyingTarget, round int) {
	k.mu.Lock()
	last := k.records
	k.records = nil
	for i := range 3 {
		k.records = append(k.records, fmt.Sprintf("i-%d-%d", round, i))
	}
	k.mu.Unlock()
	for _, id := range k.records {
		w.store.PutTarget(objects.Target{ID: id, Address: k.address, Service: "gowns", Place: "hall", Slots: 2})
	}
	for _, id := range last {
		w.store.Delete("servers", id)
	}
}

// Guards against a request that is refused and runs: three records have one address, the request is
// sent there again on the same connection, and a copy of the refusal is taken for its response.
func TestCopyOfRefusalToRepeat(t *testing.T) {
	refusals := []struct {
		name  string
		bytes func(id string) string
	}{
		{"503", func(id string) string { return worker.StrayRefusal(id) }},
		{"429", func(id string) string { return worker.StrayRateRefusal(id) }},
		{"421", func(id string) string { return worker.StrayMisdirected(id) }},
		{"500", func(id string) string {
			return strings.Replace(worker.StrayRefusal(id), "503 Service Unavailable", "500 Internal Server Error", 1)
		}},
	}
	moments := []struct {
		name string
		send func(w io.Writer, copied, response string)
	}{
		{"before the response", func(w io.Writer, copied, response string) { _, _ = io.WriteString(w, copied+response) }},
		{"long before the response", func(w io.Writer, copied, response string) {
			_, _ = io.WriteString(w, copied)
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(w, response)
		}},
		{"in two packets", func(w io.Writer, copied, response string) {
			_, _ = io.WriteString(w, copied[:40])
			time.Sleep(2 * time.Millisecond)
			_, _ = io.WriteString(w, copied[40:]+response)
		}},
		{"after the response", func(w io.Writer, copied, response string) { _, _ = io.WriteString(w, response+copied) }},
	}
	for _, tt := range refusals {
		for _, m := range moments {
			t.Run(tt.name+"/"+m.name, func(t *testing.T) {
				t.Parallel()
				k := startCopyingTarget(t, tt.bytes, m.send)
				w := newWorld(t, worldConfig{routeType: "non_idempotent", timeout: "300ms"})
				w.retryShare = 1
				e := w.startEntry("a")
				served := 0
				for round := range 15 {
					replaceRecords(w, k, round)
					w.waitFor("the records", func() bool { return e.hasTarget(k.records[2]) && e.targetCount("gowns") == len(k.records) })
					e.call(http.MethodGet, "/a/earn", "") // opens a connection, and earns a repeat
					a := e.call(http.MethodPost, "/a/book", "veil")
					w.c.Assert(a.err, qt.IsNil)
					runs := k.runCount(a.id)
					w.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("ran %d times, status %d", runs, a.status))
					w.c.Check(a.status == http.StatusOK, qt.Equals, runs > 0, qt.Commentf("ran %d times, status %d", runs, a.status))
					if a.status == http.StatusOK {
						w.c.Check(a.body, qt.Equals, "ran "+a.id)
						served++
					}
				}
				w.c.Check(served > 0, qt.IsTrue)
				k.mu.Lock()
				defer k.mu.Unlock()
				w.c.Check(k.repeated, qt.Equals, 0)
			})
		}
	}
}

// Guards against a caller that sends an ID again and gets a copy of the refusal of its first request.
func TestCopyOfRefusalToCallersRepeat(t *testing.T) {
	for _, close := range []bool{false, true} {
		t.Run(fmt.Sprint("close ", close), func(t *testing.T) {
			t.Parallel()
			copyFirst := func(w io.Writer, copied, response string) { _, _ = io.WriteString(w, copied+response) }
			k := startCopyingTarget(t, func(id string) string { return worker.StrayRefusal(id) }, copyFirst)
			w := newWorld(t, worldConfig{routeType: "non_idempotent", attempts: 1})
			w.store.PutTarget(objects.Target{ID: "i-0", Address: k.address, Service: "gowns", Place: "hall", Slots: 2})
			e := w.startEntry("a").waitReady()
			for i := range 20 {
				id := fmt.Sprint("q-again-", i)
				for attempt, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
					r := e.newRequest(t.Context(), id, http.MethodPost, "/a/book", "veil")
					r.Close = close
					a := send(http.DefaultClient, id, r)
					w.c.Assert(a.err, qt.IsNil)
					w.c.Check(a.status, qt.Equals, want)
					w.c.Check(k.runCount(id), qt.Equals, attempt)
				}
			}
			w.waitFor("the count", func() bool {
				rec := httptest.NewRecorder()
				e.instruments.Handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
				return regexp.MustCompile(`plumpitch_repeated_ids{[^}]*service="gowns"[^}]*} [1-9]`).Match(rec.Body.Bytes())
			})
		})
	}
}
