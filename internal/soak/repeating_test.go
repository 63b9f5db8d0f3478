package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// repeating are faults that bring repeats, and those of gateways that share their budget.
var repeating = []fault{
	{2, pause},
	{2, kill},
	{3, terminate},
	{1, killMany},
	{1, hangup},
	{1, storeFault},
	{1, configure},
	{2, misbehave},
	{1, link},
	{1, leave},
	{2, wantNothing},
	{3, misbehaveAll},
	{2, outage},
	{2, crashSome},
	{2, burst},
	{2, abuse},
	{3, poisoned},
	{1, join},
}

// reloadTime is how long settings may take to be in force after a signal.
const reloadTime = time.Second

// lowerRatio has all gateways read the ratio of repeats that is checked.
func (s *site) lowerRatio() {
	if s.firstRatio == budgetRatio {
		return
	}
	s.ratio.Store(float64(budgetRatio))
	for _, g := range s.gateways {
		g.settings("3s")
		g.signal(syscall.SIGHUP)
	}
	s.logf("all gateways read a ratio of %g", budgetRatio)
	s.ratioAt = time.Now().Add(reloadTime)
}

// someService draws a service. Nothing is drawn where there is but one.
func (s *site) someService(rnd *rand.Rand) service {
	if len(s.services) == 1 {
		return s.services[0]
	}
	return s.services[rnd.IntN(len(s.services))]
}

// of are the targets of a service that run.
func (s *site) of(name string) []*target {
	return s.those(func(k *target) bool { return k.service.name == name && !k.crashed })
}

// killMany kills most gateways at the same moment.
func killMany(s *site, rnd *rand.Rand) (string, func()) {
	var lost []*gateway
	for range 2 * len(s.gateways) / 3 {
		if g := s.hold(rnd); g != nil {
			lost = append(lost, g)
		}
	}
	from := time.Now()
	for _, g := range lost {
		g.kill()
	}
	return fmt.Sprintf("%d gateways are killed", len(lost)), func() {
		for _, g := range lost {
			g.start()
			g.disturbed(from, time.Now())
			held.Delete(g)
		}
	}
}

// misbehaveAll has all targets of a service fail a share of their requests.
func misbehaveAll(s *site, rnd *rand.Rand) (string, func()) {
	sv := s.someService(rnd)
	kinds := []struct {
		name  string
		fault worker.Fault
	}{
		{"refuse", worker.Fault{Shed: true}},
		{"fail", worker.Fault{Fail: true}},
		{"lose answers", worker.Fault{Lose: true}},
		{"answer 503 after the run", worker.Fault{Plain503: true}},
	}
	n := rnd.IntN(len(kinds))
	share := 0.3 + 0.7*rnd.Float64()
	list := s.of(sv.name)
	failAll(list, sometimes(rand.NewPCG(rnd.Uint64(), 4), share, kinds[n].fault))
	return fmt.Sprintf("all targets of %s %s, %.2f of all", sv.name, kinds[n].name, share), func() { failAll(list, nil) }
}

// failAll sets the faults of all targets of a list; nil ends them.
func failAll(list []*target, f func(*http.Request) worker.Fault) {
	for _, k := range list {
		k.Fail(f)
	}
}

// outage has the targets of all services fail nearly all requests, for as long as a window of
// the budget.
func outage(s *site, rnd *rand.Rand) (string, func()) {
	const share = 0.9
	kinds := []worker.Fault{{Shed: true}, {Fail: true}, {Plain503: true}}
	f := kinds[rnd.IntN(len(kinds))]
	var list []*target
	for _, sv := range s.services {
		list = append(list, s.of(sv.name)...)
	}
	failAll(list, sometimes(rand.NewPCG(rnd.Uint64(), 6), share, f))
	return fmt.Sprintf("all targets fail: %+v", f), func() {
		time.Sleep(budgetSpan * 3 / 4)
		failAll(list, nil)
	}
}

// crashSome crashes targets of a service.
func crashSome(s *site, rnd *rand.Rand) (string, func()) {
	sv := s.someService(rnd)
	list := s.of(sv.name)
	rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	n := 1 + rnd.IntN(max(len(list)/3, 1))
	for _, k := range list[:min(n, len(list))] {
		s.crash(k)
	}
	return fmt.Sprintf("%d targets of %s crash", n, sv.name), nil
}

// burst has clients send several times as often.
func burst(s *site, rnd *rand.Rand) (string, func()) {
	x := 1.5 + 1.5*rnd.Float64()
	s.rush.Store(int64(100 * x))
	return fmt.Sprintf("clients send %.1f times as often", x), func() { s.rush.Store(100) }
}

// abuse has clients send again at once, and more often.
func abuse(s *site, _ *rand.Rand) (string, func()) {
	const more = 3
	s.insist.Store(more)
	return fmt.Sprintf("clients send again at once, %d times more", more), func() { s.insist.Store(0) }
}

const (
	// poison is in the path of a request that crashes the target that runs it.
	poison = "poison"
	// amongRefusals is there too where every second one is refused.
	amongRefusals = "refused"
)

// poisoned has a client send a request that crashes targets, again and again.
func poisoned(s *site, rnd *rand.Rand) (string, func()) {
	const gap = 300 * time.Millisecond
	k := s.kinds[rnd.IntN(len(s.kinds))]
	s.mu.Lock()
	s.poisons++
	path := fmt.Sprintf("%s%s-%d", k.prefix, poison, s.poisons)
	if s.poisons%2 == 0 {
		path += amongRefusals
	}
	s.mu.Unlock()
	end, done := make(chan struct{}), make(chan struct{})
	c := newClient(s, rand.New(rand.NewPCG(rnd.Uint64(), 5)))
	go func() {
		defer close(done)
		defer c.close()
		for {
			select {
			case <-end:
				return
			case <-time.After(gap):
				c.once(k, path)
			}
		}
	}()
	return path + " crashes targets", func() {
		time.Sleep(touch + 3*time.Second) // the bound on such requests begins only then
		close(end)
		<-done
	}
}
