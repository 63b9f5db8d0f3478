package gateway

import (
	"strings"
	"time"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// Records that aren't renewed lapse, and while the store is away none can be
// renewed: on its return its list lacks targets that are well. So what vanishes
// right after an outage is kept for a while (roster.Lapses).
//
// That this entry knows nothing newer is no sign of an outage: those that read for
// it may have died or lost their way to the store. Taken for one, a target whose
// record has been removed gets requests for 2.2 s more. Only calls that failed since
// the store last confirmed the targets count: this entry's own, or those that others
// tell of. One that hears nobody has lost its own network, and its calls say nothing
// of the store.

// failTime is for how long the store has to have failed. An entry that was cut off
// hears of failed calls just when it is back, its own or those of others that were cut
// off as well, and gets the news within 0.3 s of that. In a real outage the first failed
// call is known everywhere after 2 s, and no record lapses before 3 s.
const failTime = 500 * time.Millisecond

// fails notes that a call of this entry or of another one got no good answer.
func (c *control) fails(now time.Time) {
	if c.failing.IsZero() && !c.isolated(now) {
		c.failing = now
	}
}

// answers notes that the store answered at that time.
func (c *control) answers(at time.Time) {
	if at.After(c.failing) {
		c.failing = time.Time{}
	}
}

// excuse drops failures that this entry's own network explains.
func (c *control) excuse(now time.Time) {
	if !c.failing.IsZero() && c.isolated(now) {
		c.failing = time.Time{}
	}
}

// hearShut notes where another entry says that the store fails it.
func (c *control) hearShut(now time.Time) {
	if !c.failing.IsZero() {
		return
	}
	for e := range c.members.Entries() {
		if e.Shut && e.State == member.Alive && e.ID.Name != c.gateway.self.Name {
			c.fails(now)
			return
		}
	}
}

// usable are the targets on record and those whose records are awaited after an
// outage of the store.
func (c *control) usable(now time.Time) map[string]roster.Item[slot.Target] {
	return inForce(now, c.targets, c.lapses, c.restored)
}

// change applies a change of the targets and notes what vanished by it.
func (c *control) change(now time.Time, apply func() (moved bool)) (moved bool) {
	before, at := c.targets.Items(), c.targets.At()
	if !apply() {
		return false
	}
	restored := c.targets.At().Epoch() != at.Epoch() && at > 0
	if restored {
		c.restore(now, at, c.targets.At(), differences(before, c.targets.Items()))
	}
	c.dirty, c.believed.newer = true, true
	c.targets.Forget()
	var kept []string
	for name, it := range before {
		if _, ok := c.targets.Get(name); ok || it.Value.Leaving {
			continue
		}
		if restored {
			c.lapses.Lost(now, it)
		}
		if restored || c.lapses.Removed(now, it) {
			kept = append(kept, name)
		}
	}
	if len(kept) > 0 {
		c.gateway.log.WithField("targets", strings.Join(kept, " ")).Info("targets kept, their records are awaited")
	}
	return true
}

// returned notes that the store answered again at that time, where it was away. Its
// first answers may tell of no change: records lapse some tenths of a second later.
func (c *control) returned(now, at time.Time) {
	if c.failing.IsZero() || now.Sub(c.failing) < failTime || c.confirmed[dutyTargets].IsZero() {
		return
	}
	gap := at.Sub(c.confirmed[dutyTargets])
	if c.lapses.Heard(now, gap) {
		c.gateway.log.WithField("gap", gap.Milliseconds()).Warn("store was away, records that vanish are awaited")
	}
}
