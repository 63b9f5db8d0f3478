package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/platform"
)

// viewed is an entry whose word on the requests of all is as late as it happens.
type viewed struct {
	budget *call.Budget
	total  float64 // requests a second at all entries, as it was last told; 0 for no word
	mean   float64 // requests a second here
	until  int     // tick until which it is cut off from the others
	aged   int     // tick at which its budget last aged
}

// budgetSite is a site of entries in virtual time.
type budgetSite struct {
	rnd     *rand.Rand
	bounds  platform.Bounds
	entries []*viewed
	owners  []int // entries that callers are sent to
	rate    float64
	failing bool
	sent    []int // by tick
	repeats []int // by tick
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

// deal has callers sent to other entries.
func (s *budgetSite) deal() { s.owners = s.rnd.Perm(len(s.entries))[:2+s.rnd.IntN(4)] }

// disturb changes what the site is like: its rate, owners, cuts, starts, and whether all targets fail.
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

// tick plays the time between two ticks of the control loops.
func (s *budgetSite) tick(tick int) {
	s.sent, s.repeats = append(s.sent, 0), append(s.repeats, 0)
	got := make([]int, len(s.entries))
	for range int(s.rate / float64(ticksPerSecond)) {
		e := s.owners[s.rnd.IntN(len(s.owners))]
		got[e]++
		s.sent[tick]++
		s.entries[e].budget.First(0, 0)
		if !s.failing {
			continue
		}
		if _, ok := s.entries[e].budget.Take(0, 0, s.rnd.IntN(2) == 0); ok {
			s.repeats[tick]++
		}
	}
	for i, e := range s.entries {
		e.mean += (float64(got[i]*ticksPerSecond) - e.mean) / 4
		if tick >= e.until && s.rnd.IntN(3) == 0 { // word takes some ticks to come
			e.total = s.rate
		}
		s.share(e, tick)
	}
}

// share does what control.shareRetries does.
func (s *budgetSite) share(e *viewed, tick int) {
	all := max(e.total, e.mean)
	if e.total == 0 {
		all = e.mean * float64(len(s.entries))
	}
	if all > 0 {
		e.budget.SetBurst(retryBurst(s.bounds, e.mean/all))
	}
	if tick-e.aged >= int(s.bounds.RetryWindow/tickPeriod) {
		e.budget.Age()
		e.aged = tick
	}
}

// worst is the largest part of the repeats that are allowed in any window.
func (s *budgetSite) worst() (part float64) {
	window := int(s.bounds.RetryWindow / tickPeriod)
	sum := func(of []int, from int) (n int) {
		for i := max(from, 0); i < min(from+window, len(of)); i++ {
			n += of[i]
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

// Entries start, are cut off, get and lose their callers, and hear late of what all get, while
// targets fail by turns. Together they keep to the budget of the service.
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
		qt.Assert(t, part <= 1, qt.IsTrue, qt.Commentf("seed %d: %.2f of the repeats that are allowed", seed, part))
	}
	t.Logf("at most %.2f of the repeats that are allowed", worst)
}
