package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// callerKey identifies a caller of a class of listeners.
type callerKey struct {
	class   Class
	address string
}

// caller is what the connections from one address to a class have in common.
type caller struct {
	callerKey
	conns   int
	served  float64       // requests, decaying by servedTime
	evicted float64       // connections, decaying by servedTime
	owed    time.Duration // processor time without use, decaying by owedTime
	updated time.Time
	left    time.Time // when its last connection ended
	held    float64   // byte seconds, by the latest ranking
	score   float64   // what it held then for its use
}

const (
	// servedTime and owedTime are the times in which past use and past work decay to 1/e.
	servedTime = 10 * time.Second
	owedTime   = 2 * time.Second
	// maxAbsent bounds the callers without a connection that are remembered.
	maxAbsent = 4096
	// minOwed is the least processor time for which a caller without a connection is remembered, and
	// minCount the least number of served requests or evictions.
	minOwed  = 10 * time.Microsecond
	minCount = 0.1
)

// decay returns the part that is left of what decays in a time.
func decay(passed, scale time.Duration) float64 {
	return math.Exp(-max(passed, 0).Seconds() / scale.Seconds())
}

// advance applies the decay up to now.
func (c *caller) advance(now time.Time) {
	if passed := now.Sub(c.updated); passed > 0 {
		left := decay(passed, servedTime)
		c.served *= left
		c.evicted *= left
		c.owed = time.Duration(float64(c.owed) * decay(passed, owedTime))
		c.updated = now
	}
}

// callerOf returns the caller of a class with an address.
func (b *Budget) callerOf(now time.Time, key callerKey) *caller {
	c := b.callers[key]
	if c == nil {
		c = &caller{callerKey: key, updated: now}
		b.callers[key] = c
	}
	return c
}

// forget removes a caller without connections once its past counts no more. Callers whose use were
// forgotten between two requests would be as new as those of a crowd each time.
func (b *Budget) forget(now time.Time, c *caller) {
	if c.conns > 0 {
		return
	}
	c.left = now
	if c.advance(now); c.owed < minOwed && c.evicted < minCount && c.served < minCount {
		b.removeCaller(c)
	}
	if len(b.callers) > len(b.conns)+maxAbsent {
		b.forgetAbsent(now)
	}
}

// forgetAbsent removes half of the callers without connections, those that were served least first.
func (b *Budget) forgetAbsent(now time.Time) {
	var absent []*caller
	for _, c := range b.callers {
		if c.conns == 0 {
			c.advance(now)
			absent = append(absent, c)
		}
	}
	slices.SortFunc(absent, func(x, y *caller) int { return cmp.Compare(x.served, y.served) })
	for _, c := range absent[:len(absent)/2] {
		b.removeCaller(c)
	}
}

func (b *Budget) removeCaller(c *caller) {
	delete(b.callers, c.callerKey)
}
