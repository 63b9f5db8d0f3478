package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// stopLoad is the load of callers on an entry that stops.
type stopLoad struct {
	w       *world
	e       *entry
	key     string
	methods []string      // of a connection's requests in turn
	depth   int           // requests that a connection has under way
	upload  time.Duration // longest time until a body is complete
	rng     *rand.Rand

	mu   sync.Mutex
	sent []*sentRequest
}

// sentRequest is what a caller saw of a request.
type sentRequest struct {
	id                  string
	began, whole, ended time.Time
	status              int // 0 without a complete response
}

// run sends requests on one connection after the other until the entry accepts none.
func (l *stopLoad) run(caller int) {
	for n := 0; ; n++ {
		c, err := net.Dial("tcp", l.e.self.CallerAddress)
		if err != nil {
			return
		}
		l.useConn(c, fmt.Sprintf("c%d-%d", caller, n))
		c.Close()
	}
}

// useConn sends requests on a connection until it ends.
func (l *stopLoad) useConn(c net.Conn, name string) {
	br := bufio.NewReader(c)
	var waiting []*sentRequest
	for i, last := 0, false; !last || len(waiting) > 0; {
		for ; !last && len(waiting) < l.depth; i++ {
			r, err := l.write(c, fmt.Sprint(name, "-", i), l.methods[i%len(l.methods)])
			if err != nil {
				last = true
				break
			}
			waiting = append(waiting, r)
		}
		if len(waiting) == 0 {
			return
		}
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		now := time.Now()
		if err != nil {
			for _, r := range waiting {
				r.ended = now
			}
			return
		}
		waiting[0].status, waiting[0].ended = resp.StatusCode, now
		waiting = waiting[1:]
		last = last || resp.Close
	}
}

// write sends a request, its body in parts.
func (l *stopLoad) write(c net.Conn, id, method string) (*sentRequest, error) {
	r := &sentRequest{id: id, began: time.Now()}
	path := map[string]string{"GET": "/a/x", "POST": "/o/x"}[method]
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: veil.example\r\nAuthorization: Bearer %s\r\nPlumpitch-Request-Id: %s\r\nPlumpitch-Request-Deadline: 9000\r\n", method, path, l.key, id)
	parts := 0
	if method == http.MethodPost {
		parts = 10
		head += "Content-Length: 1000\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n")
	l.mu.Lock()
	pause := time.Duration(l.rng.Float64() * float64(l.upload) / 10)
	l.mu.Unlock()
	for range parts {
		if err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(c, strings.Repeat("x", 100))
		}
	}
	if err != nil {
		return nil, err
	}
	r.whole = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, r)
	return r, nil
}

// Callers with kept connections, slow uploads and several requests on a connection send to an entry
// until its process ends. Guards against a request that a target runs and whose caller gets no answer
// of it, against one that is read and gets no answer at all, and against a refusal of one that a target
// would have finished.
func TestStopUnderLoad(t *testing.T) {
	tests := []struct {
		name    string
		grace   time.Duration
		work    []time.Duration // of the targets
		methods []string
		depth   int
		upload  time.Duration
	}{
		{"short work", 3 * time.Second, []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}, []string{"POST"}, 1, 0},
		{"slow uploads", 3 * time.Second, []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond}, []string{"POST"}, 1, 2 * time.Second},
		{"pipelines", 3 * time.Second, []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}, []string{"GET", "GET", "GET", "POST"}, 6, 0},
		{"long work", 6 * time.Second, []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}, []string{"POST"}, 1, time.Second},
		{"grace of 2 s", 2 * time.Second, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}, []string{"POST", "GET"}, 1, 500 * time.Millisecond},
		{"grace of 1 s", time.Second, []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}, []string{"POST", "GET"}, 1, 200 * time.Millisecond},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 3, grace: tt.grace})
			w.configureLoad()
			for i, k := range w.workers {
				k.Slots = 32
				k.SetServiceTime(tt.work[i])
				w.writeTarget(k, "gowns", "ready")
			}
			l := &stopLoad{w: w, e: w.startEntry("a").waitReady(), key: "k1", methods: tt.methods, depth: tt.depth, upload: tt.upload, rng: rand.New(rand.NewPCG(uint64(i), 1))}
			var callers sync.WaitGroup
			for n := range 24 {
				callers.Go(func() { l.run(n) })
			}
			time.Sleep(max(4*tt.work[2], time.Second))
			began := time.Now()
			l.e.stop()
			w.c.Assert(<-l.e.done, qt.IsNil)
			callers.Wait()
			l.check(began, tt.grace, slices.Max(tt.work))
		})
	}
}

