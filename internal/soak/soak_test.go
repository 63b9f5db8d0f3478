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
	seeds    = flag.Int("seeds", 3, "how many seeds are played, one after the other")
	length   = flag.Duration("time", 12*time.Second, "how long faults are injected")
	big      = flag.Bool("full", false, "play sites of the users' size under faults that bring repeats, in place of small ones")
	built    = flag.String("program", "", "program to run in place of one built from these sources")
	gateways = flag.Int("gateways", 4, "gateway processes")
	targets  = flag.Int("targets", 6, "targets")
	clients  = flag.Int("clients", 10, "clients")
)

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{141, "a gateway that was started with bad settings was not started again, as the platform does"},
}

// Faults come in series and overlap while clients send. No promise is broken, and all is
// well soon after the last one.
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

// regressionsOfRepeats are seeds that failed once on sites of the users' size, with the cause
// and how long faults were injected then.
var regressionsOfRepeats = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{402, 40 * time.Second, "a ratio that a reload lowers bound nothing; refusals cleared requests that crash targets"},
}

// The same on sites of the users' size, under faults that bring repeats.
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
	// warmTime is how long clients send before the first fault.
	warmTime = 2 * time.Second
	// healTime is how long after the last fault all has to be well, and wellTime for how
	// long that is watched.
	healTime = 6 * time.Second
	wellTime = 2 * time.Second
)

// play plays one seed, with faults for so long.
func play(t *testing.T, seed uint64, p profile, d time.Duration) {
	s := newSite(t, seed, p)
	load := s.startClients()
	time.Sleep(warmTime)
	s.lowerRatio()
	s.injectFaults(rand.New(rand.NewPCG(seed, 1)), d)
	time.Sleep(healTime)
	well := time.Now()
	time.Sleep(wellTime)
	attempts := load.stop()
	c := newCheck(s, attempts)
	c.all(well)
	t.Logf("%d requests, %d served, %d runs, %d faults, at most: %+v", len(attempts), c.served, c.ran, s.injected, c.most)
	for _, b := range c.broken {
		t.Errorf("seed %d: %s", seed, b)
	}
	if t.Failed() {
		s.report()
	}
}
