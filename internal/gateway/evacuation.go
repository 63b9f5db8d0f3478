package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// An operator evacuates a failure domain by writing an evacuation to the store, and ends the
// evacuation by deleting it. It stays in force until its deletion is known, also while the
// store is unavailable: requests that avoid a domain for too long find other targets, but
// requests sent there too early are what the evacuation must prevent.

// evacuationsListed is a full list of evacuations from the store.
type evacuationsListed struct {
	items    []roster.Item[slot.Evacuation]
	revision roster.Revision
	askedAt  time.Time
}

func (m evacuationsListed) apply(now time.Time, c *control) {
	c.applyEvacuationsRead(now, m.askedAt, func() bool { return c.evacuations.Replace(m.items, m.revision) })
}

// evacuationsChanged holds changes of evacuations from a watch of the store.
type evacuationsChanged struct {
	changes  []roster.Change[slot.Evacuation]
	revision roster.Revision
	askedAt  time.Time
}

func (m evacuationsChanged) apply(now time.Time, c *control) {
	c.applyEvacuationsRead(now, m.askedAt, func() bool { return c.evacuations.Merge(m.changes, m.revision) })
}

// applyEvacuationsRead applies a list or changes from the store, and advertises a change to
// the other entries at once.
func (c *control) applyEvacuationsRead(now, askedAt time.Time, apply func() (changed bool)) {
	c.confirm(now, resourceEvacuations, askedAt)
	changed := c.changeEvacuations(now, apply, "store")
	c.announceConfirmation(now, resourceEvacuations)
	if changed {
		c.handleEvent(now, member.PushNow{})
	}
}

// applyPulledEvacuations applies the evacuations in the reply to a pull.
func (c *control) applyPulledEvacuations(e relay.Evacuations) (changed bool) {
	changed = c.evacuations.Replace(e.List, e.Revision)
	c.evacuations.AdvanceLastChange(e.LastChange)
	return changed
}

// changeEvacuations applies a change of the evacuations, and logs it.
func (c *control) changeEvacuations(now time.Time, apply func() (changed bool), source string) (changed bool) {
	before, revision := c.evacuations.Items(), c.evacuations.Revision()
	if !apply() {
		return false
	}
	c.servicesStale = true
	c.evacuations.PruneDeletions()
	if c.evacuations.Revision().Epoch() != revision.Epoch() && revision > 0 {
		c.noteRestore(now, revision, c.evacuations.Revision(), countDifferences(before, c.evacuations.Items()))
		for place, it := range before {
			if _, ok := c.evacuations.Get(place); !ok {
				c.vanishedEvacuations.MissingFromCopy(now, it)
			}
		}
	}
	after := c.effectiveEvacuations(now)
	c.evacuationSeen = firstSeen(now, c.evacuationSeen, after)
	c.gateway.log.WithFields(log.Fields{
		"revision": c.evacuations.LastChange().String(), "age": c.age(now, resourceEvacuations).Milliseconds(), "source": source,
		"before": placeNames(before), "now": placeNames(after), "targets": c.countTargetsIn(after), "unknown": c.placesWithoutTargets(after),
	}).Warn("evacuations changed")
	return true
}

// firstSeen returns when each evacuation was first seen: its time in before, or now if it is
// new.
func firstSeen(now time.Time, before map[string]time.Time, evacuations map[string]roster.Item[slot.Evacuation]) map[string]time.Time {
	seen := make(map[string]time.Time, len(evacuations))
	for place := range evacuations {
		seen[place] = now
		if known, ok := before[place]; ok {
			seen[place] = known
		}
	}
	return seen
}

// placeNames returns the names of the evacuated failure domains.
func placeNames(evacuations map[string]roster.Item[slot.Evacuation]) string {
	return strings.Join(slices.Sorted(maps.Keys(evacuations)), " ")
}

// countTargetsIn returns the number of targets in evacuated failure domains.
func (c *control) countTargetsIn(evacuations map[string]roster.Item[slot.Evacuation]) (n int) {
	for _, it := range c.targets.Items() {
		if _, ok := evacuations[it.Value.Place]; ok {
			n++
		}
	}
	return n
}

// placesWithoutTargets returns the names of evacuated failure domains without targets, as
// after an operator's typing error. Their evacuations stay in force, since a target may be
// added there.
func (c *control) placesWithoutTargets(evacuations map[string]roster.Item[slot.Evacuation]) string {
	evacuations = maps.Clone(evacuations)
	for _, it := range c.targets.Items() {
		delete(evacuations, it.Value.Place)
	}
	return placeNames(evacuations)
}