// Bounds of the users on what a stop may cut off.
const (
	lossSlack = 200 * time.Millisecond // from the last byte of a request that wasn't passed on to the close
	lastSent  = 3 * time.Second        // after SIGTERM, of requests that may be cut off at a target that works
	// clockSlack is the time that a busy machine may take for a request beside the work of its target.
	clockSlack = 150 * time.Millisecond
)

// check checks all requests that ended after the start of the stop.
func (l *stopLoad) check(began time.Time, grace, work time.Duration) {
	runs := make(map[string]int)
	for _, k := range l.w.workers {
		for _, r := range k.Runs() {
			runs[r.Request]++
		}
	}
	counts := make(map[int]int)
	total, cut := 0, 0
	for _, r := range l.sent {
		if r.ended.Before(began) {
			continue
		}
		total++
		counts[r.status]++
		at := qt.Commentf("%s: status %d, %d runs, sent at %v, whole at %v, ended at %v", r.id, r.status, runs[r.id], r.began.Sub(began), r.whole.Sub(began), r.ended.Sub(began))
		late := r.began.Sub(began) <= min(lastSent, grace/2) && r.ended.Sub(began) >= grace*5/6
		switch {
		case r.status == http.StatusServiceUnavailable:
			l.w.c.Check(runs[r.id], qt.Equals, 0, at)
			l.w.c.Check(r.whole.Add(2*work).After(began.Add(grace*5/6-clockSlack)), qt.IsTrue, at)
		case r.status != http.StatusOK && runs[r.id] > 0:
			cut++
			l.w.c.Check(late, qt.IsTrue, at)
		case r.status == 0 && l.depth == 1: // of others, the entry may not have read it: it crosses the close
			l.w.c.Check(r.ended.Sub(r.whole) <= lossSlack, qt.IsTrue, at)
		}
	}
	l.w.c.Logf("%d requests ended in the stop, by status %v, %d cut off in the last sixth", total, counts, cut)
}

// configureLoad writes a configuration with accounts and long timeouts.
func (w *world) configureLoad() {
	w.version++
	safe := objects.Route{Name: "r-a", Host: "veil.example", Prefix: "/a/", Kind: "idempotent", Timeout: "8s", TargetLatency: "4s", Attempts: 3, Service: "gowns"}
	once := safe
	once.Name, once.Prefix, once.Kind = "r-o", "/o/", "non_idempotent"
	w.store.PutAccountConfig(w.version, []objects.Route{safe, once}, []string{"gowns", "veils"}, []objects.Account{{Name: "bride", Keys: []string{"k1"}}})
}

// Callers send to an entry that is asked to stop while it starts. Guards against a request that is
// read and gets no answer, and against a stop that takes longer than its grace period.
func TestStopDuringStart(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			const grace = 2 * time.Second
			w := newWorld(t, worldConfig{targets: 2, grace: grace})
			w.configureLoad()
			for _, k := range w.workers {
				k.Slots = 16
				k.SetServiceTime(30 * time.Millisecond)
				w.writeTarget(k, "gowns", "ready")
			}
			l := &stopLoad{w: w, e: w.startEntry("a"), key: "k1", methods: []string{"POST", "GET"}, depth: 1, rng: rand.New(rand.NewPCG(1, 1))}
			var callers sync.WaitGroup
			for n := range 8 {
				callers.Go(func() { l.run(n) })
			}
			time.Sleep(delay)
			began := time.Now()
			l.e.stop()
			w.c.Assert(<-l.e.done, qt.IsNil)
			w.c.Check(time.Since(began) < grace, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			callers.Wait()
			served := 0
			for _, r := range l.sent {
				if r.status == http.StatusOK {
					served++
				}
				w.c.Check(r.status == http.StatusOK || w.runs(r.id) == 0, qt.IsTrue, qt.Commentf("%s: status %d", r.id, r.status))
				w.c.Check(r.status != 0 || r.ended.Sub(r.whole) <= lossSlack, qt.IsTrue, qt.Commentf("%s: %v", r.id, r.ended.Sub(r.whole)))
			}
			w.c.Check(served > 0, qt.IsTrue, qt.Commentf("of %d", len(l.sent)))
		})
	}
}
