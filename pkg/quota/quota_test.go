package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// All holders of one view together may send at most half of a target's bound within any
// second, so that two concurrent views stay within the bound.
func TestSharesOfTwoViewsKeepTheBound(t *testing.T) {
	for most := 2; most <= 400; most++ {
		for senders := 1; senders <= 130; senders++ {
			s := NewColdShare(ColdBound{Limited: true, MaxPerSecond: most}, senders)
			sum := s.Holders * s.PerHolder
			qt.Assert(t, sum > 0 && maxViews*sum <= most, qt.IsTrue, qt.Commentf("bound %d, %d senders: %v", most, senders, s))
		}
	}
}

func TestNewColdBound(t *testing.T) {
	tests := []struct {
		name                string
		rate, factor, slack float64
		want                ColdBound
	}{
		{"no bound configured", 0, 1.5, 8, ColdBound{}},
		{"whole requests", 3.4, 1.5, 8, ColdBound{Limited: true, MaxPerSecond: 13}},
		{"less than one request", 0.1, 1, 0, ColdBound{Limited: true, MaxPerSecond: 1}},
	}
	for _, tt := range tests {
		qt.Check(t, NewColdBound(tt.rate, tt.factor, tt.slack), qt.Equals, tt.want, qt.Commentf("%s", tt.name))
	}
}

// Each entry determines on its own which targets it is a holder of. With the same view, each
// target must have as many holders as the share says, and an entry that isn't a sender must
// not be a holder.
func TestHoldersOfOneView(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("e", i))
	}
	for target := range 200 {
		holders := 0
		for _, n := range names {
			if NewSenders(names, n).IsHolder(Hash(fmt.Sprint("t", target)), 3) {
				holders++
			}
		}
		qt.Assert(t, holders, qt.Equals, 3)
		qt.Assert(t, NewSenders(names, "other").IsHolder(Hash(fmt.Sprint("t", target)), 3), qt.IsFalse)
	}
}

// Requests arrive at random. The count must never be less than the number sent within the
// span, and must be below most at the time that freeAt returns.
func TestSlidingCounterCoversSpan(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		r := newSlidingCounter(ColdSpan)
		var sent []time.Time
		now := time.Unix(50, 0)
		for range 300 {
			now = now.Add(time.Duration(rnd.IntN(1+1<<rnd.IntN(11))) * time.Millisecond)
			within := 0
			for _, at := range sent {
				if now.Sub(at) < ColdSpan {
					within++
				}
			}
			n := r.count(now)
			qt.Assert(t, n >= within, qt.IsTrue, qt.Commentf("seed %d: %d of %d", seed, n, within))
			const most = 5
			free := r.freeAt(now, most)
			qt.Assert(t, free.Sub(now) <= ColdSpan+r.bucketWidth, qt.IsTrue)
			later := r
			qt.Assert(t, later.count(free) < most, qt.IsTrue, qt.Commentf("seed %d", seed))
			r.add(now)
			sent = append(sent, now)
		}
	}
}

// coldSender is an entry with its view of the senders.
type coldSender struct {
	name  string
	share Share
	Limiter
}

func (s *coldSender) setView(now time.Time, b ColdBound, names []string) {
	view := NewSenders(names, s.name)
	s.share = NewColdShare(b, view.Len())
	s.Update(now, view, s.share)
}

// The owners of a cold target change, entries start, stop and learn of each other late, and
// half of them are isolated from the rest for seconds, while more requests arrive at each
// than it may send. The target counts the requests of all entries in each second. Above its
// bound it crashes, and callers lose the requests that it runs.
func TestColdTargetUnderChangingViews(t *testing.T) {
	const seeds, entries, maxDelay = 300, 24, 900 * time.Millisecond
	b := NewColdBound(3.4, 1.5, 8)
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		now := time.Unix(9, 0)
		senders := make([]*coldSender, entries)
		randomView := func() (names []string) {
			for i := range entries {
				if rnd.IntN(3) > 0 {
					names = append(names, fmt.Sprint("e", i))
				}
			}
			return names
		}
		halves := [2][]string{randomView(), randomView()}
		for i := range senders {
			senders[i] = &coldSender{name: fmt.Sprint("e", i), Limiter: NewLimiter("target", ColdSpan)}
			senders[i].setView(now, b, halves[0])
		}
		pending := make(map[int]time.Time) // when an entry learns of the current view
		half := func(int) int { return 0 }
		changed := now
		var arrivals []time.Time
		for range 4000 {
			now = now.Add(5 * time.Millisecond)
			// Owners change rarely; each entry learns of a change within the time of gossip.
			if now.Sub(changed) > 2*ColdSpan+maxDelay && rnd.IntN(100) == 0 {
				changed = now
				halves = [2][]string{randomView(), randomView()}
				half = func(int) int { return 0 }
				if rnd.IntN(2) == 0 {
					halves[0] = halves[0][:len(halves[0])/2]
					half = func(i int) int { return i % 2 }
				}
				for i := range senders {
					pending[i] = now.Add(time.Duration(rnd.Int64N(int64(maxDelay))))
				}
			}
			for i, at := range pending {
				if !now.Before(at) {
					senders[i].setView(now, b, halves[half(i)])
					delete(pending, i)
				}
			}
			for _, s := range senders {
				if s.Allows(now, s.share) && rnd.IntN(2) == 0 {
					s.RecordSent(now)
					arrivals = append(arrivals, now)
				}
			}
			for len(arrivals) > 0 && now.Sub(arrivals[0]) >= time.Second {
				arrivals = arrivals[1:]
			}
			qt.Assert(t, len(arrivals) <= b.MaxPerSecond, qt.IsTrue, qt.Commentf("seed %d: %d in a second", seed, len(arrivals)))
		}
	}
}
