package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

// fault is a kind of disturbance. Its function start begins the fault and returns two values.
// name is the text for the timeline; it is empty if the fault can't be injected now. end ends
// the fault; it is nil if the fault ends by itself.
type fault struct {
	weight int // probability, relative to the other faults
	start  func(s *site, rnd *rand.Rand) (name string, end func())
}

// smallSiteFaults are the faults on small sites.
var smallSiteFaults = []fault{
	{2, pauseGateway},
	{2, killGateway},
	{3, terminateGateway},
	{1, reloadSettings},
	{2, failStore},
	{1, restoreStore},
	{1, compactStore},
	{2, changeConfig},
	{3, failTarget},
	{2, disturbLink},
	{2, leaveByRecord},
	{2, leaveByResponse},
	{3, reportLimit},
	{2, requestPause},
	{2, joinTarget},
}

// maxConcurrentFaults is how many faults may overlap, chosen by seed. Low values are needed
// because some guarantees are checked only while few other faults are active.
var maxConcurrentFaults = []int{4, 1, 2}

// injectFaults starts random faults for the duration d. A fault ends after 0.3 to 3 s, unless
// its end function takes longer.
func (s *site) injectFaults(rnd *rand.Rand, d time.Duration) {
	var active sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFaults[s.seed%uint64(len(maxConcurrentFaults))])
	for stop := time.Now().Add(d); time.Now().Before(stop); {
		time.Sleep(time.Duration(100+rnd.IntN(500)) * time.Millisecond)
		duration := time.Duration(300+rnd.IntN(2700)) * time.Millisecond
		f := pickFault(s.faults, rnd)
		slots <- struct{}{}
		name, end := f.start(s, rnd)
		if name == "" {
			<-slots
			continue
		}
		s.faultCount++
		s.logf("%s, for %v", name, duration)
		active.Go(func() {
			time.Sleep(duration)
			if end != nil {
				end()
				s.logf("ended: %s", name)
			}
			<-slots
		})
	}
	active.Wait()
	s.rewriteAll()
	s.removeOtherRecords()
	s.logf("all faults have ended")
}

