package slot

import (
	"math"
	"time"
)

// staleLoad estimates the requests of other entries at a target without a recent load report
// by the mean of those that were reported. If such targets counted as idle, each entry would
// send to them under overload, when they are full too: they would reject the requests or
// answer them late.
type staleLoad struct {
	mean float64
	at   time.Time // of the last report
}

// staleHalfLife is the age of the last report at which the estimate has halved. Without
// reports, the targets would otherwise count as full until a request was sent to them.
const staleHalfLife = 100 * time.Millisecond

// add adds a report that counts as one of this number of samples.
func (s *staleLoad) add(now time.Time, other, samples int) {
	s.mean += (float64(other) - s.mean) / float64(samples)
	s.at = now
}

// estimate returns the number of requests.
func (s *staleLoad) estimate(now time.Time) int {
	return int(math.Round(s.mean * math.Exp2(-now.Sub(s.at).Seconds()/staleHalfLife.Seconds())))
}

// estimateStale updates the estimate that is used until the next event. Without overload
// control it is 0.
func (b *Balancer) estimateStale(now time.Time) {
	b.config.staleOther = 0
	if b.overload != nil {
		b.config.staleOther = b.overload.stale.estimate(now)
	}
}
