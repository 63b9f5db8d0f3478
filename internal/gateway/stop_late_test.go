package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

// lateCase is a request that comes to an entry that stops.
type lateCase struct {
	name  string
	grace time.Duration
	work  time.Duration // of the target
	// send writes the request with the ID "late"; began is the start of the stop.
	send func(c *rawCaller, began time.Time)
	want int
}

const lateHead = "POST /a/late HTTP/1.1\r\nHost: veil.example\r\nAuthorization: Bearer k1\r\nPlumpitch-Request-Id: late\r\nPlumpitch-Request-Deadline: 9000\r\n"

// sendLate writes a small request some time after the start of the stop.
func sendLate(after time.Duration) func(*rawCaller, time.Time) {
	return func(c *rawCaller, began time.Time) {
		time.Sleep(time.Until(began.Add(after)))
		c.write(lateHead + "Content-Length: 0\r\n\r\n")
	}
}

// uploadLate writes a request at the start of the stop whose body is complete some time later.
func uploadLate(after time.Duration) func(*rawCaller, time.Time) {
	return func(c *rawCaller, began time.Time) {
		const parts = 10
		c.write(lateHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", parts*100))
		for i := range parts {
			time.Sleep(time.Until(began.Add(after * time.Duration(i+1) / parts)))
			if _, err := io.WriteString(c, strings.Repeat("x", 100)); err != nil {
				return // the entry has ended
			}
		}
	}
}

// A request of a kept connection, which may run only once, comes late in the grace period of a stop.
// Guards against one that is passed on to a target and then cut off, and against one that is refused
// although its target would have been in time.
func TestLateRequestInStop(t *testing.T) {
	tests := []lateCase{
		{"before the port closes", 3 * time.Second, 600 * time.Millisecond, sendLate(1200 * time.Millisecond), 200},
		{"after the port closes", 3 * time.Second, 500 * time.Millisecond, sendLate(1550 * time.Millisecond), 200},
		{"after the port closes, long work", 3 * time.Second, 1200 * time.Millisecond, sendLate(1550 * time.Millisecond), 503},
		{"upload", 3 * time.Second, 200 * time.Millisecond, uploadLate(1900 * time.Millisecond), 200},
		{"upload, long work", 3 * time.Second, 900 * time.Millisecond, uploadLate(1900 * time.Millisecond), 503},
		{"upload that is complete at the end", 3 * time.Second, 200 * time.Millisecond, uploadLate(2500 * time.Millisecond), 503},
		{"upload that isn't complete at the end", 3 * time.Second, 10 * time.Millisecond, uploadLate(4 * time.Second), 503},
		{"upload in a grace of 6 s, long work", 6 * time.Second, 1200 * time.Millisecond, uploadLate(4600 * time.Millisecond), 503},
		{"grace of 2 s", 2 * time.Second, 1200 * time.Millisecond, sendLate(300 * time.Millisecond), 200},
		{"grace of 1 s", time.Second, 300 * time.Millisecond, sendLate(450 * time.Millisecond), 200},
		{"grace of 1 s, long work", time.Second, 600 * time.Millisecond, sendLate(500 * time.Millisecond), 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent", timeout: "8s", grace: tt.grace})
			w.workers[0].Slots = 4
			w.writeTarget(w.workers[0], "gowns", "ready")
			w.workers[0].SetServiceTime(tt.work)
			e := w.startEntry("a").waitReady()
			c := dialCaller(w, e)
			for i := range 4 {
				c.writeRequest(http.MethodPost, "/a/x", fmt.Sprint("earlier-", i), "")
				w.c.Assert(c.read().StatusCode, qt.Equals, http.StatusOK)
			}
			began := time.Now()
			e.stop()
			go tt.send(c, began)
			r, err := http.ReadResponse(c.reader, nil)
			w.c.Assert(err, qt.IsNil, qt.Commentf("after %v, %d runs", time.Since(began), w.runs("late")))
			w.c.Check(r.StatusCode, qt.Equals, tt.want, qt.Commentf("%v after %v, %d runs", r.Header, time.Since(began), w.runs("late")))
			w.c.Check(r.StatusCode == http.StatusOK, qt.Equals, w.runs("late") == 1)
			w.c.Check(r.Close, qt.IsTrue)
			if tt.want == http.StatusServiceUnavailable {
				w.c.Check(r.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				w.c.Check(w.runs("late"), qt.Equals, 0)
			}
			w.c.Assert(<-e.done, qt.IsNil)
			w.c.Check(time.Since(began) < tt.grace, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		})
	}
}

// A target fails late in the grace period of a stop. Guards against a retry that is cut off while the
// other target runs it.
func TestRetryInStop(t *testing.T) {
	tests := []struct {
		name string
		work time.Duration
		want int
		runs int
	}{
		{"in time", 300 * time.Millisecond, 200, 2},
		{"too late", 600 * time.Millisecond, 502, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2, timeout: "8s"})
			w.retryShare = 1
			for _, k := range w.workers {
				k.SetServiceTime(tt.work)
			}
			e := w.startEntry("a").waitReady()
			c := dialCaller(w, e)
			for i := range 8 { // fills the retry budget
				c.writeRequest(http.MethodPost, "/a/x", fmt.Sprint("earlier-", i), "")
				w.c.Assert(c.read().StatusCode, qt.Equals, http.StatusOK)
			}
			var failed atomic.Bool
			for _, k := range w.workers {
				k.SetFaults(func(r *http.Request) worker.Fault {
					return worker.Fault{LoseResponse: strings.HasSuffix(r.URL.Path, "late") && !failed.Swap(true)}
				})
			}
			began := time.Now()
			e.stop()
			sendLate(1550*time.Millisecond)(c, began)
			r := c.read()
			w.c.Check(r.StatusCode, qt.Equals, tt.want, qt.Commentf("%v after %v", r.Header, time.Since(began)))
			w.c.Check(w.runs("late"), qt.Equals, tt.runs)
			w.c.Assert(<-e.done, qt.IsNil)
		})
	}
}

