package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mostOfLimit is how many requests a target with a limit may get within limitTime.
func mostOfLimit(rate float64) int { return int(1.5*rate*limitTime.Seconds() + 5) }

// A target gets more than its limit in sum over entries that learn of it, change their
// views and take over from each other at different times.
func TestLimitUnderChangingViews(t *testing.T) {
	const seeds, entries, late = 200, 12, 900 * time.Millisecond
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
		all := make([]*limited, entries)
		for i := range all {
			all[i] = &limited{name: fmt.Sprint("e", i), ration: NewRation("target", LimitSpan), names: names}
			all[i].learns = now.Add(time.Duration(rnd.Int64N(int64(late))))
		}
		pending := make(map[int]time.Time)
		named, changed := now, now
		var arrivals []time.Time
		sent := 0
		for range 4000 {
			now = now.Add(5 * time.Millisecond)
			if now.Sub(changed) > limitTime+late && rnd.IntN(200) == 0 {
				changed, names = now, view()
				for i := range all {
					pending[i] = now.Add(time.Duration(rnd.Int64N(int64(late))))
				}
			}
			for i, at := range pending {
				if !now.Before(at) {
					all[i].sees(now, rate, names)
					delete(pending, i)
				}
			}
			for _, s := range all {
				if !s.sends(now, rate) || rnd.IntN(2) == 0 {
					continue
				}
				s.ration.Sent(now)
				// What was sent before the entry knew of the limit, or within half a
				// second of that, doesn't count.
				if now.Sub(s.learns) >= 500*time.Millisecond {
					arrivals = append(arrivals, now)
					sent++
				}
			}
			for len(arrivals) > 0 && now.Sub(arrivals[0]) > limitTime {
				arrivals = arrivals[1:]
			}
			qt.Assert(t, len(arrivals) <= mostOfLimit(rate), qt.IsTrue, qt.Commentf("seed %d, %v a second: %d of %d", seed, rate, len(arrivals), mostOfLimit(rate)))
		}
		least := int(rate * (now.Sub(named) - 2*LimitSpan).Seconds() / 4)
		qt.Assert(t, sent >= least, qt.IsTrue, qt.Commentf("seed %d, %v a second: %d of at least %d", seed, rate, sent, least))
	}
}

// limited is an entry that sends to a target with a limit.
type limited struct {
	name   string
	names  []string // of the entries that send, in its view
	learns time.Time
	knows  bool
	share  Share
	ration Ration
}

func (l *limited) sees(now time.Time, rate float64, names []string) {
	l.names = names
	if l.knows {
		senders := NewSenders(names, l.name)
		l.share = NewLimitShare(rate, senders.Len())
		l.ration.Deal(now, senders, l.share)
	}
}

// sends reports whether it sends a request now, if it has one.
func (l *limited) sends(now time.Time, rate float64) bool {
	if now.Before(l.learns) {
		return true
	}
	if !l.knows {
		l.knows = true
		l.sees(now, rate, l.names)
	}
	return l.ration.Admits(now, l.share)
}

// A limit that a share can't hold a whole request of leaves the target unused, or one
// that is rounded up breaks it.
func TestSharesOfALimit(t *testing.T) {
	for _, rate := range []float64{0.01, 0.1, 0.5, 1, 2, 2.6, 20, 999} {
		for senders := 1; senders <= 130; senders++ {
			s := NewLimitShare(rate, senders)
			sum := float64(s.Holders) / s.Gap.Seconds()
			qt.Assert(t, s.Each > 0 && s.Gap > 0 && sum <= max(rate*1.001, float64(s.Holders)/longestGap.Seconds()), qt.IsTrue, qt.Commentf("%v of %d: %v", rate, senders, s))
		}
	}
	qt.Assert(t, NewLimitShare(0, 3), qt.Equals, Share{})
	qt.Assert(t, NewLimitShare(2, 0), qt.Equals, Share{})
}
