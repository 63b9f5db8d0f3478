package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	firstSeed    = flag.Uint64("first", 1, "first seed")
	seedCount    = flag.Int("seeds", 3, "number of seeds to run, one after the other")
	faultTime    = flag.Duration("time", 12*time.Second, "how long faults are injected for")
	fullSize     = flag.Bool("full", false, "run sites of the users' size under faults that cause retries and hedges, instead of small ones")
	staffing     = flag.Bool("staffing", false, "with -full: the site whose requests take longer")
	datagramLoss = flag.Float64("loss", 0, "with -full: share of the datagrams between gateways that are lost")
	programPath  = flag.String("program", "", "program to run instead of one built from these sources")
	numGateways  = flag.Int("gateways", 4, "number of gateway processes")
	numTargets   = flag.Int("targets", 6, "number of targets")
	numClients   = flag.Int("clients", 10, "number of clients")
)

// regressions are seeds that failed before, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{141, "a gateway that exited because of invalid settings was not restarted, although the platform restarts it"},
}

// Injects overlapping faults while clients send requests. Guards against violations of the
// guarantees to callers and targets, and against gateways that don't recover after the last
// fault.
func TestSoak(t *testing.T) {
	if *fullSize {
		t.Skip("-full")
	}
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { runSeed(t, r.seed, smallSite(), *faultTime) })
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, seed, smallSite(), *faultTime) })
	}
}

// fullSizeRegressions are seeds that failed before on sites of the users' size, with the
// cause and the time for which faults were injected.
var fullSizeRegressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{402, 40 * time.Second, "a retry ratio lowered by a settings reload had no effect; refusals cleared suspicion of requests that crash targets"},
}

// Like TestSoak, on sites of the users' size and under faults that cause extra dispatches
// (retries and hedges).
func TestSoakOfRepeats(t *testing.T) {
	if !*fullSize {
		for _, r := range fullSizeRegressions {
			t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { runSeed(t, r.seed, fullSizeSite(), r.length) })
		}
		return
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		p := largeSite()
		for _, e := range targetEnds {
			p.ends = append(p.ends, e.end)
		}
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, seed, p, *faultTime) })
	}
}

const (
	// warmupTime is how long clients send requests before the first fault.
	warmupTime = 2 * time.Second
	// recoveryTime is the time that the site has to recover after the last fault.
	recoveryTime = 6 * time.Second
	// observationTime is how long the recovered site is observed.
	observationTime = 2 * time.Second
)

// runSeed runs the schedule of one seed and injects faults for the duration d.
func runSeed(t *testing.T, seed uint64, p profile, d time.Duration) {
	s := newSite(t, seed, p)
	clientLoad := s.startClients()
	time.Sleep(warmupTime)
	s.lowerRetryRatio()
	s.injectFaults(rand.New(rand.NewPCG(seed, 1)), d)
	time.Sleep(recoveryTime)
	recovered := time.Now()
	time.Sleep(observationTime)
	attempts := clientLoad.stop()
	c := newChecker(s, attempts)
	c.checkAll(recovered)
	if p.boundsMemory {
		c.checkMemory()
	}
	t.Logf("%d requests, %d served, %d runs, %d faults, peak values: %+v", len(attempts), c.served, c.runCount, s.faultCount, c.peaks)
	for _, v := range c.violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if t.Failed() {
		s.report()
	}
}
