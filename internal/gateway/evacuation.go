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

// An operator evacuates a failure domain by a mark in the store, and takes it back by
// removing that. The mark holds for as long as nobody is known to have removed it,
// also while the store is away: requests that keep out of a domain for too long find
// other targets, and those sent there too early are what the mark is to prevent.

// evacuationsListed is the whole list of marks.
type evacuationsListed struct {
	items []roster.Item[slot.Evacuation]
	at    roster.Revision
	asked time.Time
}

func (m evacuationsListed) apply(now time.Time, c *control) {
	c.evacuationsRead(now, m.asked, func() bool { return c.evacuations.Replace(m.items, m.at) })
}

// evacuationsChanged are changes of marks since the last ones.
type evacuationsChanged struct {
	changes []roster.Change[slot.Evacuation]
	at      roster.Revision
	asked   time.Time
}

func (m evacuationsChanged) apply(now time.Time, c *control) {
	c.evacuationsRead(now, m.asked, func() bool { return c.evacuations.Told(m.changes, m.at) })
}

// evacuationsRead applies what the store said of the marks, and tells the others at
// once where that matters.
func (c *control) evacuationsRead(now, asked time.Time, apply func() (moved bool)) {
	c.confirm(now, dutyEvacuations, asked)
	moved := c.evacuate(now, apply, "store")
	c.vouch(now, dutyEvacuations)
	if moved {
		c.drive(now, member.News{})
	}
}

// evacuated applies what another entry knows of the marks.
func (c *control) evacuated(e relay.Evacuations) (moved bool) {
	moved = c.evacuations.Replace(e.List, e.At)
	c.evacuations.Reached(e.Moved)
	return moved
}

// evacuate applies a change of the marks and logs what it says.
func (c *control) evacuate(now time.Time, apply func() (moved bool), source string) (moved bool) {
	before, at := c.evacuations.Items(), c.evacuations.At()
	if !apply() {
		return false
	}
	c.dirty = true
	c.evacuations.Forget()
	if c.evacuations.At().Epoch() != at.Epoch() && at > 0 {
		c.restore(now, at, c.evacuations.At(), differences(before, c.evacuations.Items()))
		for place, it := range before {
			if _, ok := c.evacuations.Get(place); !ok {
				c.marksAwaited.Lost(now, it)
			}
		}
	}
	after := c.marks(now)
	c.evacuatedAt = since(now, c.evacuatedAt, after)
	c.gateway.log.WithFields(log.Fields{
		"revision": c.evacuations.Moved().String(), "age": c.age(now, dutyEvacuations).Milliseconds(), "source": source,
		"before": places(before), "now": places(after), "targets": c.within(after), "unknown": c.unknown(after),
	}).Warn("evacuations changed")
	return true
}

// since tells from when on each mark is known, where those from before are known since
// these times.
func since(now time.Time, before map[string]time.Time, marks map[string]roster.Item[slot.Evacuation]) map[string]time.Time {
	at := make(map[string]time.Time, len(marks))
	for place := range marks {
		at[place] = now
		if known, ok := before[place]; ok {
			at[place] = known
		}
	}
	return at
}

// places are the names of evacuated failure domains.
func places(marks map[string]roster.Item[slot.Evacuation]) string {
	return strings.Join(slices.Sorted(maps.Keys(marks)), " ")
}

// within counts the targets in evacuated failure domains.
func (c *control) within(marks map[string]roster.Item[slot.Evacuation]) (n int) {
	for _, it := range c.targets.Items() {
		if _, ok := marks[it.Value.Place]; ok {
			n++
		}
	}
	return n
}

// unknown are the evacuated failure domains that no target is in, as after a typing
// error of the operator's. They are kept: a target may come that is in one.
func (c *control) unknown(marks map[string]roster.Item[slot.Evacuation]) string {
	marks = maps.Clone(marks)
	for _, it := range c.targets.Items() {
		delete(marks, it.Value.Place)
	}
	return places(marks)
}