// pickFault picks a fault at random, by weight.
func pickFault(faults []fault, rnd *rand.Rand) fault {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	n := rnd.IntN(total)
	for _, f := range faults {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return faults[0]
}

// acquiredGateways holds the gateways with a signal fault in progress. A gateway has at most
// one at a time.
var acquiredGateways sync.Map

// acquireGateway picks a gateway for a signal fault. It returns nil if that gateway has one
// already. It never picks the first gateway, so that one stays free of these faults.
func (s *site) acquireGateway(rnd *rand.Rand) *gateway {
	g := s.gateways[1+rnd.IntN(len(s.gateways)-1)]
	if _, busy := acquiredGateways.LoadOrStore(g, true); busy {
		return nil
	}
	return g
}

// pauseGateway suspends a gateway by SIGSTOP.
func pauseGateway(s *site, rnd *rand.Rand) (string, func()) {
	g := s.acquireGateway(rnd)
	if g == nil {
		return "", nil
	}
	from := time.Now()
	g.signal(syscall.SIGSTOP)
	return g.name + " is paused", func() {
		g.signal(syscall.SIGCONT)
		g.addDisturbance(from, time.Now())
		acquiredGateways.Delete(g)
	}
}

// killGateway kills a gateway and starts it again at the end of the fault.
func killGateway(s *site, rnd *rand.Rand) (string, func()) {
	g := s.acquireGateway(rnd)
	if g == nil {
		return "", nil
	}
	from := time.Now()
	g.kill()
	return g.name + " is killed", func() {
		g.start()
		g.addDisturbance(from, time.Now())
		acquiredGateways.Delete(g)
	}
}

// terminateGateway stops a gateway by SIGTERM and starts it again after it has exited.
func terminateGateway(s *site, rnd *rand.Rand) (string, func()) {
	g := s.acquireGateway(rnd)
	if g == nil {
		return "", nil
	}
	g.markStopping()
	g.signal(syscall.SIGTERM)
	from := time.Now()
	return g.name + " receives SIGTERM", func() {
		g.waitForExit()
		exitedAt := time.Now()
		g.mu.Lock()
		g.plannedStops = append(g.plannedStops, interval{from, exitedAt})
		g.mu.Unlock()
		g.start()
		g.addDisturbance(exitedAt, time.Now())
		acquiredGateways.Delete(g)
	}
}

// reloadSettings makes a gateway reload its settings by SIGHUP. In 1 of 3 cases the settings
// are invalid.
func reloadSettings(s *site, rnd *rand.Rand) (string, func()) {
	g := s.gateways[rnd.IntN(len(s.gateways))]
	if rnd.IntN(3) == 0 {
		g.writeBadSettings()
		g.reload()
		return g.name + " reloads invalid settings", func() { g.writeSettings(cmp.Or(s.grace, "3s")) }
	}
	g.writeSettings(strconv.Itoa(3+rnd.IntN(3)) + "s")
	g.reload()
	return g.name + " reloads its settings", func() { g.writeSettings(cmp.Or(s.grace, "3s")) }
}

// failStore disturbs the calls to the store, of one gateway or of all.
func failStore(s *site, rnd *rand.Rand) (string, func()) {
	kinds := []struct {
		name  string
		fault objects.Fault
	}{
		{"down", objects.Fault{Down: true}},
		{"doesn't respond", objects.Fault{Silent: true}},
		{"slow", objects.Fault{Delay: 300 * time.Millisecond}},
		{"loses responses", objects.Fault{LoseResponse: true}},
	}
	k := kinds[rnd.IntN(len(kinds))]
	only := "" // the one gateway whose calls fail; empty: all
	if rnd.IntN(2) == 0 {
		only = s.gateways[rnd.IntN(len(s.gateways))].name
	}
	from := time.Now()
	s.store.SetFaults(func(r *http.Request) objects.Fault {
		if only != "" && r.Header.Get("User-Agent") != only {
			return objects.Fault{}
		}
		return k.fault
	})
	return strings.TrimSpace("store " + k.name + " " + only), func() {
		s.store.SetFaults(nil)
		s.addStoreDisturbance(from, time.Now(), only == "" && !k.fault.LoseResponse) // reads are answered
	}
}

// restoreStore copies the store and restores the copy later, which loses the changes in
// between. They are written again 1 s after that.
func restoreStore(s *site, rnd *rand.Rand) (string, func()) {
	s.mu.Lock()
	backup, records := s.store.Snapshot(), s.accountRecords()
	s.mu.Unlock()
	from := time.Now()
	delay := time.Duration(300+rnd.IntN(2000)) * time.Millisecond
	return fmt.Sprintf("store backed up, restored %v after the fault", delay), func() {
		time.Sleep(delay)
		s.mu.Lock()
		begun := time.Now()
		s.store.Restore(backup)
		s.versions = append(s.versions, accountVersion{begun, time.Now(), records})
		s.mu.Unlock()
		s.logf("store restored")
		time.Sleep(time.Second)
		s.rewriteAll()
		s.addStoreDisturbance(from, time.Now(), true)
	}
}

// compactStore stops the store's watch events, then drops its history, so that watches from
// an earlier revision fail.
func compactStore(s *site, _ *rand.Rand) (string, func()) {
	s.store.PauseWatches(true)
	from := time.Now()
	return "store sends no watch events, then drops its history", func() {
		s.store.PauseWatches(false)
		s.store.Compact()
		s.addStoreDisturbance(from, time.Now(), true)
	}
}

// changeConfig writes a new version of the configuration.
func changeConfig(s *site, _ *rand.Rand) (string, func()) {
	s.publishConfig()
	return "a new configuration", nil
}

// failTarget makes one target fail a random share of its requests.
func failTarget(s *site, rnd *rand.Rand) (string, func()) {
	k := s.pickTarget(rnd)
	if k == nil {
		return "", nil
	}
	kinds := []struct {
		name  string
		fault worker.Fault
	}{
		{"refuses", worker.Fault{Shed: true}},
		{"fails", worker.Fault{Fail: true}},
		{"loses responses", worker.Fault{LoseResponse: true}},
		{"truncates responses", worker.Fault{Cut: true}},
		{"responds twice", worker.Fault{DuplicateResponse: true, DuplicateDelay: 2 * time.Millisecond}},
		{"doesn't sign responses", worker.Fault{Unsigned: true}},
		{"responds with the ID of another request", worker.Fault{WrongRequestID: true}},
		{"responds 503 after the run", worker.Fault{Plain503: true}},
		{"omits the length of the body", worker.Fault{NoLength: true}},
	}
	n := rnd.IntN(len(kinds))
	share := 0.1 + 0.9*rnd.Float64()
	k.Fail(withProbability(rand.NewPCG(rnd.Uint64(), 3), share, kinds[n].fault))
	return fmt.Sprintf("%s %s, %.2f of requests", k.ID, kinds[n].name, share), func() { k.Fail(nil) }
}

// withProbability returns a function that gives a random share of the requests the fault f.
// Several targets may use it at the same time.
func withProbability(source rand.Source, share float64, f worker.Fault) func(*http.Request) worker.Fault {
	var mu sync.Mutex
	rnd := rand.New(source)
	return func(*http.Request) worker.Fault {
		mu.Lock()
		defer mu.Unlock()
		if rnd.Float64() < share {
			return f
		}
		return worker.Fault{}
	}
}

// requestPause makes a target refuse all requests and ask for a pause of 2 s.
func requestPause(s *site, rnd *rand.Rand) (string, func()) {
	k := s.pickTarget(rnd)
	if k == nil {
		return "", nil
	}
	k.Fail(func(*http.Request) worker.Fault { return worker.Fault{Shed: true, RetryAfter: "2"} })
	return k.ID + " asks for a pause of 2 s", func() { k.Fail(nil) }
}

// pickTarget picks a target at random that neither leaves nor has crashed. It returns nil if
// there are fewer than 3.
func (s *site) pickTarget(rnd *rand.Rand) *target {
	list := s.targetsWhere(func(k *target) bool {
		return k.leavingSince.IsZero() && k.leavingRecordedAt.IsZero() && !k.crashed && !k.service.special()
	})
	if len(list) < 3 {
		return nil
	}
	return list[rnd.IntN(len(list))]
}

// disturbLink disturbs the connections to a target or to the store.
func disturbLink(s *site, rnd *rand.Rand) (string, func()) {
	p, name := s.storeProxy, "store"
	if k := s.pickTarget(rnd); k != nil && rnd.IntN(4) > 0 {
		p, name = k.proxy, k.ID
	}
	m := proxyMode(rnd.IntN(4))
	delay := time.Duration(0)
	effect := []string{"slow", "drops all data", "drops responses", "resets connections"}[m]
	if m == modePass {
		delay = time.Duration(10+rnd.IntN(200)) * time.Millisecond
	}
	from := time.Now()
	p.setMode(m, delay)
	return fmt.Sprintf("link to %s: %s", name, effect), func() {
		if m == modeDropAll || m == modeDropResponses {
			p.setMode(modeReset, 0) // dropped data never arrives, so the open connections are unusable
		}
		p.setMode(modePass, 0)
		if p == s.storeProxy {
			s.addStoreDisturbance(from, time.Now(), true)
			return
		}
		s.addDisturbance(from, time.Now())
	}
}

// leaveByRecord announces in a target's record that it leaves.
func leaveByRecord(s *site, rnd *rand.Rand) (string, func()) {
	k := s.pickTarget(rnd)
	if k == nil {
		return "", nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k.leavingRecordedAt = time.Now()
	s.writeRecord(k)
	return k.ID + " leaves, by its record", nil
}

// leaveByResponse makes a target announce that it leaves, in its responses only.
func leaveByResponse(s *site, rnd *rand.Rand) (string, func()) {
	k := s.pickTarget(rnd)
	if k == nil {
		return "", nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if rnd.IntN(2) == 0 {
		k.ProbeLoadOnly()
	}
	k.AnnounceLeaving()
	k.leavingSince = time.Now()
	return k.ID + " leaves, by its responses", nil
}

// reportLimit makes a target report a limit, for 5 s longer than other faults last.
func reportLimit(s *site, rnd *rand.Rand) (string, func()) {
	k := s.pickTarget(rnd)
	if k == nil {
		return "", nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(k.limits); n > 0 && k.limits[n-1].to.IsZero() {
		return "", nil
	}
	rate := []float64{0.5, 2, 2.6, 10}[rnd.IntN(4)]
	k.limits = append(k.limits, limit{rate, interval{from: time.Now()}})
	k.SetLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	return fmt.Sprintf("%s reports a limit of %v", k.ID, rate), func() {
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		k.limits[len(k.limits)-1].to = time.Now()
		k.SetLimit("")
	}
}

// joinTarget adds a target.
func joinTarget(s *site, rnd *rand.Rand) (string, func()) {
	return s.addTarget(s.pickService(rnd)).ID + " joins", nil
}
