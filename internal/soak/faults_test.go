package soak

import (
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

// fault is one disturbance. begin starts it and returns what ends it, nil where it ends by
// itself; it returns a name for the timeline, empty where nothing fits.
type fault struct {
	share int // how often it is drawn, of all shares
	begin func(s *site, rnd *rand.Rand) (name string, end func())
}

var faults = []fault{
	{2, pause},
	{2, kill},
	{3, terminate},
	{1, hangup},
	{2, storeFault},
	{1, restore},
	{1, compact},
	{2, configure},
	{3, misbehave},
	{2, link},
	{2, leave},
	{2, leaveByResponse},
	{3, nameLimit},
	{2, wantNothing},
	{2, join},
}

// mostAtOnce is how many faults overlap at the most, by seed: some promises are checked only
// where little else is disturbed.
var mostAtOnce = []int{4, 1, 2}

// injectFaults begins faults one after the other for so long, each for up to 3 s.
func (s *site) injectFaults(rnd *rand.Rand, d time.Duration) {
	var ends sync.WaitGroup
	running := make(chan struct{}, mostAtOnce[s.seed%uint64(len(mostAtOnce))])
	for stop := time.Now().Add(d); time.Now().Before(stop); {
		time.Sleep(time.Duration(100+rnd.IntN(500)) * time.Millisecond)
		hold := time.Duration(300+rnd.IntN(2700)) * time.Millisecond
		f := draw(s.faults, rnd)
		running <- struct{}{}
		name, end := f.begin(s, rnd)
		if name == "" {
			<-running
			continue
		}
		s.injected++
		s.logf("%s, for %v", name, hold)
		ends.Go(func() {
			time.Sleep(hold)
			if end != nil {
				end()
				s.logf("end of: %s", name)
			}
			<-running
		})
	}
	ends.Wait()
	s.rewrite()
	s.logf("all faults have ended")
}

func draw(faults []fault, rnd *rand.Rand) fault {
	all := 0
	for _, f := range faults {
		all += f.share
	}
	n := rnd.IntN(all)
	for _, f := range faults {
		if n -= f.share; n < 0 {
			return f
		}
	}
	return faults[0]
}

// lock holds a gateway for one signal fault at a time.
var held sync.Map

// hold takes a gateway that no other signal fault has; one always stays free.
func (s *site) hold(rnd *rand.Rand) *gateway {
	g := s.gateways[1+rnd.IntN(len(s.gateways)-1)]
	if _, taken := held.LoadOrStore(g, true); taken {
		return nil
	}
	return g
}

func pause(s *site, rnd *rand.Rand) (string, func()) {
	g := s.hold(rnd)
	if g == nil {
		return "", nil
	}
	from := time.Now()
	g.signal(syscall.SIGSTOP)
	return g.name + " is paused", func() {
		g.signal(syscall.SIGCONT)
		g.disturbed(from, time.Now())
		held.Delete(g)
	}
}

func kill(s *site, rnd *rand.Rand) (string, func()) {
	g := s.hold(rnd)
	if g == nil {
		return "", nil
	}
	from := time.Now()
	g.kill()
	return g.name + " is killed", func() {
		g.start()
		g.disturbed(from, time.Now())
		held.Delete(g)
	}
}

// terminate stops a gateway as planned and starts it again once it has ended.
func terminate(s *site, rnd *rand.Rand) (string, func()) {
	g := s.hold(rnd)
	if g == nil {
		return "", nil
	}
	g.leave()
	g.signal(syscall.SIGTERM)
	from := time.Now()
	return g.name + " is told to stop", func() {
		g.wait()
		ended := time.Now()
		g.mu.Lock()
		g.planned = append(g.planned, span{from, ended})
		g.mu.Unlock()
		g.start()
		g.disturbed(ended, time.Now())
		held.Delete(g)
	}
}

func hangup(s *site, rnd *rand.Rand) (string, func()) {
	g := s.gateways[rnd.IntN(len(s.gateways))]
	if rnd.IntN(3) == 0 {
		g.spoil()
		g.signal(syscall.SIGHUP)
		return g.name + " reads bad settings", func() { g.settings("3s") }
	}
	g.settings(strconv.Itoa(3+rnd.IntN(3)) + "s")
	g.signal(syscall.SIGHUP)
	return g.name + " reads its settings", func() { g.settings("3s") }
}

func storeFault(s *site, rnd *rand.Rand) (string, func()) {
	kinds := []struct {
		name  string
		fault objects.Fault
	}{
		{"down", objects.Fault{Down: true}},
		{"silent", objects.Fault{Silent: true}},
		{"slow", objects.Fault{Delay: 300 * time.Millisecond}},
		{"loses answers", objects.Fault{Lost: true}},
	}
	k := kinds[rnd.IntN(len(kinds))]
	one := ""
	if rnd.IntN(2) == 0 {
		one = s.gateways[rnd.IntN(len(s.gateways))].name
	}
	from := time.Now()
	s.store.Fail(func(r *http.Request) objects.Fault {
		if one != "" && r.Header.Get("User-Agent") != one {
			return objects.Fault{}
		}
		return k.fault
	})
	return strings.TrimSpace("store " + k.name + " " + one), func() {
		s.store.Fail(nil)
		s.disturbed(from, time.Now())
	}
}

// restore has the store go back to a copy; what was lost is written again a second later.
func restore(s *site, rnd *rand.Rand) (string, func()) {
	c := s.store.Copy()
	from := time.Now()
	back := time.Duration(300+rnd.IntN(2000)) * time.Millisecond
	return fmt.Sprintf("store copied, restored %v later", back), func() {
		time.Sleep(back)
		s.mu.Lock()
		s.store.Restore(c)
		s.mu.Unlock()
		s.logf("store restored")
		time.Sleep(time.Second)
		s.rewrite()
		s.disturbed(from, time.Now())
	}
}

func compact(s *site, _ *rand.Rand) (string, func()) {
	s.store.Deafen(true)
	from := time.Now()
	return "store deaf, then without history", func() {
		s.store.Deafen(false)
		s.store.Compact()
		s.disturbed(from, time.Now())
	}
}

func configure(s *site, _ *rand.Rand) (string, func()) {
	s.configure()
	return "a new configuration", nil
}

// misbehave has one target fail a share of its requests.
func misbehave(s *site, rnd *rand.Rand) (string, func()) {
	k := s.some(rnd)
	if k == nil {
		return "", nil
	}
	kinds := []struct {
		name  string
		fault worker.Fault
	}{
		{"refuses", worker.Fault{Shed: true}},
		{"fails", worker.Fault{Fail: true}},
		{"loses answers", worker.Fault{Lose: true}},
		{"cuts answers", worker.Fault{Cut: true}},
		{"answers twice", worker.Fault{Extra: true, ExtraIn: 2 * time.Millisecond}},
		{"doesn't sign", worker.Fault{Unsigned: true}},
		{"answers for others", worker.Fault{Crossed: true}},
		{"answers 503 after the run", worker.Fault{Plain503: true}},
		{"has no length", worker.Fault{Unframed: true}},
	}
	n := rnd.IntN(len(kinds))
	share := 0.1 + 0.9*rnd.Float64()
	k.Fail(sometimes(rand.NewPCG(rnd.Uint64(), 3), share, kinds[n].fault))
	return fmt.Sprintf("%s %s, %.2f of all", k.ID, kinds[n].name, share), func() { k.Fail(nil) }
}

// sometimes gives a share of all requests a fault. It may serve several targets.
func sometimes(source rand.Source, share float64, f worker.Fault) func(*http.Request) worker.Fault {
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

// wantNothing has a target refuse all and say for how long it wants nothing.
func wantNothing(s *site, rnd *rand.Rand) (string, func()) {
	k := s.some(rnd)
	if k == nil {
		return "", nil
	}
	k.Fail(func(*http.Request) worker.Fault { return worker.Fault{Shed: true, After: "2"} })
	return k.ID + " wants nothing for 2 s", func() { k.Fail(nil) }
}

// some draws a target that is in service.
func (s *site) some(rnd *rand.Rand) *target {
	list := s.those(func(k *target) bool { return k.left.IsZero() && k.drained.IsZero() && !k.crashed })
	if len(list) < 3 {
		return nil
	}
	return list[rnd.IntN(len(list))]
}

// link disturbs the connections to a target or to the store.
func link(s *site, rnd *rand.Rand) (string, func()) {
	p, name := s.front, "store"
	if k := s.some(rnd); k != nil && rnd.IntN(4) > 0 {
		p, name = k.proxy, k.ID
	}
	m := mode(rnd.IntN(4))
	delay := time.Duration(0)
	what := []string{"slow", "swallows", "deaf", "reset"}[m]
	if m == pass {
		delay = time.Duration(10+rnd.IntN(200)) * time.Millisecond
	}
	from := time.Now()
	p.set(m, delay)
	return fmt.Sprintf("link to %s %s", name, what), func() {
		if m == swallow || m == deaf {
			p.set(refuse, 0) // what was swallowed never comes
		}
		p.set(pass, 0)
		s.disturbed(from, time.Now())
	}
}

// leave takes a target out as planned, by its record.
func leave(s *site, rnd *rand.Rand) (string, func()) {
	k := s.some(rnd)
	if k == nil {
		return "", nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k.drained = time.Now()
	s.record(k)
	return k.ID + " leaves by its record", nil
}

// leaveByResponse has a target say in its responses alone that it leaves.
func leaveByResponse(s *site, rnd *rand.Rand) (string, func()) {
	k := s.some(rnd)
	if k == nil {
		return "", nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if rnd.IntN(2) == 0 {
		k.KeepSilent()
	}
	k.Leave()
	k.left = time.Now()
	return k.ID + " says that it leaves", nil
}

// nameLimit has a target name a limit, for longer than other faults last.
func nameLimit(s *site, rnd *rand.Rand) (string, func()) {
	k := s.some(rnd)
	if k == nil {
		return "", nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(k.limits); n > 0 && k.limits[n-1].to.IsZero() {
		return "", nil
	}
	rate := []float64{0.5, 2, 2.6, 10}[rnd.IntN(4)]
	k.limits = append(k.limits, limit{rate, span{from: time.Now()}})
	k.Limit(strconv.FormatFloat(rate, 'f', -1, 64))
	return fmt.Sprintf("%s names a limit of %v", k.ID, rate), func() {
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		k.limits[len(k.limits)-1].to = time.Now()
		k.Limit("")
	}
}

func join(s *site, rnd *rand.Rand) (string, func()) {
	return s.addTarget(s.someService(rnd)).ID + " joins", nil
}
