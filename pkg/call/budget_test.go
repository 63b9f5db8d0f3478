package call

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	treeLevels = 29
	maxSent    = 5000 // per level, far above the limit; ends a test whose retries multiply
)

// callTree is a call tree with one nested call at each level. Its targets fail at random
// with the given probabilities.
type callTree struct {
	budgets     [treeLevels]*Budget
	sent        [treeLevels]int
	first       [treeLevels]int
	rng         *rand.Rand
	failureRate float64 // probability that a dispatch fails
	notRunRate  float64 // probability that a failed dispatch did not run
}

// request runs one request at a level and reports whether a target responded.
func (s *callTree) request(depth, attempt int) (answered bool) {
	if depth == treeLevels {
		return true
	}
	c := New(Config{Budget: s.budgets[depth], MaxDispatches: MaxDispatches})
	acts := c.Arrive(start, Arrival{Deadline: start.Add(time.Second), Idempotent: true, Attempt: attempt, Depth: depth})
	for !c.State().Final() {
		var next Actions
		for _, a := range acts.All() {
			switch a.Kind {
			case ActionAcquire:
				next = c.Choose(start, Choice{Target: "t"})
			case ActionDispatch:
				next = s.dispatch(&c, depth, a)
			}
		}
		acts = next
	}
	return c.State() == Answered
}

func (s *callTree) dispatch(c *Call, depth int, a Action) Actions {
	s.sent[depth]++
	if s.sent[depth] > maxSent {
		return c.Fail(start, Failed{Dispatch: a.Dispatch})
	}
	if a.Dispatch == 0 && a.Attempt == 0 {
		s.first[depth]++
	}
	if s.rng.Float64() < s.failureRate {
		ran := MayHaveRun
		if s.rng.Float64() < s.notRunRate {
			ran = DidNotRun
		} else {
			s.request(depth+1, a.Attempt)
		}
		return c.Fail(start, Failed{Dispatch: a.Dispatch, Stage: StageSent, Execution: ran, Replayable: true})
	}
	if !s.request(depth+1, a.Attempt) {
		return c.ReceiveHead(start, ResponseHead{Dispatch: a.Dispatch, Status: 503, Replayable: true})
	}
	return c.ReceiveHead(start, ResponseHead{Dispatch: a.Dispatch, Status: 200})
}

// Targets fail at every level at once, and every entry wants to retry. At each level,
// retries must add at most 10 % to the requests. With one retry at each of 29 levels, the
// deepest level would get hundreds of times as many.
func TestBudgetLimitsCallTree(t *testing.T) {
	tests := []struct {
		name       string
		bad, clean float64
	}{
		{"all may have run", 1, 0},
		{"none ran", 1, 1},
		{"half of each", 1, 0.5},
		{"one in five fails", 0.2, 0.5},
		{"one in a hundred fails", 0.01, 0.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := callTree{rng: rand.New(rand.NewPCG(1, 2)), failureRate: tt.bad, notRunRate: tt.clean}
			for i := range s.budgets {
				s.budgets[i] = NewBudget(BudgetConfig{})
			}
			for range 2000 {
				s.request(0, 0)
			}
			c.Assert(s.sent[0] > s.first[0], qt.IsTrue, qt.Commentf("nothing was tried again"))
			for depth := range treeLevels {
				c.Assert(float64(s.sent[depth]) <= 1.1*float64(s.first[depth]), qt.IsTrue,
					qt.Commentf("depth %d: %d sent, %d first", depth, s.sent[depth], s.first[depth]))
			}
		})
	}
}

// A hedge, or a retry after a dispatch that may have run, executes the call tree below it
// again. It gets no token at a level beyond the limit, nor for a request that is itself
// such an extra dispatch, however many tokens are available. A retry after a dispatch that
// did not run gets a token at any level.
func TestBudgetDeniesToken(t *testing.T) {
	tests := []struct {
		depth, attempt int
		clean, want    bool
	}{
		{0, 0, false, true},
		{1, 0, false, true},
		{2, 0, false, false},
		{28, 0, false, false},
		{0, 1, false, false},
		{1, 3, false, false},
		{28, 3, true, true},
	}
	for _, tt := range tests {
		b := NewBudget(BudgetConfig{Levels: 2})
		for range 1000 {
			b.CountFirst(0, 0)
			b.CountFirst(1, 0)
		}
		_, ok := b.Take(tt.depth, tt.attempt, tt.clean)
		qt.Check(t, ok, qt.Equals, tt.want, qt.Commentf("%+v", tt))
	}
}

