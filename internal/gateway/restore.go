package gateway

import (
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// The store may be restored from a copy that is some seconds old. Objects written since the
// copy are missing until their authors write them again, and objects deleted since are back.
// Until then this entry uses its previous state, as after an outage: objects that vanished are
// retained (roster.Vanished), and objects that the copy brought back are ignored.

// revivedIgnoreTime is how long an object that a copy brought back is ignored unless it is
// written: a target that is gone writes no heartbeat, and its record expires by then.
const revivedIgnoreTime = 6 * time.Second

// noteRestore records that the store was restored from a copy.
func (c *control) noteRestore(now time.Time, before, after roster.Revision, differences int) {
	c.restoredAt = now
	if after.Epoch() <= c.epoch {
		return // another resource has shown the same restore
	}
	c.epoch = after.Epoch()
	c.gateway.restores.Add(1)
	c.gateway.instruments.restores.Inc(1)
	c.gateway.log.WithFields(log.Fields{
		"epoch": after.Epoch(), "before": before.String(), "revision": after.String(), "differ": differences,
	}).Warn("store was restored from a copy, what is missing is awaited")
}

// countDifferences returns the number of objects that are in only one of two lists.
func countDifferences[T any](before, after map[string]roster.Item[T]) (n int) {
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

// effectiveItems returns the objects in the store and the vanished ones that are retained, without
// those that only a copy brought back.
func effectiveItems[T any](now time.Time, r *roster.Roster[T], vanished *roster.Vanished[T], restoredAt time.Time) map[string]roster.Item[T] {
	items := r.Items()
	if r.AnyRevived() && now.Sub(restoredAt) < revivedIgnoreTime {
		for name := range items {
			if r.Revived(name) {
				delete(items, name)
			}
		}
	}
	for name, it := range vanished.Items(now) {
		if _, ok := items[name]; !ok {
			items[name] = it
		}
	}
	return items
}

// effectiveEvacuations returns the evacuations in force.
func (c *control) effectiveEvacuations(now time.Time) map[string]roster.Item[slot.Evacuation] {
	return effectiveItems(now, c.evacuations, c.vanishedEvacuations, c.restoredAt)
}

// expiryPending reports whether the effective targets or evacuations still change by the
// passage of time alone.
func (c *control) expiryPending(now time.Time) bool {
	revived := c.targets.AnyRevived() || c.evacuations.AnyRevived()
	return c.vanishedTargets.AnyRetained(now) || c.vanishedEvacuations.AnyRetained(now) || revived && now.Sub(c.restoredAt) < revivedIgnoreTime
}
