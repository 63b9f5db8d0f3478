package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	first    = flag.Uint64("first", 1, "first seed")
	seeds    = flag.Int("seeds", 3, "number of seeds to run, one after the other")
	length   = flag.Duration("time", 12*time.Second, "how long faults are injected for")
	big      = flag.Bool("full", false, "run sites of the users' size under faults that cause retries and hedges, instead of small ones")
	built    = flag.String("program", "", "program to run instead of one built from these sources")
	gateways = flag.Int("gateways", 4, "number of gateway processes")
	targets  = flag.Int("targets", 6, "number of targets")
	clients  = flag.Int("clients", 10, "number of clients")
)

// regressions are seeds that failed before, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{141, "a gateway that exited because of invalid settings was not restarted, as the platform does"},
}

// Injects overlapping faults while clients send requests. Guards against violations of the
// guarantees to callers and targets, and against gateways that don't recover after the last
// fault.
func TestSoak(t *testing.T) {
	if *big {
		t.Skip("-full")
	}
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { play(t, r.seed, small(), *length) })
	}
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { play(t, seed, small(), *length) })
	}
}

// fullSizeRegressions are seeds that failed before on sites of the users' size, with the
// cause and the time for which faults were injected.
var regressionsOfRepeats = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{402, 40 * time.Second, "a retry ratio lowered by a settings reload had no effect; refusals cleared suspicion of requests that crash targets"},
}

// Like TestSoak, on sites of the users' size and under faults that cause extra dispatches
// (retries and hedges).
func TestSoakOfRepeats(t *testing.T) {
	if !*big {
		for _, r := range regressionsOfRepeats {
			t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { play(t, r.seed, full(), r.length) })
		}
		return
	}
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { play(t, seed, full(), *length) })
	}
}

const (
	// warmupTime is how long clients send requests before the first fault.
	warmTime = 2 * time.Second
	// recoveryTime is the time that the site has to recover after the last fault.
	healTime = 6 * time.Second
	// observationTime is how long the recovered site is observed.
	wellTime = 2 * time.Second
)

// runSeed runs the schedule of one seed and injects faults for the duration d.
func play(t *testing.T, seed uint64, p profile, d time.Duration) {
	s := newSite(t, seed, p)
	clientLoad := s.startClients()
	time.Sleep(warmTime)
	s.lowerRatio()
	s.injectFaults(rand.New(rand.NewPCG(seed, 1)), d)
	time.Sleep(healTime)
	recovered := time.Now()
	time.Sleep(wellTime)
	attempts := clientLoad.stop()
	c := newCheck(s, attempts)
	c.all(recovered)
	t.Logf("%d requests, %d served, %d runs, %d faults, peak values: %+v", len(attempts), c.served, c.ran, s.injected, c.most)
	for _, v := range c.broken {
		t.Errorf("seed %d: %s", seed, v)
	}
	if t.Failed() {
		s.report()
	}
}
