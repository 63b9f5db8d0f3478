package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/tree"
)

// waitLimit is how long a test waits for a condition.
const waitLimit = 20 * time.Second

// baseSettings are in force in every test. They keep the stop of an entry short.
const baseSettings = `"timeout": "5s", "locatettl": "100ms", "drainhold": "100ms"`

// testEntry is an entry with a fake of the platform and targets of the test.
type testEntry struct {
	*Entry
	t        *testing.T
	c        *qt.C
	platform *platform.Platform
	url      string // of the callers' listener
}

// testService is a service of a test.
type testService struct {
	name     string
	settings string   // in addition to baseSettings
	targets  []string // addresses
}

// start runs an entry and waits until it has the targets of every service.
func start(t *testing.T, services ...testService) *testEntry {
	t.Helper()
	return startWith(t, "", "", services...)
}

// startWith is start with further settings of the root and further nodes.
func startWith(t *testing.T, rootSettings, nodes string, services ...testService) *testEntry {
	t.Helper()
	w := prepareWith(t, rootSettings, nodes, services...)
	w.serve()
	return w
}

// prepare builds an entry without running it, so that a test can modify it first.
func prepare(t *testing.T, services ...testService) *testEntry {
	t.Helper()
	return prepareWith(t, "", "", services...)
}

func prepareWith(t *testing.T, rootSettings, nodes string, services ...testService) *testEntry {
	t.Helper()
	t.Parallel()
	w := &testEntry{t: t, c: qt.New(t), platform: platform.New(platform.Config{})}
	p := httptest.NewServer(w.platform)
	t.Cleanup(p.Close)
	text := `{"/": {"kind": "root", "set": {` + baseSettings + rootSettings + `}}` + nodes
	for _, s := range services {
		text += `, "/` + s.name + `": {"kind": "service", "set": {` + s.settings + `}}`
		w.addTargets(s)
	}
	w.writeSettings(p.URL, text+"}")
	var err error
	w.Entry, err = New(Config{
		File: File{
			Name: "entry-1", Region: "perth-metro", Place: "fremantle-hall",
			Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0",
			Platform: p.URL, Trace: traceOff, Level: "warn",
		},
		Boot:        uint64(time.Now().UnixNano()),
		Log:         &log.Logger{Handler: discard.New()},
		TraceOutput: io.Discard,
	})
	w.c.Assert(err, qt.IsNil)
	w.url = "http://" + w.Addresses().Callers
	return w
}

// subtest returns the entry for use in a subtest.
func (w *testEntry) subtest(t *testing.T) *testEntry {
	sub := *w
	sub.t, sub.c = t, qt.New(t)
	return &sub
}

func (w *testEntry) addTargets(s testService) {
	for _, addr := range s.targets {
		w.platform.PutVM(platform.VM{
			ID: s.name + " at " + addr, Addr: addr, Place: "fremantle-hall", Service: s.name,
			Slots: 2, Boot: 1, State: platform.Live,
		})
	}
}

func (w *testEntry) writeSettings(addr, text string) {
	w.t.Helper()
	d, err := tree.Parse("settings", []byte(text))
	w.c.Assert(err, qt.IsNil)
	d, err = tree.Seed(d, time.Now())
	w.c.Assert(err, qt.IsNil)
	_, err = store.New(store.Config{Addr: addr}).Put(context.Background(), settings.Kind, settings.Name, 0, tree.Encode(d))
	w.c.Assert(err, qt.IsNil)
}

// serve runs the entry until stop is called, or to the end of the test.
func (w *testEntry) serve() (stop func()) {
	w.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = w.Serve(ctx)
		close(done)
	}()
	w.t.Cleanup(func() {
		cancel()
		<-done
	})
	w.waitFor("the entry to be ready", func() bool { return w.Ready() && w.targetsKnown() })
	return cancel
}

// targetsKnown reports whether every service has targets.
func (w *testEntry) targetsKnown() bool {
	for _, sv := range w.snapshot.Load().services {
		sv.mu.Lock()
		n := len(sv.targetList)
		sv.mu.Unlock()
		if n == 0 {
			return false
		}
	}
	return true
}

func (w *testEntry) waitFor(what string, ok func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// inFlight returns the number of requests of a service that hold a slot or wait
// for one.
func (w *testEntry) inFlight(name string) int {
	sv := w.snapshot.Load().services[name]
	sv.mu.Lock()
	defer sv.mu.Unlock()
	queued, inFlight := sv.balancer.RequestCounts()
	return queued + inFlight
}

// waitIdle waits until no request of a service holds a slot or waits for one.
func (w *testEntry) waitIdle(name string) {
	w.t.Helper()
	w.waitFor("the slots of "+name+" to be free", func() bool { return w.inFlight(name) == 0 })
}

// testResponse is a response with its body.
type testResponse struct {
	*http.Response
	body string
}

// outcome returns the values of the outcome and reason headers.
func (s testResponse) outcome() string {
	return strings.TrimSpace(s.Header.Get(call.HeaderOutcome) + " " + s.Header.Get(call.HeaderReason))
}

// request sends a request and reads the response to its end. header holds names
// and values in turn.
func (w *testEntry) request(method, path string, body io.Reader, header ...string) testResponse {
	w.t.Helper()
	r, err := http.NewRequest(method, w.url+path, body)
	w.c.Assert(err, qt.IsNil)
	for n := 0; n < len(header); n += 2 {
		r.Header.Add(header[n], header[n+1])
	}
	res, err := client.Do(r)
	w.c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	w.c.Assert(err, qt.IsNil)
	return testResponse{res, string(b)}
}

// client follows no redirects, so that a test sees the entry's own response.
var client = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 8},
	Timeout:       waitLimit,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// startTarget runs a target with a handler and returns its address.
func startTarget(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// startRawTarget runs a target that serves each connection with f, for responses
// that net/http refuses to write. It returns the target's address.
func startRawTarget(t *testing.T, f func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go f(conn)
		}
	}()
	return l.Addr().String()
}