// In any order of first dispatches, takes and returns, the tokens taken never exceed
// the share of first dispatches.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(BudgetConfig{Levels: rapid.IntRange(1, 3).Draw(t, "levels")})
		first, taken := 0, 0
		var tokens []Token
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			depth := rapid.IntRange(0, 4).Draw(t, "depth")
			attempt := rapid.IntRange(0, 1).Draw(t, "attempt")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if n := len(tokens); n > 0 {
					b.Return(tokens[n-1])
					tokens = tokens[:n-1]
					taken--
				}
			case 1, 2:
				if token, ok := b.Take(depth, attempt, rapid.Bool().Draw(t, "clean")); ok {
					tokens = append(tokens, token)
					taken++
				}
			default:
				b.CountFirst(depth, attempt)
				first += 1 - attempt
			}
			if float64(taken) > defaultRetryShare*float64(first) {
				t.Fatalf("%d taken of %d first dispatches", taken, first)
			}
		}
	})
}

func BenchmarkCall(b *testing.B) {
	budget := NewBudget(BudgetConfig{})
	suspects := NewSuspects(SuspectsConfig{})
	suspects.RecordCrash(start, 1, "a", start)
	b.ReportAllocs()
	for b.Loop() {
		fp := Fingerprint("gown-catalogue", "GET", "/gowns", "size=12", 0)
		c := New(Config{Budget: budget})
		c.Arrive(start, Arrival{
			Deadline: start.Add(time.Second), Idempotent: true, HedgeDelay: time.Millisecond,
			QuarantineRemaining: suspects.QuarantineRemaining(start, fp),
		})
		c.Choose(start, Choice{Target: "10.0.0.1:80"})
		c.ReceiveHead(start, ResponseHead{Status: 200})
		c.ReceiveEnd(start, ResponseEnd{Complete: true})
		suspects.RecordResponse(start, fp)
	}
}

// The capacity shrinks while the bucket is full. The tokens beyond it must be dropped:
// otherwise an entry whose callers moved to another one could spend them in addition to
// the tokens of that entry.
func TestSetBurst(t *testing.T) {
	b := NewBudget(BudgetConfig{RetryShare: 1, Burst: 10})
	for range 100 {
		b.CountFirst(0, 0)
	}
	b.SetBurst(3)
	n := 0
	for {
		if _, ok := b.Take(0, 0, false); !ok {
			break
		}
		n++
	}
	qt.Assert(t, n, qt.Equals, 3)
	b.SetBurst(5)
	for range 100 {
		b.CountFirst(0, 0)
	}
	for range 5 {
		_, ok := b.Take(0, 0, true)
		qt.Assert(t, ok, qt.IsTrue)
	}
}

// Hundreds of entries may each save up less than one token. If each were given a whole one,
// together they would exceed what all may save up; if none were, no request could be
// retried.
func TestPartsOfTokens(t *testing.T) {
	const entries, firsts, share = 200, 50, 0.2
	tests := []struct {
		name  string
		burst float64 // of each entry's bucket
		fills int     // first dispatches of each entry before the outage
	}{
		{"no burst", 0, firsts},
		{"a tenth", 0.1, firsts},
		{"nine tenths", 0.9, firsts},
		{"not filled", 0.9, 0},
	}
	for _, tt := range tests {
		rnd := rand.New(rand.NewPCG(1, 2))
		taken, saved := 0, 0
		for range entries {
			b := NewBudget(BudgetConfig{RetryShare: share, Rand: rnd.Float64})
			b.SetBurst(tt.burst)
			for range tt.fills {
				b.CountFirst(0, 0)
			}
			for range 4 {
				if _, ok := b.Take(0, 0, true); ok {
					saved++
				}
			}
			for range firsts {
				b.CountFirst(0, 0)
				if _, ok := b.Take(0, 0, true); ok {
					taken++
				}
			}
		}
		mostSaved := 2 * tt.burst * entries
		if tt.fills == 0 {
			mostSaved = 0
		}
		qt.Assert(t, float64(saved) <= 1.3*mostSaved, qt.IsTrue, qt.Commentf("%s: %d saved up, of %g", tt.name, saved, mostSaved))
		most := share * entries * firsts
		qt.Assert(t, float64(taken) <= 1.05*most, qt.IsTrue, qt.Commentf("%s: %d of %g", tt.name, taken, most))
		if tt.burst > 0 {
			qt.Assert(t, float64(taken) >= 0.6*share*entries*firsts, qt.IsTrue, qt.Commentf("%s: %d of %g", tt.name, taken, most))
		}
	}
}

