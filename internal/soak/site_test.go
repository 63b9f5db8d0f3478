package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

const host = "veil.example"

// site is a site of gateway processes on stand-ins.
type site struct {
	profile
	t        *testing.T
	q        *qt.C
	seed     uint64
	program  string
	began    time.Time
	store    *objects.Store
	front    *proxy // of the store
	load     *load
	poisoned atomic.Int64 // requests that crash targets and reached one
	rush     atomic.Int64 // percent of the usual requests
	insist   atomic.Int64 // how often clients send again beyond the usual, at once
	ratio    atomic.Value // of repeats, as settings say: a float64
	ratioAt  time.Time    // since when it holds everywhere

	mu       sync.Mutex // guards what follows
	gateways []*gateway
	targets  []*target
	poisons  int
	version  int
	started  int    // targets, those that have gone among them
	faulty   []span // of faults of the store or of links
	lines    []string
	injected int
}

// span is a time in which something was disturbed.
type span struct{ from, to time.Time }

// target is a worker behind a proxy.
type target struct {
	*worker.Worker
	service service
	place   string
	proxy   *proxy
	poisons *atomic.Int64 // requests that crash targets, at all of them
	crashed bool          // its process has ended
	lapsed  bool          // so has its record
	left    time.Time     // when it began to say in its responses that it leaves
	drained time.Time     // when the store took its leaving or its end
	limits  []limit
}

// limit is one that a target named for a time.
type limit struct {
	rate float64
	span
}

func newSite(t *testing.T, seed uint64, p profile) *site {
	s := &site{profile: p, t: t, q: qt.New(t), seed: seed, program: program(t), began: time.Now(), store: objects.New()}
	s.rush.Store(100)
	s.ratio.Store(p.firstRatio)
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	s.front = newProxy(t, strings.TrimPrefix(server.URL, "http://"))
	for _, sv := range s.services {
		for range sv.targets {
			s.addTarget(sv)
		}
	}
	s.configure()
	for range s.gatewayCount {
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
	if *built != "" {
		return *built
	}
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
func (s *site) addTarget(sv service) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, err := worker.Start(fmt.Sprintf("i-%d", s.started))
	s.q.Assert(err, qt.IsNil)
	s.t.Cleanup(w.Close)
	w.Slots = sv.slots
	w.Work(sv.work)
	if sv.queue > 0 {
		w.Bound(sv.queue)
	}
	k := &target{Worker: w, service: sv, place: s.place(s.started), proxy: newProxy(s.t, w.Address()), poisons: &s.poisoned}
	w.Crashed = func() { s.crash(k) }
	k.Fail(nil)
	s.started++
	s.targets = append(s.targets, k)
	s.record(k)
	if sv.noisy {
		s.disturbPace(k)
	}
	return k
}

const (
	noiseTime  = 150 * time.Millisecond
	noiseShare = 0.25
	noisePace  = 5
)

// disturbPace has a target be slow a quarter of the time.
func (s *site) disturbPace(k *target) {
	rnd := rand.New(rand.NewPCG(s.seed, uint64(1000+s.started)))
	ticker := time.NewTicker(noiseTime)
	done := make(chan struct{})
	s.t.Cleanup(func() {
		ticker.Stop()
		close(done)
	})
	go func() {
		for {
			pace := 1.0
			if rnd.Float64() < noiseShare {
				pace = noisePace
			}
			k.Pace(pace)
			select {
			case <-ticker.C:
			case <-done:
				return
			}
		}
	}()
}

// place deals the places of a site out.
func (s *site) place(n int) string { return s.places[n%len(s.places)] }

// Fail sets the faults of each request, as worker.Worker.Fail does. A request that crashes
// its targets does so whatever else they do.
func (k *target) Fail(f func(*http.Request) worker.Fault) {
	k.Worker.Fail(func(r *http.Request) worker.Fault {
		switch {
		case strings.HasSuffix(r.URL.Path, amongRefusals) && k.poisons.Add(1)%2 == 0:
			return worker.Fault{Shed: true}
		case strings.Contains(r.URL.Path, poison):
			return worker.Fault{Crash: true}
		case f != nil:
			return f(r)
		}
		return worker.Fault{}
	})
}

const (
	// crashTime is after how long another target stands in for one that has crashed,
	// and lapseTime after how long the record of that one goes.
	crashTime = time.Second
	lapseTime = 4500 * time.Millisecond
)

// crash ends the process of a target as a crash does, without a word to the store.
func (s *site) crash(k *target) {
	s.mu.Lock()
	again := k.crashed
	k.crashed = true
	s.mu.Unlock()
	if again {
		return
	}
	s.logf("%s crashes", k.ID)
	k.Close()
	k.proxy.close()
	s.later(crashTime, func() { s.addTarget(k.service) })
	s.later(lapseTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		k.lapsed = true
		s.store.Delete("servers", k.ID)
	})
}

// onRecord are the targets of a service that the store knows.
func (s *site) onRecord(name string) []*target {
	return s.those(func(k *target) bool { return k.service.name == name && !k.lapsed })
}

// those are the targets that a condition holds of. The lock is held for it.
func (s *site) those(ok func(k *target) bool) (list []*target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.targets {
		if ok(k) {
			list = append(list, k)
		}
	}
	return list
}

// later does something after a time, unless the play has ended.
func (s *site) later(d time.Duration, f func()) {
	timer := time.AfterFunc(d, f)
	s.t.Cleanup(func() { timer.Stop() })
}

// record writes what the store is to hold of a target. The lock is held.
func (s *site) record(k *target) {
	if k.crashed {
		return
	}
	s.store.PutTarget(objects.Target{
		ID: k.ID, Address: k.proxy.address(), Service: k.service.name, Place: k.place, Slots: k.service.slots, Leaving: !k.drained.IsZero(),
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
	var routes []objects.Route
	var names []string
	for _, k := range s.kinds {
		routes = append(routes, objects.Route{
			Name: k.name, Host: host, Prefix: k.prefix, Once: k.once, Timeout: k.timeout.String(), Goal: k.goal.String(),
			Attempts: k.attempts, Service: k.service,
		})
	}
	for _, sv := range s.services {
		names = append(names, sv.name)
	}
	s.store.PutConfig(s.version, routes, names)
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
