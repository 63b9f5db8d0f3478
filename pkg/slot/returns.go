package slot

import "time"

// maxReturnDelay bounds the time after which a refused caller is asked to return.
const maxReturnDelay = 2 * time.Second

// returnDelay returns the time after which a refused caller should return. Each caller gets
// a later time than the one before, at the rate at which the queue is served. Otherwise all
// that were refused at one moment would return as one wave. Callers beyond maxReturnDelay
// are spread over the second half of that time.
func (b *Balancer) returnDelay(now time.Time, p *pendingRequest) time.Duration {
	o := b.overload
	seconds := func(work float64) time.Duration {
		return time.Duration(work / b.drainRate(now, p) * float64(time.Second))
	}
	work := 0.0
	for _, q := range b.queue {
		if q.region == p.region {
			work += q.serviceTime.Seconds()
		}
	}
	earliestReturn := now.Add(max(seconds(work)-p.serviceTime, minRetryDelay))
	o.nextReturn = latest(o.nextReturn, earliestReturn).Add(seconds(p.serviceTime.Seconds()))
	if last := now.Add(maxReturnDelay); o.nextReturn.After(last) {
		o.nextReturn = last
		return maxReturnDelay/2 + time.Duration(b.rng.Int64N(int64(maxReturnDelay/2)))
	}
	return o.nextReturn.Sub(now) + time.Duration(b.rng.Int64N(int64(p.serviceTime/4)+1))
}
