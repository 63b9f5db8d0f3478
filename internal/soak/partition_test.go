package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"plumpitch.example/plumpitch/internal/standin/link"
)

// targetCut is a time in which a gateway was cut off from all targets.
type targetCut struct {
	gateway *gateway
	interval
}

const (
	// cutSettleTime is how long after a cut its gateway's clients are served again.
	cutSettleTime = 3 * time.Second
	// minCutShare bounds the served share of requests at gateways that are cut off, as a share
	// of that at the others. It is checked if more than allowedCutFailures and one in
	// allowedCutFailureShare requests fail there.
	minCutShare            = 2.0 / 3
	allowedCutFailures     = 10
	allowedCutFailureShare = 1.0 / 50
	// shortPartitionSeed and shortPartitionTime are the seed that the test runs without -seeds,
	// and how long it injects faults then. Clients use gateways that are cut off for long.
	shortPartitionSeed = 3
	shortPartitionTime = 20 * time.Second
)

// partitionSite is a small site whose gateways can be cut off from targets. With odd seeds clients
// use any gateway.
func partitionSite(seed uint64) profile {
	p := smallSite()
	p.gatewayCount, p.targetLinks, p.anyGateway = max(*numGateways, 6), true, seed%2 == 1
	p.faults = []fault{{5, cutFromTargets}, {1, terminateGateway}, {1, killGateway}, {1, pauseGateway}, {1, changeConfig}, {1, leaveByRecord}, {1, joinTarget}}
	return p
}

// cutFromTargets cuts up to two thirds of the gateways off from all targets. It lasts longer than
// other faults, so that the time after cutSettleTime can be checked.
func cutFromTargets(s *site, rnd *rand.Rand) (string, func()) {
	mode := []link.Mode{link.Hang, link.Reset, link.Refuse}[rnd.IntN(3)]
	longer := time.Duration(2+rnd.IntN(4)) * time.Second
	var cut []*gateway
	for range 1 + rnd.IntN(2*len(s.gateways)/3) {
		if g := s.acquireGateway(rnd); g != nil {
			cut = append(cut, g)
		}
	}
	if len(cut) == 0 {
		return "", nil
	}
	from := time.Now()
	names := ""
	for _, g := range cut {
		g.writeLinks(linkState{Targets: mode})
		names += " " + g.name
	}
	return fmt.Sprintf("cut off from all targets (mode %d):%s", mode, names), func() {
		time.Sleep(longer)
		s.mu.Lock()
		for _, g := range cut {
			s.targetCuts = append(s.targetCuts, targetCut{g, interval{from, time.Now()}})
		}
		s.mu.Unlock()
		for _, g := range cut {
			g.writeLinks(linkState{})
			acquiredGateways.Delete(g)
		}
	}
}

// checkTargetCuts checks that gateways that are cut off serve nearly as much as the others.
func (c *checker) checkTargetCuts() {
	var sent, served [2]int // at the others, at gateways that are cut off
	for _, a := range c.attempts {
		at := interval{a.sentAt, a.endedAt}
		if a.abandoned || overlaps(a.gateway.disturbances(), interval{at.from.Add(-cutSettleTime), at.to}) || overlaps(a.gateway.stops(), at) {
			continue
		}
		n := 0
		for _, k := range c.site.targetCuts {
			if k.gateway == a.gateway && overlaps([]interval{k.interval}, at) {
				n = 1
				if at.from.Before(k.from.Add(cutSettleTime)) || at.to.After(k.to) {
					n = -1 // the cut has just begun, or ends
				}
			}
		}
		if n < 0 {
			continue
		}
		sent[n]++
		if a.status == http.StatusOK {
			served[n]++
		}
	}
	shares := [2]float64{float64(served[0]) / float64(max(sent[0], 1)), float64(served[1]) / float64(max(sent[1], 1))}
	c.site.t.Logf("%d of %d served at gateways that are cut off, %d of %d at the others", served[1], sent[1], served[0], sent[0])
	failed := sent[1] - served[1]
	allowed := allowedCutFailures + int(allowedCutFailureShare*float64(sent[0]+sent[1]))
	if failed > allowed && shares[1] < minCutShare*shares[0] {
		c.addViolation("gateways that are cut off from targets served %d of %d requests, the others %d of %d", served[1], sent[1], served[0], sent[0])
	}
}

// stops returns the planned stops of the gateway.
func (g *gateway) stops() []interval {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]interval(nil), g.plannedStops...)
}

// Gateways are cut off from all targets, in series and at once, beside restarts and pauses.
// Guards against clients that are not served there, and against passed on requests that are lost,
// run twice or end beside the truth.
func TestSoakOfPartitions(t *testing.T) {
	if *fullSize {
		t.Skip("-full")
	}
	if !isSet("seeds") {
		runPartitionSeed(t, shortPartitionSeed, shortPartitionTime)
		return
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runPartitionSeed(t, seed, *faultTime) })
	}
}

func runPartitionSeed(t *testing.T, seed uint64, d time.Duration) {
	s := newSite(t, seed, partitionSite(seed))
	clientLoad := s.startClients()
	time.Sleep(warmupTime)
	s.injectFaults(rand.New(rand.NewPCG(seed, 1)), d)
	time.Sleep(recoveryTime)
	recovered := time.Now()
	time.Sleep(observationTime)
	c := newChecker(s, clientLoad.stop())
	c.checkAll(recovered)
	c.checkTargetCuts()
	t.Logf("%d served, %d faults", c.served, s.faultCount)
	c.finish(seed)
}
