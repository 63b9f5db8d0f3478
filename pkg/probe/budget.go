// Package probe keeps the cost of probing a service's targets within a budget: the target
// time that all entries of the service together spend on probes in any window.
package probe

import "time"

// Config is the budget of one service.
type Config struct {
	Window time.Duration // Budget applies to every interval of this length
	Budget time.Duration // target time that all entries together may spend in it
	Cost   time.Duration // target time of one probe, and its timeout
	Settle time.Duration // time until all entries know of a change of shares
}

// Share is one entry's share among the entries that probe a service.
type Share struct {
	Rank int // position among these entries, from 0
	Of   int // number of these entries; zero means that this entry may not probe
}

// Budget counts whole probes. The probes of a window are divided by rank, so that a budget
// of one probe belongs to the first entry only.
type Budget struct {
	cfg    Config
	now    time.Duration // monotonic, see advance
	last   time.Time
	spent  []time.Duration // when the probes of the last span were sent
	count  int             // probes that may be sent in a span
	next   int             // limit after the change takes effect
	change time.Duration   // when nextLimit takes effect
}

// New returns a budget without a share.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// span returns the time for which a sent probe counts. One Window would be enough for an
// exact clock: two probes that start so far apart spend no more than the cost of one of them
// in any window. The second Window covers an undetected forward step of the clock by less
// than a Window.
func (b *Budget) span() time.Duration { return 2 * b.cfg.Window }

// advance moves the budget's own clock. A clock that steps forward would make sent probes
// look old, and as many could be sent again within the same window. A step longer than
// Window therefore counts as no time at all, and so does a step back. A caller that uses the
// budget at least once per window loses nothing by that. A clock that steps forward twice
// within one window by almost a window isn't covered. Go's monotonic clock readings don't
// step.
func (b *Budget) set(now time.Time) {
	step := now.Sub(b.last)
	b.last = now
	if step > 0 && step <= b.cfg.Window {
		b.now += step
	}
	kept := 0
	for _, at := range b.spent {
		if b.now-at < b.span() {
			b.spent[kept] = at
			kept++
		}
	}
	b.spent = b.spent[:kept]
	if b.now >= b.change {
		b.count = b.next
	}
}

// probesPerWindow returns the number of whole probes that the budget allows in one window.
func (b *Budget) whole() int {
	if b.cfg.Cost <= 0 {
		return 0
	}
	return int(b.cfg.Budget / b.cfg.Cost)
}

// SetShare sets this entry's share. A smaller share takes effect at once. A larger one takes
// effect when the other entries have given up theirs, since both would spend the same part
// of the budget until then.
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

// Active reports whether this entry has a share or will have one.
func (b *Budget) Active() bool { return b.count > 0 || b.next > 0 }

// Remaining returns the number of probes that may be sent now.
func (b *Budget) Left(now time.Time) int {
	b.set(now)
	return max(b.count-len(b.spent), 0)
}
