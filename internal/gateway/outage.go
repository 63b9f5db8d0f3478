package gateway

import (
	"strings"
	"time"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// Records expire if they aren't renewed, and none can be renewed during an outage of the
// store: when the store is back, its list lacks targets that work. So targets that vanish
// right after an outage are kept for a while (roster.Vanished).
//
// Old data alone is no sign of an outage: the entries that read for this one may have died or
// lost their connection to the store. If it counted as an outage, a target whose record was
// removed would get requests for another 2.2 s. Only failed calls since the store last
// confirmed the targets count, either this entry's own or those that other entries report. An
// entry that receives nothing from the others has lost its own network, so that its failed
// calls are no sign of an outage.

// minOutage is the least duration of failure that counts as an outage. An entry that was isolated
// learns of failed calls just when it is connected again, its own or those of others that
// were isolated as well, and gets current data within 0.3 s of that. In a real outage all
// entries know of the first failed call after 2 s, and no record expires before 3 s.
const minOutage = 500 * time.Millisecond

// noteStoreFailure records a failed call to the store, by this entry or another one.
func (c *control) noteStoreFailure(now time.Time) {
	if c.storeFailingSince.IsZero() && !c.isolated(now) {
		c.storeFailingSince = now
	}
}

// noteStoreResponse records that the store answered at that time.
func (c *control) noteStoreResponse(at time.Time) {
	if at.After(c.storeFailingSince) {
		c.storeFailingSince = time.Time{}
	}
}

// clearLocalFailure drops a recorded failure if this entry is isolated, since its own network
// explains the failure.
func (c *control) clearLocalFailure(now time.Time) {
	if !c.storeFailingSince.IsZero() && c.isolated(now) {
		c.storeFailingSince = time.Time{}
	}
}

// noteReportedFailures records a failure if another entry reports that the store doesn't
// serve it.
func (c *control) noteReportedFailures(now time.Time) {
	if !c.storeFailingSince.IsZero() {
		return
	}
	for e := range c.members.Entries() {
		if e.StoreUnavailable && e.State == member.Alive && e.ID.Name != c.gateway.self.Name {
			c.noteStoreFailure(now)
			return
		}
	}
}

// usableTargets returns the targets with a record and the vanished ones that are retained after an
// outage or a restore of the store.
func (c *control) usableTargets(now time.Time) map[string]roster.Item[slot.Target] {
	return effectiveItems(now, c.targets, c.vanishedTargets, c.restoredAt)
}

// changeTargets applies a change of the targets, and retains vanished ones after an outage or a
// restore of the store.
func (c *control) changeTargets(now time.Time, apply func() (changed bool)) (changed bool) {
	before, revision := c.targets.Items(), c.targets.Revision()
	if !apply() {
		return false
	}
	restored := c.targets.Revision().Epoch() != revision.Epoch() && revision > 0
	if restored {
		c.noteRestore(now, revision, c.targets.Revision(), countDifferences(before, c.targets.Items()))
	}
	c.servicesStale, c.logged.targetsChanged = true, true
	c.targets.PruneDeletions()
	var kept []string
	for name, it := range before {
		if _, ok := c.targets.Get(name); ok || it.Value.Leaving {
			continue
		}
		if restored {
			c.vanishedTargets.MissingFromCopy(now, it)
		}
		if restored || c.vanishedTargets.RetainRemoved(now, it) {
			kept = append(kept, name)
		}
	}
	if len(kept) > 0 {
		c.gateway.log.WithField("targets", strings.Join(kept, " ")).Info("targets kept, their records are awaited")
	}
	return true
}

// noteStoreReturn records the end of an outage if there was one; at is when the store answered
// again. It doesn't wait for a response with changes: the first ones may hold none, since
// records expire some tenths of a second later.
func (c *control) noteStoreReturn(now, at time.Time) {
	if c.storeFailingSince.IsZero() || now.Sub(c.storeFailingSince) < minOutage || c.confirmed[resourceTargets].IsZero() {
		return
	}
	gap := at.Sub(c.confirmed[resourceTargets])
	if c.vanishedTargets.StoreAnswered(now, gap) {
		c.gateway.log.WithField("gap", gap.Milliseconds()).Warn("store was away, records that vanish are awaited")
	}
}
