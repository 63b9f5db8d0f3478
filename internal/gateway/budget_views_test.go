package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/platform"
)

// simulatedEntry is an entry that receives the total request rate with a random delay.
type simulatedEntry struct {
	budget        *call.Budget
	totalRate     float64 // requests per second at all entries, as last received; 0 if never
	rate          float64 // requests per second at this entry
	isolatedUntil int     // tick until which it receives no reports
	lastAged      int     // tick at which its budget last aged
}

// budgetSimulation simulates a site of entries in virtual time.
type budgetSimulation struct {
	rnd     *rand.Rand
	bounds  platform.Bounds
	entries []*simulatedEntry
	owners  []int // entries that callers are sent to
	rate    float64
	failing bool
	sent    []int // requests, by tick
	retries []int // retries, by tick
}

const ticksPerSecond = int(time.Second / tickInterval)

func newBudgetSimulation(seed uint64) *budgetSimulation {
	s := &budgetSimulation{rnd: rand.New(rand.NewPCG(seed, 7)), bounds: platform.Bounds{RetryShare: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}}
	for range 13 {
		s.entries = append(s.entries, s.start(0))
	}
	s.rate = 20 + 150*s.rnd.Float64()
	s.reassign()
	return s
}

func (s *budgetSimulation) start(tick int) *simulatedEntry {
	return &simulatedEntry{budget: retryBudget(s.bounds), lastAged: tick}
}

// reassign picks new owners at random.
func (s *budgetSimulation) reassign() { s.owners = s.rnd.Perm(len(s.entries))[:2+s.rnd.IntN(4)] }

// disturb makes one random change: the rate, the owners, an entry's isolation or restart,
// or whether all targets fail.
func (s *budgetSimulation) disturb(tick int) {
	e := s.rnd.IntN(len(s.entries))
	switch s.rnd.IntN(6) {
	case 0:
		s.rate = 20 + 300*s.rnd.Float64()
	case 1:
		s.reassign()
	case 2:
		s.entries[e].isolatedUntil = tick + s.rnd.IntN(6*ticksPerSecond)
	case 3:
		s.entries[e] = s.start(tick)
	case 4:
		s.failing = true
	case 5:
		s.failing = false
	}
}

// tick simulates the time between two ticks of the control loops.
func (s *budgetSimulation) tick(tick int) {
	s.sent, s.retries = append(s.sent, 0), append(s.retries, 0)
	received := make([]int, len(s.entries))
	for range int(s.rate / float64(ticksPerSecond)) {
		e := s.owners[s.rnd.IntN(len(s.owners))]
		received[e]++
		s.sent[tick]++
		s.entries[e].budget.CountFirst(0, 0)
		if !s.failing {
			continue
		}
		if _, ok := s.entries[e].budget.Take(0, 0, s.rnd.IntN(2) == 0); ok {
			s.retries[tick]++
		}
	}
	for i, e := range s.entries {
		e.rate += (float64(received[i]*ticksPerSecond) - e.rate) / 4
		if tick >= e.isolatedUntil && s.rnd.IntN(3) == 0 { // a report takes some ticks to arrive
			e.totalRate = s.rate
		}
		s.share(e, tick)
	}
}

// share sets and ages an entry's budget as control.shareRetries does.
func (s *budgetSimulation) share(e *simulatedEntry, tick int) {
	all := max(e.totalRate, e.rate)
	if e.totalRate == 0 {
		all = e.rate * float64(len(s.entries))
	}
	if all > 0 {
		e.budget.SetBurst(retryBurst(s.bounds, e.rate/all))
	}
	if tick-e.lastAged >= int(s.bounds.RetryWindow/tickInterval) {
		e.budget.StartPeriod()
		e.lastAged = tick
	}
}

// maxUsage returns the largest ratio of retries to allowed retries in any window. The retries
// allowed in a window depend on the requests in it, in the one before, or in the one that
// begins half a window earlier, whichever are most.
func (s *budgetSimulation) maxUsage() (usage float64) {
	window := int(s.bounds.RetryWindow / tickInterval)
	sum := func(counts []int, from int) (n int) {
		for i := max(from, 0); i < min(from+window, len(counts)); i++ {
			n += counts[i]
		}
		return n
	}
	for from := range len(s.sent) {
		requests := max(sum(s.sent, from), sum(s.sent, from-window), sum(s.sent, from-window/2))
		allowed := s.bounds.RetryShare*float64(requests) + float64(s.bounds.RetrySlack)
		usage = max(usage, float64(sum(s.retries, from))/allowed)
	}
	return usage
}

// Entries start, are isolated, gain and lose callers, and receive the total rate late, while
// targets fail from time to time. Together the entries must stay within the retry budget.
func TestRetryBudgetUnderDifferingViews(t *testing.T) {
	const seeds = 300
	worst := 0.0
	for seed := range uint64(seeds) {
		s := newBudgetSimulation(seed)
		for tick := range 90 * ticksPerSecond {
			if s.rnd.IntN(ticksPerSecond) == 0 {
				s.disturb(tick)
			}
			s.tick(tick)
		}
		usage := s.maxUsage()
		worst = max(worst, usage)
		qt.Assert(t, usage <= 1, qt.IsTrue, qt.Commentf("seed %d: %.2f of the allowed retries", seed, usage))
	}
	t.Logf("at most %.2f of the allowed retries", worst)
}
