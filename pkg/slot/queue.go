package slot

import (
	"cmp"
	"slices"
	"time"
)

// reprobeInterval is the time between the probes of a queued request. Pace changes in about
// 150 ms, so a target that was probed less than 15 ms ago has little new to report.
const askAgain = 15 * time.Millisecond

// enqueue adds s to the queue and schedules its next probes.
func (b *Book) wait(now time.Time, s *seeker, out []Action) []Action {
	s.again = now.Add(askAgain)
	if s.waiting {
		return out
	}
	s.waiting = true
	i, _ := slices.BinarySearchFunc(b.queue, s, before)
	b.queue = slices.Insert(b.queue, i, s)
	return out
}

// compareQueued orders the queue by priority, then by objective, then by ID.
func before(x, y *seeker) int {
	return cmp.Or(cmp.Compare(x.Priority, y.Priority), x.Objective.Compare(y.Objective), cmp.Compare(x.ID, y.ID))
}

// queueTooLong reports whether the requests ahead of s would make it miss its objective.
func (b *Book) crowded(now time.Time, s *seeker) bool {
	serviceTime := b.usual.all.mean
	slots := b.capacity(now, s.Homes, serviceTime)
	if slots == 0 {
		slots = 1
	}
	wait := time.Duration(float64(serviceTime) * float64(b.ahead(s)+1) / slots)
	return now.Add(wait + s.usual).After(s.Objective)
}

// serveQueue dispatches queued requests to targets that have become acceptable by recent
// load reports, and decides on those that can't wait any longer.
func (b *Book) serve(now time.Time, out []Action) []Action {
	if len(b.queue) > 0 && !b.anyOpen() {
		return b.turnAway(out)
	}
	for _, s := range slices.Clone(b.queue) {
		if s.pending > 0 {
			continue
		}
		if actions, sent := b.place(now, s, out); sent {
			out = actions
			continue
		}
		if !now.Add(s.usual).Before(s.Objective) {
			out = b.settle(now, s, out)
		}
	}
	return out
}

// refuseQueue refuses all queued requests when no target is available. Otherwise they would
// wait in vain until their objective has passed.
func (b *Book) turnAway(out []Action) []Action {
	for _, s := range slices.Clone(b.queue) {
		out = b.refuse(s, NoTarget, b.cfg.PauseMin, out)
	}
	return out
}

// tryDispatch dispatches s to a target that is acceptable by a recent load report.
func (b *Book) place(now time.Time, s *seeker, out []Action) (actions []Action, sent bool) {
	for _, c := range b.candidates(now, s, choices) {
		if now.Sub(c.told) < askAgain && b.good(now, c, s) {
			return b.send(now, s, c.member, out), true
		}
	}
	return out, false
}

// Tick handles probe timeouts and the queue, and sends the next probes.
func (b *Book) Tick(now time.Time, out []Action) []Action {
	for _, s := range b.seeking {
		if s.pending > 0 && !now.Before(s.until) {
			out = b.decide(now, s, out)
		}
	}
	return b.askQueue(now, b.serve(now, out))
}

// probeForQueue sends probes for queued requests whose next probes are due. Their time is
// set anew even if no target is usable. Otherwise the timer would be due again at once until
// a target is usable, and keep the CPU busy during an overload.
func (b *Book) askQueue(now time.Time, out []Action) []Action {
	for _, s := range slices.Clone(b.queue) {
		if !s.waiting || s.pending > 0 || now.Before(s.again) {
			continue
		}
		s.again = now.Add(askAgain)
		if b.room(now, s) {
			out = b.ask(now, s, out)
		}
	}
	return out
}

// NextTick returns when Tick has to be called next, or the zero time if no call is needed.
func (b *Book) Next() (at time.Time) {
	needBy := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, s := range b.seeking {
		if s.pending > 0 {
			needBy(s.until)
		}
	}
	for _, s := range b.queue {
		if s.pending > 0 {
			continue // its probe answers or their timeout come first
		}
		needBy(s.again)
		needBy(s.Objective.Add(-s.usual))
	}
	return at
}

// retryDelay returns the time after which a refused request is likely to find an available
// target: about as long as the queue takes to empty. It is randomized so that requests that
// were refused together don't return together.
func (b *Book) retry(serviceTime time.Duration) time.Duration {
	return serviceTime/2 + time.Duration(b.rnd.Int64N(int64(serviceTime)+1))
}

// minRetryDelay is the retry delay for a request that was refused by a target although it
// has room. The caller needs a new connection for the retry, which takes longer than that.
const soon = 5 * time.Millisecond

// RetryAfter returns the time after which a request that its targets refused is likely to be
// served. If most targets are available and have room, the refusal is a fault and not
// overload, and a longer delay would only make the request late.
func (b *Book) Back(now time.Time) time.Duration {
	if t, all := b.throttled(now, nil); all && !t.until.IsZero() {
		return b.comeback(now, t.until, b.usual.all.mean)
	}
	withRoom := 0
	for _, m := range b.order {
		if !m.leaves() && !m.crowded(m.busy(now, &b.cfg)) {
			withRoom++
		}
	}
	if 2*withRoom > len(b.order) && len(b.queue) == 0 {
		return soon
	}
	return b.retry(b.usual.all.mean)
}
