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

// bound is the longest that a test waits for a condition.
const bound = 20 * time.Second

// base are the settings of every test: a short wait at the stop.
const base = `"timeout": "5s", "locatettl": "100ms", "drainhold": "100ms"`

// world is one entry between a platform's stand-in and targets of the test.
type world struct {
	*Entry
	t        *testing.T
	c        *qt.C
	platform *platform.Platform
	url      string // of the callers' listener
}

// served is a service of the test: its settings beside base, and its targets'
// addresses.
type served struct {
	name    string
	set     string
	targets []string
}

// start brings an entry up and waits until it knows every target.
func start(t *testing.T, services ...served) *world {
	t.Helper()
	w := prepare(t, services...)
	w.serve()
	return w
}

// prepare builds the entry, so that a test may change it before it serves.
func prepare(t *testing.T, services ...served) *world {
	t.Helper()
	t.Parallel()
	w := &world{t: t, c: qt.New(t), platform: platform.New(platform.Config{})}
	p := httptest.NewServer(w.platform)
	t.Cleanup(p.Close)
	text := `{"/": {"kind": "root", "set": {` + base + `}}`
	for _, s := range services {
		text += `, "/` + s.name + `": {"kind": "service", "set": {` + s.set + `}}`
		w.list(s)
	}
	w.apply(p.URL, text+"}")
	var err error
	w.Entry, err = New(Config{
		File: File{
			Name: "entry-1", Region: "perth-metro", Place: "fremantle-hall",
			Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0",
			Platform: p.URL, Trace: traceOff, Level: "warn",
		},
		Boot: uint64(time.Now().UnixNano()),
		Log:  &log.Logger{Handler: discard.New()},
		Out:  io.Discard,
	})
	w.c.Assert(err, qt.IsNil)
	w.url = "http://" + w.Addresses().Callers
	return w
}

// in is the world for a subtest.
func (w *world) in(t *testing.T) *world {
	sub := *w
	sub.t, sub.c = t, qt.New(t)
	return &sub
}

func (w *world) list(s served) {
	for _, addr := range s.targets {
		w.platform.PutVM(platform.VM{
			ID: s.name + " at " + addr, Addr: addr, Place: "fremantle-hall", Service: s.name,
			Slots: 2, Boot: 1, State: platform.Live,
		})
	}
}

func (w *world) apply(addr, text string) {
	w.t.Helper()
	d, err := tree.Parse("settings", []byte(text))
	w.c.Assert(err, qt.IsNil)
	d, err = tree.Seed(d, time.Now())
	w.c.Assert(err, qt.IsNil)
	_, err = store.New(store.Config{Addr: addr}).Put(context.Background(), settings.Kind, settings.Name, 0, tree.Encode(d))
	w.c.Assert(err, qt.IsNil)
}

func (w *world) serve() {
	w.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = w.Serve(ctx)
		close(done)
	}()
	w.t.Cleanup(func() {
		stop()
		<-done
	})
	w.until("the entry to be ready", func() bool { return w.Ready() && w.listed() })
}

// listed tells whether the VM list has reached the services.
func (w *world) listed() bool {
	for _, sv := range w.site.Load().services {
		sv.mu.Lock()
		n := len(sv.list)
		sv.mu.Unlock()
		if n == 0 {
			return false
		}
	}
	return true
}

func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("waited in vain for %s", what)
		}
	}
}

// inFlight counts the requests of a service that hold a slot or wait for one.
func (w *world) inFlight(name string) int {
	sv := w.site.Load().services[name]
	sv.mu.Lock()
	defer sv.mu.Unlock()
	queued, inFlight := sv.chooser.Len()
	return queued + inFlight
}

// idle waits until no request of a service holds a slot.
func (w *world) idle(name string) {
	w.t.Helper()
	w.until("the slots of "+name+" to be free", func() bool { return w.inFlight(name) == 0 })
}

// said is an answer, read to its end.
type said struct {
	*http.Response
	body string
}

// outcome is what plumpitch says of the execution, with its reason.
func (s said) outcome() string {
	return strings.TrimSpace(s.Header.Get(call.HeaderOutcome) + " " + s.Header.Get(call.HeaderReason))
}

// ask sends a request and reads the answer to its end.
func (w *world) ask(method, path string, body io.Reader, header ...string) said {
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
	return said{res, string(b)}
}

// client follows no redirect: what the entry answers is what is looked at.
var client = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 8},
	Timeout:       bound,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// target serves a handler and gives its address.
func target(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// raw serves each connection by f, for answers that net/http wouldn't write.
func raw(t *testing.T, f func(net.Conn)) string {
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
