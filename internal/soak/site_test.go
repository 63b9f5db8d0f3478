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

// site is a test installation: gateway processes, with fakes for the store and the targets.
type site struct {
	profile
	t                  *testing.T
	q                  *qt.C
	seed               uint64
	program            string // empty if gateways run this test binary
	startedAt          time.Time
	store              *objects.Store
	storeProxy         *proxy // in front of the store
	load               *loadGenerator
	refusedSuffixCount atomic.Int64 // requests with refusedSuffix that reached a target
	loadPercent        atomic.Int64 // request rate, in percent of the normal rate
	extraRetries       atomic.Int64 // retries that clients send at once, beyond those of the request's kind
	soundUntil         atomic.Int64 // until then requests with poison crash no target, in Unix ns
	retryRatio         atomic.Value // retry budget ratio in the settings files: a float64
	retryRatioSince    time.Time    // when all gateways have to apply retryRatio; zero: from the start

	mu             sync.Mutex // guards the fields below
	gateways       []*gateway
	targets        []*target
	crashTimes     []time.Time
	poisonPaths    int // poison paths used so far
	targetCuts     []targetCut
	configVersion  int
	startedTargets int        // targets started so far, including those that are gone
	disturbances   []interval // disturbances of the store or of links
	timeline       []string
	faultCount     int // faults injected so far
	accounts       []*clientAccount
	versions       []accountVersion // each table of accounts that was in force, by time
	storeLosses    []interval       // the store was disturbed for all gateways
	partialLosses  []interval       // the store was disturbed for some gateways
	cuts           []interval       // groups of gateways could not reach each other
	calm           []interval       // nothing was disturbed
	starts         []startBesideOddRecord
}

// interval is a period of time.
type interval struct{ from, to time.Time }

// target is a worker behind a proxy.
type target struct {
	*worker.Worker
	service           service
	place             string
	aliases           []string // names of further records with its address
	proxy             *proxy
	site              *site
	startedMillis     int64     // start of its process, in Unix ms
	crashed           bool      // its process has exited
	recordDeleted     bool      // its record in the store was deleted
	leavingSince      time.Time // since when its responses announce that it leaves
	leavingRecordedAt time.Time // when the store recorded that it leaves
	limits            []limit
}

// limit is a limit that a target reported for some time.
type limit struct {
	rate float64 // requests a second
	interval
}

