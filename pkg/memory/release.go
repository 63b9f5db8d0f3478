package memory

import (
	"math"
	"time"
)

// releaseRate estimates how many bytes per second are given back.
type releaseRate struct {
	bytes float64 // decays
	last  time.Time
}

// releaseWindow is the time constant of the estimate.
const releaseWindow = 2 * time.Second

func (r *releaseRate) add(now time.Time, bytes int64) {
	r.decay(now)
	r.bytes += float64(bytes)
}

func (r *releaseRate) decay(now time.Time) {
	if d := now.Sub(r.last); d > 0 {
		r.bytes *= math.Exp(-d.Seconds() / releaseWindow.Seconds())
		r.last = now
	}
}

// Bounds of the Retry-After value of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfter estimates how long the room that a body needs takes to become free.
func (b *Budget) retryAfter(now time.Time, c *allocation) time.Duration {
	b.releases.decay(now)
	perSecond := b.releases.bytes / releaseWindow.Seconds()
	if perSecond <= 0 {
		return maxRetryAfter
	}
	seconds := float64(c.held+c.need(b.usual)) / perSecond
	return time.Duration(min(max(seconds, minRetryAfter.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
}
