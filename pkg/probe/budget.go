// Package probe keeps the cost of probing a service's targets within a budget: the target
// time that all entries of the service together spend on probes in any window.
package probe

import "time"

// Config is the budget of one service.
type Config struct {
	Window     time.Duration // Budget applies to every interval of this length
	Budget     time.Duration // target time that all entries together may spend in it
	Cost       time.Duration // target time of one probe, and its timeout
	SettleTime time.Duration // time until all entries know of a change of shares
}

// Share is one entry's share among the entries that probe a service.
type Share struct {
	Rank  int // position among these entries, from 0
	Count int // number of these entries; zero means that this entry may not probe
}

// Budget counts whole probes. The probes of a window are divided by rank, so that a budget
// of one probe belongs to the first entry only.
type Budget struct {
	cfg         Config
	elapsed     time.Duration // monotonic, see advance
	lastReading time.Time
	sent        []time.Duration // when the probes of the last span were sent
	limit       int             // probes that may be sent in a span
	nextLimit   int             // limit after the change takes effect
	nextLimitAt time.Duration   // when nextLimit takes effect
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
func (b *Budget) advance(now time.Time) {
	step := now.Sub(b.lastReading)
	b.lastReading = now
	if step > 0 && step <= b.cfg.Window {
		b.elapsed += step
	}
	kept := 0
	for _, at := range b.sent {
		if b.elapsed-at < b.span() {
			b.sent[kept] = at
			kept++
		}
	}
	b.sent = b.sent[:kept]
	if b.elapsed >= b.nextLimitAt {
		b.limit = b.nextLimit
	}
}

// probesPerWindow returns the number of whole probes that the budget allows in one window.
func (b *Budget) probesPerWindow() int {
	if b.cfg.Cost <= 0 {
		return 0
	}
	return int(b.cfg.Budget / b.cfg.Cost)
}

// SetShare sets this entry's share. A smaller share takes effect at once. A larger one takes
// effect only when the other entries have certainly given up theirs: until then, both would
// spend the same part of the budget.
func (b *Budget) SetShare(now time.Time, s Share) {
	b.advance(now)
	next := 0
	if s.Count > 0 && s.Rank >= 0 && s.Rank < s.Count {
		next = b.probesPerWindow() / s.Count
		if s.Rank < b.probesPerWindow()%s.Count {
			next++
		}
	}
	if next == b.nextLimit {
		return
	}
	b.nextLimit = next
	b.limit = min(b.limit, next)
	b.nextLimitAt = b.elapsed + b.cfg.SettleTime + b.span()
}

// Take reports whether a probe may be sent now, and counts it as sent.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if len(b.sent) >= b.limit {
		return false
	}
	b.sent = append(b.sent, b.elapsed)
	return true
}

// Active reports whether this entry has a share or will have one.
func (b *Budget) Active() bool { return b.limit > 0 || b.nextLimit > 0 }

// Remaining returns the number of probes that may be sent now.
func (b *Budget) Remaining(now time.Time) int {
	b.advance(now)
	return max(b.limit-len(b.sent), 0)
}
