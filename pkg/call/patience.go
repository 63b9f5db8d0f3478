package call

import (
	"sync"
	"time"
)

// Patience learns how long the callers of a route wait at first. A caller that
// comes back after a refusal says how long it still waits; what it says less
// than the others is the time that has gone by since its first attempt. It is
// safe for concurrent use.
type Patience struct {
	mu    sync.Mutex
	since time.Time
	now   time.Duration // longest in the present period
	last  time.Duration // longest in the one before
}

// patiencePeriod is the time after which the longest wait begins to be
// forgotten: callers may change.
const patiencePeriod = 10 * time.Second

// Elapsed takes how long a caller still waits, and returns how long it has been
// waiting already.
func (p *Patience) Elapsed(now time.Time, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.since) >= patiencePeriod {
		p.since, p.last, p.now = now, p.now, 0
	}
	p.now = max(p.now, left)
	return max(p.now, p.last) - left
}
