package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
)

// peer is another entry.
type peer struct {
	entry    owner.Entry
	heard    time.Time
	beat     relay.Beat
	revision roster.Revision // of its record, where this entry has read it
}

// known is the revision of the record of an entry, zero for one not heard of.
func (p *peer) known() roster.Revision {
	if p == nil {
		return 0
	}
	return p.revision
}

// up reports whether the entry is known to live.
func (p *peer) up(now time.Time) bool {
	period := max(p.beat.Period, beatPeriod)
	return now.Sub(p.heard) < time.Duration(deadBeats*float64(period))
}

// entriesListed are the entries that the store has on record.
type entriesListed struct{ items []roster.Item[owner.Entry] }

func (m entriesListed) apply(now time.Time, c *control) {
	for _, it := range m.items {
		e := it.Value
		if e.Name == c.gateway.self.Name {
			continue
		}
		if c.peers[e.Name] == nil {
			c.peers[e.Name] = &peer{entry: e, heard: now}
		}
		c.peers[e.Name].revision = it.Revision
	}
	c.beat(now)
}

// forgetAfter is how long an entry is silent before its record is removed. A VM
// that is cut off or frozen for a while keeps its record, and is told of what
// it missed as soon as it is back.
const forgetAfter = 2 * time.Minute

// forget drops entries that were silent for long. The first in the order
// removes their records, unless they have changed: an entry that started anew
// has entered itself again.
func (c *control) forget(now time.Time) {
	for name, p := range c.peers {
		if now.Sub(p.heard) < forgetAfter {
			continue
		}
		delete(c.peers, name)
		if owner.Rank(c.live(now), dutyNames[dutyTargets], c.gateway.self.Name) != 0 || p.revision == 0 {
			continue
		}
		c.gateway.log.WithFields(log.Fields{"peer": name, "silent": now.Sub(p.heard).String()}).Info("record of a dead entry removed")
		go c.gateway.remove(name, p.revision)
	}
}

// remove removes the record of a dead entry.
func (g *Gateway) remove(name string, rev roster.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), listTime)
	defer cancel()
	if err := g.store.Leave(ctx, name, rev); err != nil {
		g.log.WithError(err).WithField("peer", name).Info("record not removed")
	}
}

// beat tells the other entries that this one lives and what it knows.
func (c *control) beat(now time.Time) {
	c.beaten = now
	var to []owner.Entry
	for _, p := range c.peers {
		to = append(to, p.entry)
	}
	b := relay.Beat{
		Entry: c.gateway.self, Config: c.config.Version, Targets: c.targets.Moved(),
		ConfigAge: now.Sub(c.confirmed[dutyConfig]), TargetsAge: now.Sub(c.confirmed[dutyTargets]),
		Shut: c.shut, Leaving: c.gateway.leaving.Load(), Strained: c.strain.strained(now),
		Rate: c.gateway.rate.mean, Period: c.period(), Suspects: c.gateway.suspects.Export(now, maxSuspects),
	}
	if err := c.gateway.relay.Tell(b, to); err != nil {
		c.gateway.log.WithError(err).Debug("beat not sent to all")
	}
}

// maxSuspects is how many suspects a beat carries.
const maxSuspects = 32
