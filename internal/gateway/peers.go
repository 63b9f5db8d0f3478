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
	id       uint64 // of entry
	heard    time.Time
	beat     relay.Beat
	briefly  bool            // it understands brief beats
	revision roster.Revision // of its record, where this entry has read it
}

// up reports whether the entry is known to live.
func (p *peer) up(now time.Time) bool {
	period := max(p.beat.Period, beatPeriod)
	return now.Sub(p.heard) < time.Duration(deadBeats*float64(period))
}

// serves reports whether callers may be sent to the entry.
func (p *peer) serves(now time.Time) bool {
	return p.up(now) && !p.beat.Leaving
}

// load is what the entry has told of a host; zero where it has told nothing.
func (p *peer) load(host uint32) relay.Load {
	for _, l := range p.beat.Loads {
		if l.Host == host {
			return l
		}
	}
	return relay.Load{}
}

// mark tells apart what owners are chosen by of an entry.
func (p *peer) mark() uint64 {
	mark := p.id
	if p.beat.Strained {
		mark = ^mark
	}
	return mark
}

// entriesListed are the entries that the store has on record.
type entriesListed struct {
	items []roster.Item[owner.Entry]
	took  time.Duration // from the start of the enrolment
}

func (m entriesListed) apply(now time.Time, c *control) {
	for _, it := range m.items {
		e := it.Value
		if e.Name == c.gateway.self.Name {
			continue
		}
		if p := c.peers[e.Name]; p == nil || p.entry.Boot < e.Boot {
			c.meet(&peer{entry: e, heard: now})
		}
		c.peers[e.Name].revision = it.Revision
	}
	c.enrolled, c.enrolling, c.ahead = now, m.took, ahead(c.gateway.self, m.items)
	c.beat(now)
}

// meet takes an entry, or a new start of one, to the others that are known.
func (c *control) meet(p *peer) {
	if old := c.peers[p.entry.Name]; old != nil {
		p.revision = old.revision
		delete(c.runs, old.id)
	}
	p.id = p.entry.ID()
	c.peers[p.entry.Name] = p
	c.runs[p.id] = p
	c.introduce = introductions
}

// part drops an entry.
func (c *control) part(p *peer) {
	delete(c.peers, p.entry.Name)
	delete(c.runs, p.id)
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
		c.part(p)
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

// Beats are whole where the hearer may not know the sender's run: to seeds, after
// an entry was met, and now and then in case that such a beat was lost.
const (
	// introductions is how many beats in a row are whole then.
	introductions = 2
	// wholeEvery is how often one is, in beats. An entry that has missed the
	// introduction takes this one for dead until then.
	wholeEvery = 8
)

// beat tells the other entries that this one lives and what it knows.
func (c *control) beat(now time.Time) {
	c.beaten = now
	c.beats++
	all := c.introduce > 0 || c.beats%wholeEvery == 0
	c.introduce = max(c.introduce-1, 0)
	var brief, whole []owner.Entry
	for _, p := range c.peers {
		if all || !p.briefly {
			whole = append(whole, p.entry)
		} else {
			brief = append(brief, p.entry)
		}
	}
	if len(c.peers) == 0 {
		whole = c.seeds()
	}
	if err := c.gateway.relay.Tell(c.says(now), brief, whole); err != nil {
		c.gateway.log.WithError(err).Debug("beat not sent to all")
	}
}

// seeds are the entries to ask while the store names none.
func (c *control) seeds() (list []owner.Entry) {
	for _, address := range c.gateway.cfg.Settings.Seeds {
		if address != c.gateway.self.Peer {
			list = append(list, owner.Entry{Peer: address})
		}
	}
	return list
}

// says is what this entry's beat holds.
func (c *control) says(now time.Time) relay.Beat {
	return relay.Beat{
		Entry: c.gateway.self, Config: c.config.Version, Targets: c.targets.Moved(),
		ConfigAge: now.Sub(c.confirmed[dutyConfig]), TargetsAge: now.Sub(c.confirmed[dutyTargets]),
		Shut: c.shut, Leaving: c.gateway.leaving.Load(), Strained: c.strain.strained(now),
		Rate: c.hosts.rate(), Loads: c.hosts.loads(), Period: c.period(), Suspects: c.gateway.suspects.Export(now, maxSuspects),
	}
}

// maxSuspects is how many suspects a beat carries.
const maxSuspects = 32
