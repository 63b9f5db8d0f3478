package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/link"
	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
	"plumpitch.example/plumpitch/platform"
)

// waitLimit is the longest time that a test waits for a condition.
const waitLimit = 10 * time.Second

// world is a test environment on loopback: a store, targets and entries.
type world struct {
	c           *qt.C
	store       *objects.Store
	server      *httptest.Server
	workers     []*worker.Worker
	version     int
	lastRequest int
	targetStart int64 // start time in target records, Unix ms
	// evacuate is the bound on evacuations in the entries' settings; 0 for none.
	evacuate time.Duration
	// retryShare is the ratio of retries and hedges in the entries' settings; 0 keeps the
	// default.
	retryShare float64
	grace      time.Duration // as in worldConfig
	// overloadControl is the bound on overload control in the entries' settings.
	overloadControl bool
	// links has the connections of entries to targets that tests may cut, by entry.
	links map[string]*link.Links
}

// worldConfig describes a world's targets and the route of its first configuration.
type worldConfig struct {
	targets   int
	routeType string        // type of the route; idempotent if empty
	timeout   string        // default 2s
	attempts  int           // default 3
	grace     time.Duration // of the entries; 0 keeps that of settingsText
}

func newWorld(t *testing.T, s worldConfig) *world {
	w := &world{c: qt.New(t), store: objects.New(), grace: s.grace}
	w.server = httptest.NewServer(w.store)
	t.Cleanup(w.server.CloseClientConnections)
	for range s.targets {
		w.startTarget("gowns")
	}
	w.configure(s)
	return w
}

// configure writes a newer configuration, with one route to the service gowns.
func (w *world) configure(s worldConfig) {
	if s.timeout == "" {
		s.timeout = "2s"
	}
	if s.attempts == 0 {
		s.attempts = 3
	}
	w.version++
	w.store.PutConfig(w.version, []objects.Route{{
		Name: "r-a", Host: "veil.example", Prefix: "/a/", Kind: s.routeType, Timeout: s.timeout,
		TargetLatency: "1s", Attempts: s.attempts, Service: "gowns",
	}}, []string{"gowns", "veils"})
}

// startTarget starts a target and writes its record.
func (w *world) startTarget(service string) *worker.Worker {
	k, err := worker.Start(fmt.Sprintf("i-%d", len(w.workers)))
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(k.Close)
	w.workers = append(w.workers, k)
	w.writeTarget(k, service, "ready")
	return k
}

// writeTarget writes a target's record.
func (w *world) writeTarget(k *worker.Worker, service, state string) {
	w.store.PutTarget(objects.Target{
		ID: k.ID, Address: k.Address(), Service: service, Place: "hall", Slots: k.Slots, Leaving: state == "draining", StartedMillis: w.targetStart,
	})
}

// entry is one running gateway.
type entry struct {
	*Gateway
	w    *world
	stop context.CancelFunc
	done chan error
}

func (w *world) startEntry(name string, seeds ...*entry) *entry {
	return w.startEntryAt(name, uint64(time.Now().UnixNano()), seeds...)
}

// startEntryAt starts an entry with this boot number.
func (w *world) startEntryAt(name string, boot uint64, seeds ...*entry) *entry {
	g := w.newGateway(name, boot, seeds...)
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{Gateway: g, w: w, stop: cancel, done: make(chan error, 1)}
	go func() { e.done <- g.Serve(ctx) }()
	w.c.Cleanup(cancel)
	return e
}

// newGateway returns an entry whose loops don't run yet.
func (w *world) newGateway(name string, boot uint64, seeds ...*entry) *Gateway {
	bounds, err := platform.ParseSettings([]byte(settingsText))
	w.c.Assert(err, qt.IsNil)
	s := platform.Settings{
		Name: name, Place: "hall", Region: "metro", IP: "127.0.0.1", Cores: 1,
		CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", DirectoryAddress: "127.0.0.1:0",
		StoreAddress: strings.TrimPrefix(w.server.URL, "http://"), Bounds: bounds.Bounds,
	}
	s.Bounds.Evacuate, s.Bounds.OverloadControl = w.evacuate, w.overloadControl
	s.Bounds.RetryShare = cmp.Or(w.retryShare, s.Bounds.RetryShare)
	s.Bounds.Grace = cmp.Or(w.grace, s.Bounds.Grace)
	for _, e := range seeds {
		s.Seeds = append(s.Seeds, e.self.PeerAddress)
	}
	cfg := Config{Settings: s, Boot: boot, Log: &log.Logger{Handler: discard.New()}}
	if links := w.links[name]; links != nil {
		cfg.DialTarget = links.Dial
	}
	g, err := New(cfg)
	w.c.Assert(err, qt.IsNil)
	return g
}