// newSite starts a site and waits until all gateways are ready.
func newSite(t *testing.T, seed uint64, p profile) *site {
	s := &site{profile: p, t: t, q: qt.New(t), seed: seed, startedAt: time.Now(), store: objects.New()}
	s.store.BodyLimit = p.maxBodyBytes
	if p.datagramLoss == 0 && p.accountCount == 0 && !p.targetLinks {
		s.program = buildProgram(t)
	}
	s.loadPercent.Store(100)
	s.retryRatio.Store(p.initialRetryRatio)
	if s.groups > 1 {
		s.store.SeparateEntries(func(number int) int { return number % s.groups })
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	s.storeProxy = newProxy(t, strings.TrimPrefix(server.URL, "http://"))
	for _, sv := range s.services {
		for range sv.targets {
			s.addTarget(sv)
		}
	}
	s.createAccounts()
	s.publishConfig()
	for range s.gatewayCount {
		s.addGateway()
	}
	for _, g := range s.gateways {
		s.waitUntil(g.name+" ready", g.ready)
	}
	return s
}

var build struct {
	once sync.Once
	path string
	err  error
}

// buildProgram returns the path of the program to test. It builds the program at the first
// call, unless a flag names one.
func buildProgram(t *testing.T) string {
	if *programPath != "" {
		return *programPath
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
	if loss, path := os.Getenv(lossVariable), os.Getenv(linksVariable); loss != "" || path != "" {
		if err := runGateway(loss, path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if build.path != "" {
		os.RemoveAll(filepath.Dir(build.path))
	}
	os.Exit(code)
}

// addTarget starts a target and writes its record to the store.
func (s *site) addTarget(sv service) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, err := worker.Start(fmt.Sprintf("i-%d", s.startedTargets))
	s.q.Assert(err, qt.IsNil)
	k := &target{Worker: w, service: sv, place: s.place(s.startedTargets), proxy: newProxy(s.t, w.Address())}
	s.startedTargets++
	s.register(k)
	return k
}

// register sets a target up and writes its record to the store. The caller holds the lock.
func (s *site) register(k *target) {
	s.t.Cleanup(k.Close)
	sv := k.service
	for i := range sv.records {
		k.aliases = append(k.aliases, fmt.Sprintf("%s-%d", k.ID, i))
	}
	k.SetAliases(k.aliases...)
	k.Slots = sv.slots
	k.SetServiceTime(sv.serviceTime)
	if sv.queueLimit > 0 {
		k.LimitQueue(sv.queueLimit)
	}
	k.site = s
	k.OnCrash = func() { s.crashTarget(k) }
	k.Fail(nil)
	s.targets = append(s.targets, k)
	s.writeRecord(k)
	if sv.variablePace {
		s.varyPace(k)
	}
}

const (
	paceInterval = 150 * time.Millisecond
	slowShare    = 0.25 // of the intervals
	slowFactor   = 5    // factor on the service time
)

// varyPace makes a target slow during a random quarter of the time.
func (s *site) varyPace(k *target) {
	rnd := rand.New(rand.NewPCG(s.seed, uint64(1000+s.startedTargets)))
	ticker := time.NewTicker(paceInterval)
	done := make(chan struct{})
	s.t.Cleanup(func() {
		ticker.Stop()
		close(done)
	})
	go func() {
		for {
			pace := 1.0
			if rnd.Float64() < slowShare {
				pace = slowFactor
			}
			k.SetPace(pace)
			select {
			case <-ticker.C:
			case <-done:
				return
			}
		}
	}()
}

// place assigns the places of the site in turn.
func (s *site) place(n int) string { return s.places[n%len(s.places)] }

// Fail sets the faults of each request, as the embedded worker's method does. A request that
// crashes targets does so independently of f. Every second one with refusedSuffix is refused
// instead.
func (k *target) Fail(f func(*http.Request) worker.Fault) {
	k.Worker.SetFaults(func(r *http.Request) worker.Fault {
		switch {
		case strings.HasSuffix(r.URL.Path, refusedSuffix) && k.site.refusedSuffixCount.Add(1)%2 == 0:
			return worker.Fault{Shed: true}
		case k.site.crashes(r.URL.Path, time.Now()):
			return worker.Fault{Crash: true}
		case f != nil:
			return f(r)
		}
		return worker.Fault{}
	})
}

// recordCount returns the number of records of a service in the store.
func (s *site) recordCount(name string) (n int) {
	for _, k := range s.recordedTargets(name) {
		n += 1 + len(k.aliases)
	}
	return n
}

// recordedTargets returns the targets of a service that have a record in the store.
func (s *site) recordedTargets(name string) []*target {
	return s.targetsWhere(func(k *target) bool { return k.service.name == name && !k.recordDeleted })
}

// targetsWhere returns the targets for which ok returns true. It calls ok with the lock held.
func (s *site) targetsWhere(ok func(k *target) bool) (list []*target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.targets {
		if ok(k) {
			list = append(list, k)
		}
	}
	return list
}

// schedule calls f after the duration d, unless the test has ended by then.
func (s *site) schedule(d time.Duration, f func()) {
	timer := time.AfterFunc(d, f)
	s.t.Cleanup(func() { timer.Stop() })
}

// address returns the address in the record of a target.
func (k *target) address() string {
	if k.service.direct {
		return k.Address()
	}
	return k.proxy.address()
}

// writeRecord writes the records of a target to the store, unless the target has crashed. The
// caller holds the lock.
func (s *site) writeRecord(k *target) {
	if k.crashed {
		return
	}
	for _, id := range append([]string{k.ID}, k.aliases...) {
		s.store.PutTarget(objects.Target{
			ID: id, Address: k.address(), StartedMillis: k.startedMillis, Service: k.service.name, Place: k.place, Slots: k.service.slots, Leaving: !k.leavingRecordedAt.IsZero(),
		})
	}
}

// publishConfig writes the configuration with the next version.
func (s *site) publishConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	s.writeConfig()
}

// writeConfig writes the configuration with the current version. The caller holds the lock.
func (s *site) writeConfig() {
	var routes []objects.Route
	var names []string
	for _, k := range s.kinds {
		routes = append(routes, objects.Route{
			Name: k.name, Host: host, Prefix: k.prefix, NonIdempotent: k.runOnce, Public: k.public, Timeout: k.timeout.String(), TargetLatency: k.targetLatency.String(),
			Attempts: k.attempts, Service: k.service,
		})
	}
	for _, sv := range s.services {
		names = append(names, sv.name)
	}
	begun, records := time.Now(), s.accountRecords()
	s.store.PutAccountConfig(s.configVersion, routes, names, records)
	s.versions = append(s.versions, accountVersion{begun, time.Now(), records})
}

// rewriteAll writes the configuration and the records of all targets again, as the operator
// and the targets do after a restore of the store.
func (s *site) rewriteAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeConfig()
	for _, k := range s.targets {
		s.writeRecord(k)
	}
}

// removeOtherRecords removes the records among the targets' that are not of a target, which a restore of
// the store may have brought back.
func (s *site) removeOtherRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]bool)
	for _, k := range s.targets {
		for _, id := range append([]string{k.ID}, k.aliases...) {
			names[id] = true
		}
	}
	for _, name := range s.store.Names("servers") {
		if !names[name] {
			s.store.Delete("servers", name)
		}
	}
}

// addDisturbance records a disturbance of the store or of links.
func (s *site) addDisturbance(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, interval{from, to})
}

// overlaps reports whether an interval of the list overlaps the other one.
func overlaps(list []interval, other interval) bool {
	for _, f := range list {
		if f.from.Before(other.to) && other.from.Before(f.to) {
			return true
		}
	}
	return false
}

// logf adds a line to the timeline.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// timeOffset formats a time as seconds since the start of the site, as in the timeline.
func (s *site) timeOffset(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(s.startedAt).Seconds())
}

// waitUntil waits until ok returns true. The test fails after 20 s.
func (s *site) waitUntil(what string, ok func() bool) {
	s.t.Helper()
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.report()
			s.t.Fatalf("seed %d: timeout after %v waiting for: %s", s.seed, timeout, what)
		}
	}
}

// report logs the timeline and copies the gateways' logs to a directory that outlasts the test.
func (s *site) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", s.seed))
	if err != nil {
		s.t.Log(err)
		return
	}
	for _, g := range s.gateways {
		text, err := os.ReadFile(g.logPath)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, g.name+".log"), text, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("seed %d, gateway logs in %s, timeline:\n%s", s.seed, dir, strings.Join(s.timeline, "\n"))
}
