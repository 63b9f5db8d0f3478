package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// extraDispatchFaults are faults that cause retries and hedges, and faults of gateways, which
// share the retry budget.
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

// maxReloadTime is the longest time from SIGHUP until a gateway has to apply its settings.
const reloadTime = time.Second

// lowerRetryRatio makes all gateways reload their settings with the retry budget ratio that
// the test checks.
func (s *site) lowerRatio() {
	if s.firstRatio == budgetRatio {
		return
	}
	s.ratio.Store(float64(budgetRatio))
	for _, g := range s.gateways {
		g.settings("3s")
		g.signal(syscall.SIGHUP)
	}
	s.logf("all gateways reload a retry budget ratio of %g", budgetRatio)
	s.ratioAt = time.Now().Add(reloadTime)
}

// pickService picks a service at random. It uses no random number if there is only one.
func (s *site) someService(rnd *rand.Rand) service {
	if len(s.services) == 1 {
		return s.services[0]
	}
	return s.services[rnd.IntN(len(s.services))]
}

// runningTargets returns the targets of a service that haven't crashed.
func (s *site) of(name string) []*target {
	return s.those(func(k *target) bool { return k.service.name == name && !k.crashed })
}

// killMostGateways kills up to two thirds of the gateways at the same time.
func killMany(s *site, rnd *rand.Rand) (string, func()) {
	var killed []*gateway
	for range 2 * len(s.gateways) / 3 {
		if g := s.hold(rnd); g != nil {
			killed = append(killed, g)
		}
	}
	from := time.Now()
	for _, g := range killed {
		g.kill()
	}
	return fmt.Sprintf("%d gateways are killed", len(killed)), func() {
		for _, g := range killed {
			g.start()
			g.disturbed(from, time.Now())
			held.Delete(g)
		}
	}
}

// failService makes all targets of a service fail a random share of their requests.
func misbehaveAll(s *site, rnd *rand.Rand) (string, func()) {
	sv := s.someService(rnd)
	kinds := []struct {
		name  string
		fault worker.Fault
	}{
		{"refuse", worker.Fault{Shed: true}},
		{"fail", worker.Fault{Fail: true}},
		{"lose responses", worker.Fault{LoseResponse: true}},
		{"respond 503 after the run", worker.Fault{Plain503: true}},
	}
	n := rnd.IntN(len(kinds))
	share := 0.3 + 0.7*rnd.Float64()
	list := s.of(sv.name)
	failAll(list, sometimes(rand.NewPCG(rnd.Uint64(), 4), share, kinds[n].fault))
	return fmt.Sprintf("all targets of %s %s, %.2f of requests", sv.name, kinds[n].name, share), func() { failAll(list, nil) }
}

// setFaults sets the faults of all targets in the list; nil ends them.
func failAll(list []*target, f func(*http.Request) worker.Fault) {
	for _, k := range list {
		k.Fail(f)
	}
}

// failAllServices makes the targets of all services fail 90 % of requests. It lasts three
// quarters of retryBudgetWindow longer than other faults, so about as long as the window.
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

// crashTargets crashes up to a third of the targets of a service, at least one.
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

// raiseLoad makes clients send 1.5 to 3 times as many requests.
func burst(s *site, rnd *rand.Rand) (string, func()) {
	factor := 1.5 + 1.5*rnd.Float64()
	s.rush.Store(int64(100 * factor))
	return fmt.Sprintf("clients send %.1f times as many requests", factor), func() { s.rush.Store(100) }
}

// retryAtOnce makes clients retry without a delay, and 3 times more than their requests' kind
// allows.
func abuse(s *site, _ *rand.Rand) (string, func()) {
	const extra = 3
	s.insist.Store(extra)
	return fmt.Sprintf("clients retry at once, with %d extra retries", extra), func() { s.insist.Store(0) }
}

const (
	// poison is in the path of a request that crashes the target that runs it.
	poison = "poison"
	// refusedSuffix is at the end of the path if targets refuse every second such request.
	amongRefusals = "refused"
)

// sendPoison makes an additional client send a request that crashes targets every 300 ms.
func poisoned(s *site, rnd *rand.Rand) (string, func()) {
	const period = 300 * time.Millisecond
	k := s.kinds[rnd.IntN(len(s.kinds))]
	s.mu.Lock()
	s.poisons++
	path := fmt.Sprintf("%s%s-%d", k.prefix, poison, s.poisons)
	if s.poisons%2 == 0 {
		path += amongRefusals
	}
	s.mu.Unlock()
	stop, done := make(chan struct{}), make(chan struct{})
	c := newClient(s, rand.New(rand.NewPCG(rnd.Uint64(), 5)))
	go func() {
		defer close(done)
		defer c.close()
		for {
			select {
			case <-stop:
				return
			case <-time.After(period):
				c.once(k, path)
			}
		}
	}()
	return path + " crashes targets", func() {
		time.Sleep(touch + 3*time.Second) // checkPoison counts dispatches only after settleTime
		close(stop)
		<-done
	}
}