const settingsText = `
nodeName: n
zone: hall
region: metro
ip: 127.0.0.1
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3"}
internalPorts: [1, 2]
platform: {address: "127.0.0.1:4"}
bounds: ["grace=3s", "warmupFactor=1.5", "warmupSlack=8"]
`

// waitReady waits until the entry has the latest configuration and a target.
func (e *entry) waitReady() *entry {
	e.w.waitFor("configuration and targets at the entry", func() bool {
		v := e.view.Load()
		return v.table != nil && int(v.table.Config.Version) == e.w.version && e.hasTargets("gowns")
	})
	return e
}

func (e *entry) hasTargets(service string) bool {
	return e.targetCount(service) > 0
}

// targetCount returns the number of a service's targets that the entry knows.
func (e *entry) targetCount(service string) int {
	sv := e.view.Load().services[service]
	if sv == nil {
		return 0
	}
	return sv.targetCount()
}

func (e *entry) hasTarget(id string) bool {
	sv := e.view.Load().services["gowns"]
	if sv == nil {
		return false
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.balancer.HasTarget(id)
}

func (w *world) waitFor(what string, ok func() bool) {
	w.c.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.c.Fatalf("not within %v: %s", waitLimit, what)
}

// callResult is the result of a caller's request.
type callResult struct {
	status int
	header http.Header
	body   string
	id     string
	err    error
	took   time.Duration
}

// call sends one request as a caller, without retries.
func (e *entry) call(method, path, body string) callResult {
	e.w.lastRequest++
	return e.callWith(context.Background(), fmt.Sprintf("q-%d", e.w.lastRequest), method, path, body)
}

func (e *entry) callWith(ctx context.Context, id, method, path, body string) callResult {
	return send(http.DefaultClient, id, e.newRequest(ctx, id, method, path, body))
}

func (e *entry) newRequest(ctx context.Context, id, method, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.self.CallerAddress+path, strings.NewReader(body))
	e.w.c.Assert(err, qt.IsNil)
	r.Host = "veil.example"
	r.Header.Set("Plumpitch-Request-Id", id)
	r.Header.Set("Plumpitch-Request-Deadline", "5000")
	return r
}

// send sends one request, without retries.
func send(client *http.Client, id string, r *http.Request) (out callResult) {
	began := time.Now()
	defer func() { out.took = time.Since(began) }()
	out.id = id
	res, err := client.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	out.status, out.header, out.body, out.err = res.StatusCode, res.Header, string(b), err
	return out
}

// runs returns how often a request ran, at all targets.
func (w *world) runs(id string) (n int) {
	for _, k := range w.workers {
		for _, r := range k.Runs() {
			if r.Request == id {
				n++
			}
		}
	}
	return n
}

// arrivals returns the number of requests that reached any target.
func (w *world) arrivals() (n int) {
	for _, k := range w.workers {
		n += len(k.Runs()) + len(k.Refusals())
	}
	return n
}

// maxRunsWithin returns the greatest number of runs within any span of this length after from.
func maxRunsWithin(runs []worker.Run, from time.Time, span time.Duration) (most int) {
	var at []time.Time
	for _, r := range runs {
		if r.StartedAt.Before(from) {
			continue
		}
		at = append(at, r.StartedAt)
		for r.StartedAt.Sub(at[0]) > span {
			at = at[1:]
		}
		most = max(most, len(at))
	}
	return most
}

// runsSince returns the number of runs that began after a time.
func runsSince(runs []worker.Run, from time.Time) (n int) {
	for _, r := range runs {
		if r.StartedAt.After(from) {
			n++
		}
	}
	return n
}

// countUnavailable returns the number of 503 responses, whose requests have not run.
func countUnavailable(replies []callResult) (n int) {
	for _, a := range replies {
		if a.status == http.StatusServiceUnavailable {
			n++
		}
	}
	return n
}
