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
type viewed struct {
	budget *call.Budget
	total  float64 // requests per second at all entries, as last received; 0 if never
	mean   float64 // requests per second at this entry
	until  int     // tick until which it is cut off from the others
	aged   int     // tick at which its budget last aged
}

// budgetSimulation simulates a site of entries in virtual time.
type budgetSite struct {
	rnd     *rand.Rand
	bounds  platform.Bounds
	entries []*viewed
	owners  []int // entries that callers are sent to
	rate    float64
	failing bool
	sent    []int // requests, by tick
	repeats []int // retries, by tick
}

const ticksPerSecond = int(time.Second / tickPeriod)

func newBudgetSite(seed uint64) *budgetSite {
	s := &budgetSite{rnd: rand.New(rand.NewPCG(seed, 7)), bounds: platform.Bounds{RetryShare: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}}
	for range 13 {
		s.entries = append(s.entries, s.start(0))
	}
	s.rate = 20 + 150*s.rnd.Float64()
	s.deal()
	return s
}

func (s *budgetSite) start(tick int) *viewed {
	return &viewed{budget: retryBudget(s.bounds), aged: tick}
}

// reassign picks new owners at random.
func (s *budgetSite) deal() { s.owners = s.rnd.Perm(len(s.entries))[:2+s.rnd.IntN(4)] }

// disturb makes one random change: the rate, the owners, an entry's isolation or restart,
// or whether all targets fail.
func (s *budgetSite) disturb(tick int) {
	e := s.rnd.IntN(len(s.entries))
	switch s.rnd.IntN(6) {
	case 0:
		s.rate = 20 + 300*s.rnd.Float64()
	case 1:
		s.deal()
	case 2:
		s.entries[e].until = tick + s.rnd.IntN(6*ticksPerSecond)
	case 3:
		s.entries[e] = s.start(tick)
	case 4:
		s.failing = true
	case 5:
		s.failing = false
	}
}

// tick simulates the time between two ticks of the control loops.
func (s *budgetSite) tick(tick int) {
	s.sent, s.repeats = append(s.sent, 0), append(s.repeats, 0)
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
			s.repeats[tick]++
		}
	}
	for i, e := range s.entries {
		e.mean += (float64(received[i]*ticksPerSecond) - e.mean) / 4
		if tick >= e.until && s.rnd.IntN(3) == 0 { // a report takes some ticks to arrive
			e.total = s.rate
		}
		s.share(e, tick)
	}
}

// share sets and ages an entry's budget as control.shareRetries does.
func (s *budgetSite) share(e *viewed, tick int) {
	all := max(e.total, e.mean)
	if e.total == 0 {
		all = e.mean * float64(len(s.entries))
	}
	if all > 0 {
		e.budget.SetBurst(retryBurst(s.bounds, e.mean/all))
	}
	if tick-e.aged >= int(s.bounds.RetryWindow/tickPeriod) {
		e.budget.StartPeriod()
		e.aged = tick
	}
}

// maxUsage returns the largest ratio of retries to allowed retries in any window.
func (s *budgetSite) worst() (part float64) {
	window := int(s.bounds.RetryWindow / tickPeriod)
	sum := func(counts []int, from int) (n int) {
		for i := max(from, 0); i < min(from+window, len(counts)); i++ {
			n += counts[i]
		}
		return n
	}
	for from := range len(s.sent) {
		requests := max(sum(s.sent, from), sum(s.sent, from-window), sum(s.sent, from-window/2))
		allowed := s.bounds.RetryShare*float64(requests) + float64(s.bounds.RetrySlack)
		part = max(part, float64(sum(s.repeats, from))/allowed)
	}
	return part
}

// Entries start, are cut off, gain and lose callers, and receive the total rate late, while
// targets fail from time to time. Together the entries must stay within the retry budget.
func TestRetryBudgetUnderDifferingViews(t *testing.T) {
	const seeds = 300
	worst := 0.0
	for seed := range uint64(seeds) {
		s := newBudgetSite(seed)
		for tick := range 90 * ticksPerSecond {
			if s.rnd.IntN(ticksPerSecond) == 0 {
				s.disturb(tick)
			}
			s.tick(tick)
		}
		part := s.worst()
		worst = max(worst, part)
		qt.Assert(t, part <= 1, qt.IsTrue, qt.Commentf("seed %d: %.2f of the allowed retries", seed, part))
	}
	t.Logf("at most %.2f of the allowed retries", worst)
}
