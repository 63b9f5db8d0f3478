package pool

import "time"

const gapWeight = 1.0 / 64

// gap is the mean time between answers while requests are queued: the pace at
// which the queue moves, whoever else uses the targets. One sample counts for at
// most the mean answer time, the pace of a single slot: after a pause of all
// targets a longer one would have every request refused, and as only a queue
// shows the pace, nothing would ever correct it.
type gap struct {
	mean float64 // nanoseconds; zero until measured
	last time.Duration
	busy bool
}

func (g *gap) done(now time.Duration, queued bool, most time.Duration) {
	if g.busy && queued {
		between := float64(min(now-g.last, most))
		if g.mean == 0 {
			g.mean = between
		}
		g.mean += gapWeight * (between - g.mean)
	}
	g.last, g.busy = now, queued
}

// wait is the expected time that a request queued now would wait.
func (p *Pool[P]) wait(idempotent bool) time.Duration {
	between := p.gap.mean
	if between == 0 {
		slots := 0
		for _, m := range p.members {
			if !m.left && !m.out {
				slots += m.Slots
			}
		}
		between = float64(p.curve.Mean(p.cfg.Service)) / float64(max(slots, 1))
	}
	return time.Duration(between * float64(p.queue.ahead(idempotent)+1))
}

// admit tells whether a request may be queued. Refusing here, at once, is the
// only honest answer to a request that would be given up later: it has not run
// and its caller can still go elsewhere.
func (p *Pool[P]) admit(w waiting) (reason Reason, wait time.Duration) {
	wait = p.wait(w.Idempotent)
	switch {
	case p.queue.len() >= p.cfg.MaxQueue || wait > p.cfg.MaxWait:
		return QueueFull, wait
	case p.now+wait+p.need() > w.due:
		return TooLate, wait
	}
	return NoReason, 0
}

// need is the time below which an answer can't be expected.
func (p *Pool[P]) need() time.Duration {
	return p.curve.Median(p.cfg.Service)
}
