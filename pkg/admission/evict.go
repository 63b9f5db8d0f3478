package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// victimBatch is how many connections one ranking yields.
	victimBatch = 64
	// victimTime is for how long a ranking is used.
	victimTime = 50 * time.Millisecond
	// rankPeriod is the least time between two rankings unless the first one yielded a whole batch.
	rankPeriod = 2 * time.Millisecond
	// evictMargin is how many times as much a caller has to hold for its use as the one that takes its
	// room. Without it, callers of a crowd would take the room of each other all the time.
	evictMargin = 2
)

// victims are the connections that are evicted next, by the latest ranking.
type victims struct {
	list   []candidate
	whole  bool // the ranking yielded a whole batch
	ranked time.Time
}

// candidate is a connection that may be evicted, with what it held at the ranking.
type candidate struct {
	*conn
	held float64
}

// victim returns the connection that is evicted next for another one, which needs bytes; nil if
// there is none, or if its caller doesn't hold clearly more for its use than that of the other one.
func (b *Budget) victim(now time.Time, newcomer *conn, bytes int64) *conn {
	newcomer.caller.advance(now)
	least := newcomer.caller.scoreWith(newcomer.heldWith(now, bytes)) * evictMargin * newcomer.caller.penalty()
	if age := now.Sub(b.victims.ranked); age >= victimTime || age < 0 {
		b.rank(now)
	}
	v, left := b.nextVictim(now, newcomer, least)
	if !left && (b.victims.whole || now.Sub(b.victims.ranked) >= rankPeriod) {
		b.rank(now)
		v, _ = b.nextVictim(now, newcomer, least)
	}
	return v
}

// nextVictim returns the next connection of the latest ranking that may be evicted still, if its
// caller has the least score. left reports whether there was any.
func (b *Budget) nextVictim(now time.Time, newcomer *conn, least float64) (v *conn, left bool) {
	for i, c := range b.victims.list {
		if b.conns[c.id] != c.conn || !c.evictable(now) || !b.makesRoom(c.conn, newcomer.class) {
			continue
		}
		if c.conn == newcomer || c.caller.score < least {
			return nil, true
		}
		b.victims.list = slices.Delete(b.victims.list, i, i+1)
		return c.conn, true
	}
	return nil, false
}

// makesRoom reports whether the end of a connection makes room for one of a class: it takes more
// than what is kept for its own.
func (b *Budget) makesRoom(c *conn, class Class) bool {
	u := b.classes[c.class]
	return c.class == class || u.conns > u.keptConns || u.bytes > u.keptBytes
}

// rank orders the connections that may be evicted by what their callers hold for their use, then by
// what they hold themselves.
func (b *Budget) rank(now time.Time) {
	for _, o := range b.callers {
		if o.held = 0; o.conns > 0 {
			o.advance(now)
		}
	}
	list := b.victims.list[:0]
	for _, c := range b.conns {
		held := c.held(now)
		c.caller.held += held
		if c.evictable(now) {
			list = append(list, candidate{c, held})
		}
	}
	for _, o := range b.callers {
		if o.conns > 0 {
			o.score = o.scoreWith(0)
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.caller.score, x.caller.score), cmp.Compare(y.held, x.held), cmp.Compare(x.id, y.id))
	})
	whole := len(list) > victimBatch
	if whole {
		clear(list[victimBatch:])
		list = list[:victimBatch]
	}
	b.victims = victims{list: list, whole: whole, ranked: now}
}

// EvictStalled evicts connections whose callers don't read, those that hold most for their use first.
func (b *Budget) EvictStalled(now time.Time) (evicted []ID) {
	b.rank(now)
	var list []*conn
	for _, c := range b.conns {
		if c.stalled(now) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y *conn) int {
		return cmp.Or(cmp.Compare(y.caller.score, x.caller.score), cmp.Compare(x.id, y.id))
	})
	for _, c := range list[:min(len(list), stalledBatch)] {
		evicted = append(evicted, b.evict(now, c))
	}
	return evicted
}

// stalledBatch is how many connections EvictStalled evicts at most.
const stalledBatch = 16

// scoreWith returns what the caller holds for its use, with further byte seconds.
func (c *caller) scoreWith(held float64) float64 {
	return (c.held + held) * c.penalty() / (1 + c.served)
}

// penalty is by how much the evictions of a caller count against it: not at all as long as more of its
// requests are served than connections of it are evicted.
func (c *caller) penalty() float64 {
	return max(1, (1+c.evicted)/(1+c.served))
}
