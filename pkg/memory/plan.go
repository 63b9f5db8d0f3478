package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// planPeriod is the least time between two plans.
	planPeriod = 5 * time.Millisecond
	// evictAfter is how long the first body may wait before others are refused in its favour.
	evictAfter = 250 * time.Millisecond
)

// competitor is a body that waits or has a reservation, as seen by one plan.
type competitor struct {
	*allocation
	rank time.Time
	need int64
	kept bool // it keeps its reservation
}

// Plan divides the room among the bodies that are being read, and returns decisions about those
// that wait and refusals of others. It must be called when room was given back, and every few
// hundredths of a second while bodies wait.
func (b *Budget) Plan(now time.Time) (decisions []Decision) {
	decisions, b.pending = b.pending, nil
	if b.waiting == 0 || now.Sub(b.planned) < planPeriod && !now.Before(b.planned) {
		return decisions
	}
	b.planned = now
	list := b.competitors(now)
	room := b.unreserved() + b.reserved
	reserved, blocked := b.choose(list, room)
	for _, c := range list {
		b.unreserve(c.allocation)
	}
	for _, c := range reserved {
		b.reserve(c.allocation, c.need)
		if c.waiting {
			b.stopWaiting(c.allocation)
			decisions = append(decisions, b.Extend(now, c.id, c.asked))
		}
	}
	for _, c := range list {
		if c.waiting && c.late(now) {
			decisions = append(decisions, b.refuse(now, c.allocation, Late))
		}
	}
	return append(decisions, b.evict(now, list, blocked)...)
}

// competitors returns the bodies that wait or have a reservation: first those that keep theirs, as
// their callers send fast enough, then by their ranks.
func (b *Budget) competitors(now time.Time) (list []competitor) {
	for _, c := range b.allocations {
		if c.waiting || c.reserved > 0 {
			kept := c.reserved > 0 && !c.hopeless(now, b.usual)
			list = append(list, competitor{c, c.rank(now, b.usual), c.need(b.usual), kept})
		}
	}
	slices.SortFunc(list, func(x, y competitor) int {
		switch {
		case x.kept && !y.kept:
			return -1
		case y.kept && !x.kept:
			return 1
		}
		return cmp.Or(x.rank.Compare(y.rank), cmp.Compare(x.id, y.id))
	})
	return list
}

// choose returns the bodies that get a reservation of the room, and the first one that doesn't fit.
// Bodies of callers that have more than an equal share come last. Those behind one that doesn't fit
// wait too, so that a large body isn't passed over for ever.
func (b *Budget) choose(list []competitor, room int64) (chosen []competitor, blocked *allocation) {
	share, use := b.share(), make(map[string]int64)
	for _, c := range list {
		if u := b.callers[c.Caller]; u != nil {
			use[c.Caller] = u.bytes
		}
	}
	for _, c := range list {
		use[c.Caller] -= c.reserved // divided anew
	}
	var beyond []competitor
	for _, pass := range []*[]competitor{&list, &beyond} {
		for _, c := range *pass {
			if c.kept {
				c.need = c.reserved
			}
			if !c.kept && pass == &list && use[c.Caller]+c.need > share {
				beyond = append(beyond, c)
				continue
			}
			if !c.kept && c.need > room {
				return chosen, c.allocation
			}
			room -= c.need
			use[c.Caller] += c.need
			chosen = append(chosen, c)
		}
	}
	return chosen, nil
}

// evict refuses bodies in favour of the blocked one.
func (b *Budget) evict(now time.Time, list []competitor, blocked *allocation) (decisions []Decision) {
	if blocked == nil || !blocked.waiting {
		return nil
	}
	if !b.anyUnderWay(now) {
		return b.unblock(now, list)
	}
	if now.Sub(blocked.waitingSince) < evictAfter {
		return nil
	}
	for lacking := blocked.need(b.usual) - b.unreserved(); lacking > 0; {
		slow := b.lastOf(now, func(c *allocation) bool { return c.slow(now, b.usual) })
		if slow == nil {
			break
		}
		lacking -= slow.held + slow.reserved
		decisions = append(decisions, b.refuse(now, slow, Slow))
	}
	return decisions
}

// unblock refuses the last of the bodies that wait until all others that hold room can be completed.
// Nothing is under way that would give room back.
func (b *Budget) unblock(now time.Time, list []competitor) (decisions []Decision) {
	lacking := -b.unreserved()
	for _, c := range list {
		if c.waiting {
			lacking += c.need
		}
	}
	for i := len(list) - 1; i > 0 && lacking > 0; i-- {
		if c := list[i]; c.waiting {
			lacking -= c.need
			if c.held > b.cfg.Start {
				lacking -= c.held
				decisions = append(decisions, b.refuse(now, c.allocation, Blocked))
			}
		}
	}
	return decisions
}

// anyUnderWay reports whether a body can be completed or is about to be released.
func (b *Budget) anyUnderWay(now time.Time) bool {
	for _, c := range b.allocations {
		if c.complete || c.reserved > 0 || c.reading && !c.hopeless(now, b.usual) {
			return true
		}
	}
	return false
}

// lastOf returns the body of the highest rank among those that are included; nil if none is.
func (b *Budget) lastOf(now time.Time, include func(*allocation) bool) (last *allocation) {
	for _, c := range b.allocations {
		if !c.complete && include(c) && (last == nil || c.after(last, now, b.usual)) {
			last = c
		}
	}
	return last
}
