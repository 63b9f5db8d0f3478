package soak

import (
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

const (
	host      = "veil.example"
	service   = "gowns"
	pathOnce  = "/once/"  // may run once only
	pathTwice = "/twice/" // may run again
	slots     = 4
	workTime  = 15 * time.Millisecond
)

// site is a site of gateway processes on stand-ins.
type site struct {
	t       *testing.T
	q       *qt.C
	seed    uint64
	program string
	began   time.Time
	store   *objects.Store
	front   *proxy // of the store

	mu       sync.Mutex // guards what follows
	gateways []*gateway
	targets  []*target
	version  int
	faulty   []span // of faults of the store or of links
	lines    []string
	injected int
}

// span is a time in which something was disturbed.
type span struct{ from, to time.Time }

// target is a worker behind a proxy.
type target struct {
	*worker.Worker
	proxy   *proxy
	left    time.Time // when it began to say in its responses that it leaves
	drained time.Time // when the store took its leaving or its end
	limits  []limit
}

// limit is one that a target named for a time.
type limit struct {
	rate float64
	span
}

func newSite(t *testing.T, seed uint64) *site {
	s := &site{t: t, q: qt.New(t), seed: seed, program: program(t), began: time.Now(), store: objects.New()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	s.front = newProxy(t, strings.TrimPrefix(server.URL, "http://"))
	for range *targets {
		s.addTarget()
	}
	s.configure()
	for range *gateways {
		s.addGateway()
	}
	for _, g := range s.gateways {
		s.until(g.name+" ready", g.ready)
	}
	return s
}

var build struct {
	once sync.Once
	path string
	err  error
}

// program builds the program once.
func program(t *testing.T) string {
	build.once.Do(func() {
		var dir string
		if dir, build.err = os.MkdirTemp("", "soak"); build.err != nil {
			return
		}
		build.path = filepath.Join(dir, "plumpitch")
		out, err := exec.Command("go", "build", "-o", build.path, "plumpitch.example/plumpitch").CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("go build: %w: %s", err, out)
		}
	})
	qt.Assert(t, build.err, qt.IsNil)
	return build.path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if build.path != "" {
		os.RemoveAll(filepath.Dir(build.path))
	}
	os.Exit(code)
}

// addTarget starts a target and puts it on record.
func (s *site) addTarget() *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, err := worker.Start(fmt.Sprintf("i-%d", len(s.targets)))
	s.q.Assert(err, qt.IsNil)
	s.t.Cleanup(w.Close)
	w.Slots = slots
	w.Work(workTime)
	k := &target{Worker: w, proxy: newProxy(s.t, w.Address())}
	s.targets = append(s.targets, k)
	s.record(k)
	return k
}

// record writes what the store is to hold of a target. The lock is held.
func (s *site) record(k *target) {
	s.store.PutTarget(objects.Target{
		ID: k.ID, Address: k.proxy.address(), Service: service, Place: "hall", Slots: slots, Leaving: !k.drained.IsZero(),
	})
}

// configure writes a newer configuration.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.putConfig()
}

func (s *site) putConfig() {
	s.store.PutConfig(s.version, []objects.Route{
		{Name: "r-once", Host: host, Prefix: pathOnce, Once: true, Timeout: "2s", Goal: "500ms", Attempts: 2, Service: service},
		{Name: "r-twice", Host: host, Prefix: pathTwice, Timeout: "2s", Goal: "500ms", Attempts: 3, Service: service},
	}, []string{service})
}

// rewrite writes again what the operator and the targets had written, as after a restore.
func (s *site) rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putConfig()
	for _, k := range s.targets {
		s.record(k)
	}
}

// disturbed notes a fault of the store or of links.
func (s *site) disturbed(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = append(s.faulty, span{from, to})
}

// overlaps reports whether one of the spans has a part in another one.
func overlaps(list []span, with span) bool {
	for _, f := range list {
		if f.from.Before(with.to) && with.from.Before(f.to) {
			return true
		}
	}
	return false
}

// logf notes a line of the timeline.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// at is a time of the timeline.
func (s *site) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(s.began).Seconds()) }

// until waits for a condition.
func (s *site) until(what string, ok func() bool) {
	s.t.Helper()
	const bound = 20 * time.Second
	for end := time.Now().Add(bound); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.report()
			s.t.Fatalf("seed %d: not within %v: %s", s.seed, bound, what)
		}
	}
}

// report writes the timeline and keeps the gateways' logs.
func (s *site) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", s.seed))
	if err != nil {
		s.t.Log(err)
		return
	}
	for _, g := range s.gateways {
		text, err := os.ReadFile(g.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, g.name+".log"), text, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("seed %d, logs of gateways: %s\n%s", s.seed, dir, strings.Join(s.lines, "\n"))
}