// A changed share applies to all tokens that are added from then on.
func TestSetRetryShare(t *testing.T) {
	const firsts = 1000
	tests := []struct {
		name  string
		share float64
		most  int
	}{
		{"lowered", 0.2, 200},
		{"none", 0, 0},
		{"raised", 1, 1000},
	}
	for _, tt := range tests {
		b := NewBudget(BudgetConfig{RetryShare: 0.5, Burst: 1})
		b.SetRetryShare(tt.share)
		spent := 0
		for range firsts {
			b.CountFirst(0, 0)
			for range 2 {
				if _, ok := b.Take(0, 0, true); ok {
					spent++
				}
			}
		}
		qt.Assert(t, spent <= tt.most, qt.IsTrue, qt.Commentf("%s: %d of %d", tt.name, spent, tt.most))
		qt.Assert(t, spent >= tt.most*9/10, qt.IsTrue, qt.Commentf("%s: %d of %d", tt.name, spent, tt.most))
	}
}

// Tokens can be used in the period they were added in and in the next one, not later.
func TestTokensExpire(t *testing.T) {
	tests := []struct {
		name    string
		periods int // started since the tokens were added
		more    int // first dispatches after each of them
		spent   int
	}{
		{"same period", 0, 0, 10},
		{"next period", 1, 0, 10},
		{"the one after", 2, 0, 0},
		{"few since", 2, 10, 4},
		{"many since", 5, 100, 10},
	}
	for _, tt := range tests {
		b := NewBudget(BudgetConfig{RetryShare: 0.2, MayHaveRunShare: 0.5, Burst: 5})
		for range 1000 {
			b.CountFirst(0, 0)
		}
		for range tt.periods {
			b.StartPeriod()
			for range tt.more {
				b.CountFirst(0, 0)
			}
		}
		spent := 0
		for range 100 {
			if _, ok := b.Take(0, 0, true); ok {
				spent++
			}
		}
		qt.Assert(t, spent, qt.Equals, tt.spent, qt.Commentf("%s", tt.name))
	}
}

// In any sequence of operations, a bucket holds neither more than its capacity nor less
// than zero.
func TestBucketProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b bucket
		most := int64(maxBurst) * tokenParts
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			before := b.total()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				n := rapid.Int64Range(0, 3*tokenParts).Draw(t, "n")
				b.add(n, most)
				if b.total() != min(before+n, most) && before <= most {
					t.Fatalf("%d and %d make %d of at most %d", before, n, b.total(), most)
				}
			case 1:
				draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
				granted := b.take(most, func() float64 { return draw })
				if most >= tokenParts && granted != (before >= tokenParts) {
					t.Fatalf("%d", before)
				}
				if most < tokenParts && (granted != (draw*tokenParts < float64(before)) || b.total() != 0) {
					t.Fatalf("%d of less than a token, drew %g, %d left", before, draw, b.total())
				}
			case 2:
				most = rapid.Int64Range(1, maxBurst*tokenParts).Draw(t, "most")
				b.limit(most)
			default:
				b.startPeriod()
			}
			if s := unpack(b.state.Load()); s.previous < 0 || s.current < 0 || s.total() > most {
				t.Fatalf("%+v of at most %d", s, most)
			}
		}
	})
}
