package pool

import "time"

const queueIntervalWeight = 1.0 / 64

// queueInterval is the mean time between completions while requests are queued: the time
// in which the queue advances by one request, including the effect of other entries that
// use the same targets. One sample counts for at most the mean service time, the interval
// of a single slot. Otherwise a pause of all targets would make the pool refuse every
// request, and the mean would never recover, because it is measured only while requests
// are queued.
type queueInterval struct {
	mean      float64 // nanoseconds; zero until measured
	lastDone  time.Duration
	wasQueued bool // requests were queued at the last completion
}

// observe records a completion. limit is the largest sample that counts.
func (q *queueInterval) observe(now time.Duration, queued bool, limit time.Duration) {
	if q.wasQueued && queued {
		interval := float64(min(now-q.lastDone, limit))
		if q.mean == 0 {
			q.mean = interval
		}
		q.mean += queueIntervalWeight * (interval - q.mean)
	}
	q.lastDone, q.wasQueued = now, queued
}

// expectedWait returns the expected wait of a request that is queued now.
func (p *Pool[P]) expectedWait(idempotent bool) time.Duration {
	interval := p.queueInterval.mean
	if interval == 0 {
		slots := 0
		for _, m := range p.members {
			if !m.excluded && !m.ejected {
				slots += m.Slots
			}
		}
		interval = float64(p.latencies.Mean(p.cfg.InitialServiceTime)) / float64(max(slots, 1))
	}
	return time.Duration(interval * float64(p.queue.countAhead(idempotent)+1))
}

// admit decides whether a request may be queued. A request that would miss its deadline
// is refused immediately: it has not run, and its caller still has time to go elsewhere.
func (p *Pool[P]) admit(w queuedRequest) (reason Reason, wait time.Duration) {
	wait = p.expectedWait(w.Idempotent)
	switch {
	case p.queue.len() >= p.cfg.MaxQueue || wait > p.cfg.MaxWait:
		return QueueFull, wait
	case p.now+wait+p.expectedServiceTime() > w.due:
		return TooLate, wait
	}
	return NoRefusal, 0
}

// expectedServiceTime returns the median response time. With less time left, a request
// can't expect a response.
func (p *Pool[P]) expectedServiceTime() time.Duration {
	return p.latencies.Median(p.cfg.InitialServiceTime)
}