// A request asks for a token at the end of the grace period of a stop, and the issuer is silent. Guards
// against one that has been read whole and gets no response.
func TestTokenWaitInStop(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	w.configureAccounts(objects.Account{Name: "busy", Keys: []string{"k1"}, Rate: 100, Burst: 100})
	entries := startQuotaEntries(w, 2)
	issuer, others := issuerOf(w, entries, "busy")
	e := others[0]
	c := dialCaller(w, e)
	for i := range 4 {
		c.writeGet("/a/x", fmt.Sprint("earlier-", i), "k1")
		w.c.Assert(c.read().StatusCode, qt.Equals, http.StatusOK)
	}
	began := time.Now()
	e.stop()
	time.Sleep(time.Until(began.Add(time.Second)))
	c.write(lateHead + "Content-Length: 4\r\n\r\n")
	time.Sleep(time.Until(began.Add(2500 * time.Millisecond)))
	issuer.relay.Close()
	time.Sleep(time.Until(began.Add(2580 * time.Millisecond)))
	c.write("body")
	r, err := http.ReadResponse(c.reader, nil)
	w.c.Assert(err, qt.IsNil, qt.Commentf("after %v", time.Since(began)))
	w.c.Check(r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	w.c.Check(r.Header.Get("Plumpitch-Reason"), qt.Equals, reasonLeaving)
	w.c.Check(w.runs("late"), qt.Equals, 0)
	w.c.Assert(<-e.done, qt.IsNil)
}

// flushRecorder records how many passed on requests are active when a response is sent.
type flushRecorder struct {
	*httptest.ResponseRecorder
	gateway *Gateway
	active  int64
}

func (f *flushRecorder) Flush() {
	f.active = f.gateway.passedOnActive.Load()
	f.ResponseRecorder.Flush()
}

// A stop closes the connections of other entries once no passed on request is active. Guards against a
// response that is dropped because it is only sent after that.
func TestPassedOnResponseIsSentWhileActive(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
		e := w.startEntry("a").waitReady()
		e.leaving.Store(leaving)
		rec := &flushRecorder{httptest.NewRecorder(), e.Gateway, 0}
		r := e.newRequest(t.Context(), "q-pass", http.MethodPost, "/a/book", "")
		r.Header.Set(relay.HeaderPassedOn, "b")
		r.Header.Set(relay.HeaderService, "gowns")
		e.servePassedOn(rec, r)
		w.c.Check(rec.active, qt.Equals, int64(1))
		w.c.Check(e.passedOnActive.Load(), qt.Equals, int64(0))
		w.c.Check(rec.Code == http.StatusServiceUnavailable, qt.Equals, leaving)
	}
}

// startStreamer starts a target whose responses begin at once and last some time.
func startStreamer(w *world, lasts time.Duration) (runs *atomic.Int64) {
	runs = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Plumpitch-Instance-Id", "i-stream")
		if r.URL.Path == "/health" {
			return
		}
		runs.Add(1)
		rw.Header().Set("Plumpitch-Request-Id", r.Header.Get("Plumpitch-Request-Id"))
		rw.Header().Set("Plumpitch-Response-Signature", "signed")
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			_, _ = rw.Write(make([]byte, 64<<10)) // soon more than an entry buffers
			_ = http.NewResponseController(rw).Flush()
		}
	}))
	w.c.Cleanup(s.Close)
	w.store.PutTarget(objects.Target{ID: "i-stream", Address: s.Listener.Addr().String(), Service: "gowns", Place: "hall", Slots: 4})
	return runs
}

// Responses begin at once and last long while their entry stops. Guards against one that is cut off,
// because only the time until its head counts.
func TestStreamInStop(t *testing.T) {
	tests := []struct {
		name  string
		lasts time.Duration
		sent  time.Duration // from the start of the stop
		want  int
	}{
		{"under way", 1500 * time.Millisecond, -300 * time.Millisecond, 200},
		{"late and in time", 600 * time.Millisecond, 1550 * time.Millisecond, 200},
		{"too late", 1200 * time.Millisecond, 1550 * time.Millisecond, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{routeType: "non_idempotent", timeout: "8s"})
			runs := startStreamer(w, tt.lasts)
			e := w.startEntry("a").waitReady()
			c := dialCaller(w, e)
			for i := range 2 {
				c.writeRequest(http.MethodPost, "/a/x", fmt.Sprint("earlier-", i), "")
				w.c.Assert(c.read().StatusCode, qt.Equals, http.StatusOK)
			}
			began := time.Now().Add(max(-tt.sent, 0))
			if tt.sent < 0 {
				sendLate(tt.sent)(c, began)
			}
			time.Sleep(time.Until(began))
			e.stop()
			if tt.sent >= 0 {
				sendLate(tt.sent)(c, began)
			}
			r := c.read() // complete
			w.c.Check(r.StatusCode, qt.Equals, tt.want, qt.Commentf("%v", r.Header))
			w.c.Check(runs.Load() == 3, qt.Equals, tt.want == http.StatusOK)
			w.c.Assert(<-e.done, qt.IsNil)
		})
	}
}
