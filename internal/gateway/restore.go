package gateway

import (
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// The store may come back from a copy that is some seconds old. What was written since is
// missing until its author has written it again, and what was removed since is back. What
// this entry knew holds meanwhile, as after an outage: objects that vanished are awaited
// (roster.Lapses), and those that are back only through the copy don't count.

// reviveTime is how long an object that is back through a copy doesn't count unless it is
// written: a target that is gone writes no heartbeat, and its record lapses by then.
const reviveTime = 6 * time.Second

// restore notes that the store was restored from a copy.
func (c *control) restore(now time.Time, before, at roster.Revision, differ int) {
	c.restored = now
	if at.Epoch() <= c.epoch {
		return // another kind of objects showed it
	}
	c.epoch = at.Epoch()
	c.gateway.restores.Add(1)
	c.gateway.instruments.restores.Inc(1)
	c.gateway.log.WithFields(log.Fields{
		"epoch": at.Epoch(), "before": before.String(), "revision": at.String(), "differ": differ,
	}).Warn("store was restored from a copy, what is missing is awaited")
}

// differences counts the objects that are in one list and not in the other.
func differences[T any](before, after map[string]roster.Item[T]) (n int) {
	for name := range before {
		if _, ok := after[name]; !ok {
			n++
		}
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			n++
		}
	}
	return n
}

// inForce are the objects on record and those that are awaited, without those that are back
// only through a copy.
func inForce[T any](now time.Time, r *roster.Roster[T], l *roster.Lapses[T], restored time.Time) map[string]roster.Item[T] {
	items := r.Items()
	if r.AnyRevived() && now.Sub(restored) < reviveTime {
		for name := range items {
			if r.Revived(name) {
				delete(items, name)
			}
		}
	}
	for name, it := range l.Kept(now) {
		if _, ok := items[name]; !ok {
			items[name] = it
		}
	}
	return items
}

// marks are the evacuations in force.
func (c *control) marks(now time.Time) map[string]roster.Item[slot.Evacuation] {
	return inForce(now, c.evacuations, c.marksAwaited, c.restored)
}

// awaiting tells whether what counts changes by time alone.
func (c *control) awaiting(now time.Time) bool {
	revived := c.targets.AnyRevived() || c.evacuations.AnyRevived()
	return c.lapses.Awaiting(now) || c.marksAwaited.Awaiting(now) || revived && now.Sub(c.restored) < reviveTime
}
