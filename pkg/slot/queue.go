package slot

import (
	"cmp"
	"slices"
	"time"
)

// askAgain is how long a waiting request goes on without a new question. Pace
// changes in about 150 ms, so that a target asked 15 ms ago says little new.
const askAgain = 15 * time.Millisecond

// wait puts s in the queue.
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

// before orders the queue: urgent ones first, then by the end of their time.
func before(x, y *seeker) int {
	return cmp.Or(cmp.Compare(x.Priority, y.Priority), x.Objective.Compare(y.Objective), cmp.Compare(x.ID, y.ID))
}

// crowded reports whether so many requests would be served before s that it
// could not meet its objective.
func (b *Book) crowded(now time.Time, s *seeker) bool {
	work := b.usual.all.mean
	slots := b.capacity(now, s.Homes, work)
	if slots == 0 {
		slots = 1
	}
	wait := time.Duration(float64(work) * float64(b.ahead(s)+1) / slots)
	return now.Add(wait + s.usual).After(s.Objective)
}

// serve sends waiting requests where a target has become good enough by what
// was just told, and ends the wait of those whose time is up.
func (b *Book) serve(now time.Time, out []Action) []Action {
	if len(b.queue) > 0 && !b.anyOpen() {
		return b.turnAway(out)
	}
	for _, s := range slices.Clone(b.queue) {
		if s.pending > 0 {
			continue
		}
		if next, sent := b.place(now, s, out); sent {
			out = next
			continue
		}
		if !now.Add(s.usual).Before(s.Objective) {
			out = b.settle(now, s, out)
		}
	}
	return out
}

// turnAway refuses all that wait, where no target is left that may get work: they
// would wait in vain until their objective is over.
func (b *Book) turnAway(out []Action) []Action {
	for _, s := range slices.Clone(b.queue) {
		out = b.refuse(s, NoTarget, b.cfg.PauseMin, out)
	}
	return out
}

// place sends s to a target of which fresh word says that it is good.
func (b *Book) place(now time.Time, s *seeker, out []Action) (next []Action, sent bool) {
	for _, c := range b.candidates(now, s, choices) {
		if now.Sub(c.told) < askAgain && b.good(now, c, s) {
			return b.send(now, s, c.member, out), true
		}
	}
	return out, false
}

// Tick ends waits for answers and in the queue, and asks again.
func (b *Book) Tick(now time.Time, out []Action) []Action {
	for _, s := range b.seeking {
		if s.pending > 0 && !now.Before(s.until) {
			out = b.decide(now, s, out)
		}
	}
	return b.askQueue(now, b.serve(now, out))
}

// askQueue has those ask that have waited long enough. They wait anew also where
// no target has room: else the timer would be due at once, and again, until one
// has, and keep the processor busy in an overload.
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

// Next tells when Tick is needed next; the zero time means not at all.
func (b *Book) Next() (at time.Time) {
	soonest := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, s := range b.seeking {
		if s.pending > 0 {
			soonest(s.until)
		}
	}
	for _, s := range b.queue {
		if s.pending > 0 {
			continue // its answers, or the end of the wait for them, come first
		}
		soonest(s.again)
		soonest(s.Objective.Add(-s.usual))
	}
	return at
}

// retry is when a refused request is likely to find room: about as long as the
// queue takes to empty, spread so that those refused together don't come back
// together.
func (b *Book) retry(base time.Duration) time.Duration {
	return base/2 + time.Duration(b.rnd.Int64N(int64(base)+1))
}

// soon is when a request may come back that a target refused though it has room:
// its caller comes by a new connection, which takes longer than that.
const soon = 5 * time.Millisecond

// Back is when a request is likely to find room that was refused by the targets
// it was sent to. Where most targets are open and have room, they refuse by
// fault and not for load, and a pause would only make the request late.
func (b *Book) Back(now time.Time) time.Duration {
	if t, all := b.throttled(now, nil); all && !t.until.IsZero() {
		return b.comeback(now, t.until, b.usual.all.mean)
	}
	room := 0
	for _, m := range b.order {
		if !m.leaves() && !m.crowded(m.busy(now, &b.cfg)) {
			room++
		}
	}
	if 2*room > len(b.order) && len(b.queue) == 0 {
		return soon
	}
	return b.retry(b.usual.all.mean)
}
