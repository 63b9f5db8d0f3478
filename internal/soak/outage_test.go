package soak

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

var outageCondition = flag.String("condition", "", "run TestRetryBudgetInOutage and TestPoisonUnderConditions only under this condition")

const (
	// savingTime is how long gateways save up retries before an outage: the two windows
	// after which these expire, and a few seconds.
	savingTime = 2*retryBudgetWindow + 3*time.Second
	// outageTime is a little longer than the window of the retry budget.
	outageTime = retryBudgetWindow + 2*time.Second
	// poisonTime is how long a request that crashes targets is sent.
	poisonTime = 20 * time.Second
)

// condition is what gateways and clients go through besides the failure of targets.
type condition struct {
	name   string
	change func(p *profile)                               // before the start
	during func(s *site, rnd *rand.Rand, end func() bool) // from the start until end returns true
}

var conditions = []condition{
	{name: "calm"},
	{name: "restarts", during: inTurn(terminateGateway)},
	{name: "kills", during: inTurn(killGateway)},
	{name: "pauses", during: pauseInTurn},
	{name: "clients that retry at once", during: func(s *site, _ *rand.Rand, _ func() bool) { s.extraRetries.Store(3) }},
	{name: "clients at any gateway", change: func(p *profile) { p.anyGateway = true }},
	{name: "less load in the outage", during: changeLoad(100, 40)},
	{name: "far less load in the outage", during: changeLoad(300, 30)},
	{name: "more load in the outage", during: changeLoad(30, 300)},
	{name: "60 gateways", change: func(p *profile) { p.gatewayCount = 60 }},
	{name: "60 gateways, clients at any", change: func(p *profile) { p.gatewayCount, p.anyGateway = 60, true }},
	{name: "a tenth of the datagrams lost", change: func(p *profile) { p.datagramLoss = 0.1 }},
	{name: "half of the datagrams lost", change: func(p *profile) { p.datagramLoss = 0.5 }},
	{name: "nine of ten datagrams lost", change: func(p *profile) { p.datagramLoss = 0.9 }},
	noDatagrams,
	noDatagramsLessLoad,
	{name: "no datagrams, restarts", change: loseDatagrams, during: inTurn(terminateGateway)},
	{name: "no datagrams, kills", change: loseDatagrams, during: inTurn(killGateway)},
	{name: "no datagrams, clients at any gateway", change: func(p *profile) { p.datagramLoss, p.anyGateway = 1, true }},
	{name: "two groups", change: func(p *profile) { p.groups = 2 }},
	{name: "four groups", change: func(p *profile) { p.groups = 4 }},
	{name: "isolated", change: isolate},
	{name: "isolated, less load in the outage", change: isolate, during: changeLoad(100, 40)},
}

// noDatagrams is the condition that no datagram between gateways arrives.
var noDatagrams = condition{name: "no datagrams", change: loseDatagrams}

// noDatagramsLessLoad is the same, with fewer requests in the outage than before it.
var noDatagramsLessLoad = condition{name: "no datagrams, less load in the outage", change: loseDatagrams, during: changeLoad(100, 40)}

func loseDatagrams(p *profile) { p.datagramLoss = 1 }

func isolate(p *profile) { p.groups = p.gatewayCount }

// changeLoad sets the request rate, in percent, before and in the outage.
func changeLoad(before, in int64) func(*site, *rand.Rand, func() bool) {
	return func(s *site, _ *rand.Rand, _ func() bool) {
		s.loadPercent.Store(before)
		time.Sleep(savingTime)
		s.loadPercent.Store(in)
	}
}

// inTurn injects a fault of one gateway after the other.
func inTurn(start func(*site, *rand.Rand) (string, func())) func(*site, *rand.Rand, func() bool) {
	const length = 300 * time.Millisecond
	return func(s *site, rnd *rand.Rand, end func() bool) {
		for !end() {
			_, stop := start(s, rnd)
			time.Sleep(length)
			if stop != nil {
				stop()
			}
		}
	}
}

