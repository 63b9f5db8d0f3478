// Package probe keeps the cost of measuring a service's targets under its
// agreed budget: target time spent on probes in any window, over all entries
// that share the service.
package probe

import "time"

// Config is the budget of one service.
type Config struct {
	Window time.Duration // any interval of this length is held to Budget
	Budget time.Duration // target time that all entries together may spend in it
	Cost   time.Duration // target time of one probe, which is its time limit too
	Settle time.Duration // time until all entries know of a change of shares
}

// Share is one entry's part among the entries that probe a service.
type Share struct {
	Rank int // place among them, from 0
	Of   int // how many they are; zero means that this entry may not probe
}

// Budget counts whole probes. Those of one window are dealt out by rank, so
// that a budget of one probe belongs to the first entry and to no other.
type Budget struct {
	cfg    Config
	now    time.Duration // monotonic by construction, see set
	last   time.Time
	spent  []time.Duration // when the probes of the last span were sent
	count  int             // probes that may be sent in a span
	next   int             // count after the change has settled
	change time.Duration   // when next comes into force
}

// New returns a budget without a share.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// span is the time over which sent probes are counted. One Window would do,
// since two probes that start so far apart spend no more than one of them in
// any window; the second one covers a clock that steps ahead unseen by less.
func (b *Budget) span() time.Duration { return 2 * b.cfg.Window }

// set moves the budget's own clock. A clock that stepped ahead would make the
// spent probes look old and grant them again within the same window; so a step
// longer than Window counts as no time at all, and so does one back. A driver
// that asks at least once a window loses nothing by it. What is left: a clock
// that steps ahead by almost a window twice within one. Readings of Go's
// monotonic clock do not step at all.
func (b *Budget) set(now time.Time) {
	step := now.Sub(b.last)
	b.last = now
	if step > 0 && step <= b.cfg.Window {
		b.now += step
	}
	keep := 0
	for _, at := range b.spent {
		if b.now-at < b.span() {
			b.spent[keep] = at
			keep++
		}
	}
	b.spent = b.spent[:keep]
	if b.now >= b.change {
		b.count = b.next
	}
}

// whole is the number of probes that the budget pays for in one window.
func (b *Budget) whole() int {
	if b.cfg.Cost <= 0 {
		return 0
	}
	return int(b.cfg.Budget / b.cfg.Cost)
}

// Share sets this entry's part. A smaller one is in force at once; a larger
// one only when the others have surely given theirs up, since both would
// spend the same part of the budget meanwhile.
func (b *Budget) Share(now time.Time, s Share) {
	b.set(now)
	next := 0
	if s.Of > 0 && s.Rank >= 0 && s.Rank < s.Of {
		next = b.whole() / s.Of
		if s.Rank < b.whole()%s.Of {
			next++
		}
	}
	if next == b.next {
		return
	}
	b.next = next
	b.count = min(b.count, next)
	b.change = b.now + b.cfg.Settle + b.span()
}

// Take reports whether a probe may be sent now, and counts it as sent.
func (b *Budget) Take(now time.Time) bool {
	b.set(now)
	if len(b.spent) >= b.count {
		return false
	}
	b.spent = append(b.spent, b.now)
	return true
}

// Active tells whether this entry has a share, or will have one.
func (b *Budget) Active() bool { return b.count > 0 || b.next > 0 }

// Left returns how many probes could be sent now.
func (b *Budget) Left(now time.Time) int {
	b.set(now)
	return max(b.count-len(b.spent), 0)
}
