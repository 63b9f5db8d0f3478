package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxInLimitWindow returns how many requests a target with a limit may get within
// limitWindow.
func maxInLimitWindow(rate float64) int { return int(1.5*rate*limitWindow.Seconds() + 5) }

// Entries learn of a limit, change their views of the senders and take over shares at
// different times. Within limitWindow, the target must not get more than maxInLimitWindow
// requests from all of them together, and a quarter of the limit must stay usable.
func TestLimitUnderChangingViews(t *testing.T) {
	const seeds, entries, maxDelay = 200, 12, 900 * time.Millisecond
	rates := []float64{0.1, 0.5, 1, 1.9, 2.6, 7, 20, 150}
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 17))
		rate := rates[rnd.IntN(len(rates))]
		now := time.Unix(9, 0)
		view := func() (names []string) {
			for i := range 1 + rnd.IntN(entries) {
				names = append(names, fmt.Sprint("e", i))
			}
			return names
		}
		names := view()
		senders := make([]*limitedSender, entries)
		for i := range senders {
			senders[i] = &limitedSender{name: fmt.Sprint("e", i), limiter: NewLimiter("target", LimitSpan), names: names}
			senders[i].limitKnownAt = now.Add(time.Duration(rnd.Int64N(int64(maxDelay))))
		}
		pending := make(map[int]time.Time)
		began, changed := now, now
		var arrivals []time.Time
		sent := 0
		for range 4000 {
			now = now.Add(5 * time.Millisecond)
			if now.Sub(changed) > limitWindow+maxDelay && rnd.IntN(200) == 0 {
				changed, names = now, view()
				for i := range senders {
					pending[i] = now.Add(time.Duration(rnd.Int64N(int64(maxDelay))))
				}
			}
			for i, at := range pending {
				if !now.Before(at) {
					senders[i].setView(now, rate, names)
					delete(pending, i)
				}
			}
			for _, s := range senders {
				if !s.maySend(now, rate) || rnd.IntN(2) == 0 {
					continue
				}
				s.limiter.RecordSent(now)
				// Requests that were sent before the entry knew of the limit, or within
				// 500 ms after that, don't count.
				if now.Sub(s.limitKnownAt) >= 500*time.Millisecond {
					arrivals = append(arrivals, now)
					sent++
				}
			}
			for len(arrivals) > 0 && now.Sub(arrivals[0]) > limitWindow {
				arrivals = arrivals[1:]
			}
			qt.Assert(t, len(arrivals) <= maxInLimitWindow(rate), qt.IsTrue, qt.Commentf("seed %d, %v a second: %d of %d", seed, rate, len(arrivals), maxInLimitWindow(rate)))
		}
		minSent := int(rate * (now.Sub(began) - 2*LimitSpan).Seconds() / 4)
		qt.Assert(t, sent >= minSent, qt.IsTrue, qt.Commentf("seed %d, %v a second: %d of at least %d", seed, rate, sent, minSent))
	}
}

// limitedSender is an entry that sends to a target with a limit.
type limitedSender struct {
	name         string
	names        []string // senders in this entry's view
	limitKnownAt time.Time
	limitKnown   bool
	share        Share
	limiter      Limiter
}

func (l *limitedSender) setView(now time.Time, rate float64, names []string) {
	l.names = names
	if l.limitKnown {
		senders := NewSenders(names, l.name)
		l.share = NewLimitShare(rate, senders.Len())
		l.limiter.Update(now, senders, l.share)
	}
}

// maySend reports whether the entry may send a request now.
func (l *limitedSender) maySend(now time.Time, rate float64) bool {
	if now.Before(l.limitKnownAt) {
		return true
	}
	if !l.limitKnown {
		l.limitKnown = true
		l.setView(now, rate, l.names)
	}
	return l.limiter.Allows(now, l.share)
}

// The share of a low limit may come to less than one request. Rounded down, it would leave
// the target unused; rounded up, it would exceed the limit.
func TestLimitShares(t *testing.T) {
	for _, rate := range []float64{0.01, 0.1, 0.5, 1, 2, 2.6, 20, 999} {
		for senders := 1; senders <= 130; senders++ {
			s := NewLimitShare(rate, senders)
			sum := float64(s.Holders) / s.MinInterval.Seconds()
			qt.Assert(t, s.PerHolder > 0 && s.MinInterval > 0 && sum <= max(rate*1.001, float64(s.Holders)/maxInterval.Seconds()), qt.IsTrue, qt.Commentf("%v of %d: %v", rate, senders, s))
		}
	}
	qt.Assert(t, NewLimitShare(0, 3), qt.Equals, Share{})
	qt.Assert(t, NewLimitShare(2, 0), qt.Equals, Share{})
}