func pauseInTurn(s *site, rnd *rand.Rand, end func() bool) {
	const length = 1500 * time.Millisecond // long enough for the others to choose other owners
	for !end() {
		g := s.gateways[1+rnd.IntN(len(s.gateways)-1)]
		g.signal(syscall.SIGSTOP)
		time.Sleep(length)
		g.signal(syscall.SIGCONT)
	}
}

// start starts a site and its clients under the condition. The returned function waits until
// the condition has ended.
func (k condition) start(t *testing.T, seed uint64, length time.Duration) (s *site, wait func()) {
	p := largeSite()
	p.initialRetryRatio = retryBudgetRatio
	if k.change != nil {
		k.change(&p)
	}
	s = newSite(t, seed, p)
	s.startClients()
	until := time.Now().Add(length)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if k.during != nil {
			k.during(s, rand.New(rand.NewPCG(seed, 8)), func() bool { return time.Now().After(until) })
		}
	}()
	return s, func() { <-done }
}

// outages are the failures that all targets have at once.
var outages = []struct {
	name  string
	fault worker.Fault
}{
	{"refusals", worker.Fault{Shed: true}},
	{"errors", worker.Fault{Fail: true}},
}

// All targets fail at once after the gateways have saved up retries. Guards against gateways
// that together send more extra dispatches than the retry budget allows.
func TestRetryBudgetInOutage(t *testing.T) {
	if !*fullSize {
		t.Skip("by hand, with -full")
	}
	for _, k := range conditions {
		for _, o := range outages {
			if *outageCondition == "" || *outageCondition == k.name {
				t.Run(k.name+"/"+o.name, func(t *testing.T) { runOutage(t, *firstSeed, k, o.fault) })
			}
		}
	}
}

// No datagram between gateways arrives, though they reach each other by TCP. Guards against
// gateways of which each takes itself for the only one, with half of the retry budget.
func TestRetryBudgetWithoutDatagrams(t *testing.T) {
	if *fullSize {
		t.Skip("-full")
	}
	runOutage(t, 1, noDatagramsLessLoad, worker.Fault{Shed: true})
}

func runOutage(t *testing.T, seed uint64, k condition, f worker.Fault) {
	s, wait := k.start(t, seed, savingTime+outageTime)
	time.Sleep(savingTime)
	s.logf("all targets fail")
	setFaults(s.targetsWhere(func(*target) bool { return true }), func(*http.Request) worker.Fault { return f })
	time.Sleep(outageTime)
	wait()
	c := newChecker(s, s.load.stop())
	for _, sv := range s.services {
		c.checkRetryBudget(sv)
	}
	c.finish(seed)
}

// Under each condition, a request that crashes targets is sent all the time. Guards against
// gateways that don't learn of the crashes that others have seen.
func TestPoisonUnderConditions(t *testing.T) {
	if !*fullSize {
		t.Skip("by hand, with -full")
	}
	for _, k := range conditions {
		if *outageCondition == "" || *outageCondition == k.name {
			t.Run(k.name, func(t *testing.T) { runPoison(t, *firstSeed, k) })
		}
	}
}

// No datagram between gateways arrives, though they reach each other by TCP. Guards against
// a request that crashes targets through one gateway after the other.
func TestQuarantineWithoutDatagrams(t *testing.T) {
	if *fullSize {
		t.Skip("-full")
	}
	runPoison(t, 1, noDatagrams)
}

func runPoison(t *testing.T, seed uint64, k condition) {
	s, wait := k.start(t, seed, poisonTime)
	_, stop := sendPoison(s, rand.New(rand.NewPCG(seed, 9)))
	time.Sleep(poisonTime)
	stop()
	wait()
	c := newChecker(s, s.load.stop())
	c.checkPoison()
	c.finish(seed)
}

// finish reports the result of the checks.
func (c *checker) finish(seed uint64) {
	t := c.site.t
	t.Logf("%d requests, %d runs, peak values: %+v", len(c.attempts), c.runCount, c.peaks)
	for _, v := range c.violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if t.Failed() {
		c.site.report()
	}
}
