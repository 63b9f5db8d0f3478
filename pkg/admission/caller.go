package admission

import (
	"math"
	"time"
)

// caller is what the connections from one address have in common.
type caller struct {
	address string
	conns   int
	served  float64       // requests, decaying by servedTime
	evicted float64       // connections, decaying by servedTime
	owed    time.Duration // processor time without use, decaying by owedTime
	updated time.Time
	held    float64 // byte seconds, by the latest ranking
	score   float64 // what it held then for its use
}

const (
	// servedTime and owedTime are the times in which past use and past work decay to 1/e.
	servedTime = 10 * time.Second
	owedTime   = 2 * time.Second
	// maxAbsent bounds the callers without a connection that are remembered for their work.
	maxAbsent = 4096
	// minOwed is the least processor time for which a caller without a connection is remembered.
	minOwed = 10 * time.Microsecond
	// minEvicted is the least number of evictions for which it is remembered.
	minEvicted = 0.1
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

// callerOf returns the caller with an address.
func (b *Budget) callerOf(now time.Time, address string) *caller {
	c := b.callers[address]
	if c == nil {
		c = &caller{address: address, updated: now}
		b.callers[address] = c
	}
	return c
}

// forget removes a caller without connections once it owes nothing.
func (b *Budget) forget(now time.Time, c *caller) {
	if c.conns > 0 {
		return
	}
	if c.advance(now); c.owed < minOwed && c.evicted < minEvicted {
		delete(b.callers, c.address)
	}
	if len(b.callers) <= len(b.conns)+maxAbsent {
		return
	}
	for address, o := range b.callers {
		if o.conns == 0 {
			delete(b.callers, address)
		}
	}
}
