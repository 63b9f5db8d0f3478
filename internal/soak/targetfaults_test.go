package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

const (
	shortTargetFaultSeed = 3 // four faults at once
	shortTargetFaultTime = 8 * time.Second
	// shortestGrace is the shortest grace that reloads set.
	shortestGrace = 3 * time.Second
)

// targetFaultRegressions are seeds that failed before, with the time for which faults were injected and
// the cause.
var targetFaultRegressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{1001, 12 * time.Second, "long work whose target reset the connection counted as broken off by the gateway that was stopping"},
}

// targetFaultSite is the profile of a site with targets of several records, large uploads and long
// work, whose clients send some requests again under their ID and keep their gateways.
func targetFaultSite() profile {
	p := smallSite()
	p.clientCount, p.maxBodyBytes, p.grace, p.keepsGateways, p.againShare = 24, maxUpload, stopGrace.String(), true, 0.1
	shared := service{name: "wigs", targets: 2, slots: 4, serviceTime: 15 * time.Millisecond, records: 2}
	uploads := service{name: "trunks", targets: 3, slots: 4, serviceTime: 15 * time.Millisecond, direct: true}
	long := service{name: "looms", targets: 3, slots: 12, serviceTime: 1200 * time.Millisecond, direct: true}
	p.services = append(p.services, shared, uploads, long)
	kind := requestKind{method: "POST", runOnce: true, attempts: 2, targetLatency: 500 * time.Millisecond, timeout: 2 * time.Second, deadline: 3 * time.Second, weight: 2}
	for i := range p.kinds {
		p.kinds[i].weight = 4
	}
	add := func(name, service, prefix string, change func(k *requestKind)) {
		k := kind
		k.name, k.service, k.prefix = name, service, prefix
		change(&k)
		p.kinds = append(p.kinds, k)
	}
	add("r-shared", shared.name, "/shared/", func(*requestKind) {})
	add("r-shared-twice", shared.name, "/shared-twice/", func(k *requestKind) { k.runOnce, k.attempts = false, 3 })
	add("r-trunk", uploads.name, "/trunk/", func(k *requestKind) { k.uploadBytes, k.weight = maxUpload, 1 })
	add("r-slow", uploads.name, "/slow/", func(k *requestKind) {
		k.uploadBytes, k.uploadTime, k.timeout, k.deadline, k.weight = maxUpload/16, 1500*time.Millisecond, 4*time.Second, 4*time.Second, 1
	})
	add("r-long", long.name, "/long/", func(k *requestKind) {
		k.targetLatency, k.timeout, k.deadline, k.weight = 2*time.Second, 4*time.Second, 4*time.Second, 1
	})
	p.faults = append(
		slices.Clone(p.faults),
		fault{8, sendCopies}, fault{4, reuseAddresses}, fault{5, resetUploads}, fault{5, sendInvalidHeads}, fault{5, writeOddRecords}, fault{4, stopGateways},
	)
	return p
}

// Copies of responses, resets during uploads, invalid heads, odd records and series of planned stops
// overlap with the other faults. Guards against false responses, gateways that don't get ready and
// requests that planned stops cut.
func TestSoakOfTargetFaults(t *testing.T) {
	if *fullSize {
		t.Skip("-full")
	}
	for _, r := range targetFaultRegressions {
		t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { runTargetFaultSeed(t, r.seed, r.length) })
	}
	if !isSet("seeds") {
		runTargetFaultSeed(t, shortTargetFaultSeed, shortTargetFaultTime)
		return
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runTargetFaultSeed(t, seed, *faultTime) })
	}
}

func runTargetFaultSeed(t *testing.T, seed uint64, d time.Duration) {
	s := newSite(t, seed, targetFaultSite())
	clients := s.startClients()
	time.Sleep(warmupTime)
	s.injectFaults(rand.New(rand.NewPCG(seed, 1)), d)
	time.Sleep(recoveryTime)
	recovered := time.Now()
	time.Sleep(observationTime)
	c := newChecker(s, clients.stop())
	c.checkAll(recovered)
	c.checkStarts()
	for _, a := range c.attempts {
		if a.kind.service == "looms" && !c.disturbedBesideStops(a) {
			c.checkStop(a, shortestGrace)
		}
	}
	t.Logf("%d served, %d faults", c.served, s.faultCount)
	c.finish(seed)
}

// sendCopies makes targets with several records refuse or fail requests, and send their responses again.
func sendCopies(s *site, rnd *rand.Rand) (string, func()) {
	list := s.targetsWhere(func(k *target) bool { return k.service.records > 0 })
	kind := copies[rnd.IntN(len(copies))]
	for _, k := range list {
		k.Fail(copyFault(rand.NewPCG(rnd.Uint64(), 8), kind.fault, kind.copy))
	}
	return "targets with several records copy " + kind.name, func() {
		for _, k := range list {
			k.Fail(nil)
		}
	}
}

// reuseAddresses writes records of targets that are gone, whose address another one has now.
func reuseAddresses(s *site, rnd *rand.Rand) (string, func()) {
	list := s.targetsWhere(func(k *target) bool { return k.service.records > 0 })
	k := list[rnd.IntN(len(list))]
	k.Fail(copyFault(rand.NewPCG(rnd.Uint64(), 9), worker.Fault{}, worker.WholeCopy))
	first := int(rnd.Uint32())
	for n := range staleRecords {
		s.writeStaleRecord(k, first+n)
	}
	return k.ID + " has the address of targets that are gone", func() {
		k.Fail(nil)
		for n := range staleRecords {
			s.removeStaleRecord(k, first+n)
		}
	}
}

// sendInvalidHeads makes a target respond with invalid heads.
func sendInvalidHeads(s *site, rnd *rand.Rand) (string, func()) {
	k := s.pickTarget(rnd)
	if k == nil {
		return "", nil
	}
	kind, share := heads[rnd.IntN(len(heads))], 0.1+0.9*rnd.Float64()
	k.Fail(withProbability(rand.NewPCG(rnd.Uint64(), 10), share, worker.Fault{Head: kind.head}))
	return fmt.Sprintf("%s responds with a %s, %.2f of requests", k.ID, kind.name, share), func() { k.Fail(nil) }
}

// stopGateways stops up to two gateways as planned, the second while the first stops.
func stopGateways(s *site, rnd *rand.Rand) (string, func()) {
	list := []*gateway{s.acquireGateway(rnd), s.acquireGateway(rnd)}
	list = slices.DeleteFunc(list, func(g *gateway) bool { return g == nil })
	if len(list) == 0 {
		return "", nil
	}
	names := ""
	for _, g := range list {
		names += " " + g.name
	}
	var stops sync.WaitGroup
	source := rand.NewPCG(rnd.Uint64(), 11)
	stops.Go(func() { s.stopInSeries(rand.New(source), list) })
	return "planned stops of" + names, func() {
		stops.Wait()
		for _, g := range list {
			acquiredGateways.Delete(g)
		}
	}
}

// disturbedBesideStops reports whether the store, links or the gateway of an attempt were disturbed
// around it, other than by planned stops.
func (c *checker) disturbedBesideStops(a *attempt) bool {
	around := interval{a.sentAt.Add(-settleTime), a.endedAt.Add(time.Second)}
	unplanned := slices.DeleteFunc(a.gateway.disturbances(), func(d interval) bool {
		return slices.ContainsFunc(a.gateway.stops(), func(p interval) bool { return p.to.Equal(d.from) })
	})
	return overlaps(unplanned, around) || overlaps(c.site.disturbances, around)
}
