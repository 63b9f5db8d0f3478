package gateway

import (
	"context"
	"maps"
	"time"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
)

// maxInbox bounds the messages that wait for the control loop.
const maxInbox = 256

// Times of the control loop.
const (
	// beatPeriod is how often an entry says that it lives.
	beatPeriod = 250 * time.Millisecond
	// beatEntries is among how many entries all beat that often. Beats go from
	// each to each, so that beyond that the ones that have no duty beat less
	// often, in proportion: the beats that an entry hears stay as many.
	beatEntries = 16
	// deadBeats is how many of its periods an entry may be silent. Three lost
	// beats and a late one make it dead, so callers are sent elsewhere within a
	// second of the death of their owner.
	deadBeats = 3.6
)

// message is something that the control loop has to know. The set is closed.
type message interface {
	apply(now time.Time, c *control)
}

// control is the one owner of what this entry believes.
type control struct {
	gateway *Gateway
	inbox   chan message
	started time.Time

	config  route.Config
	table   *route.Table
	raw     []byte // the configuration as the operator wrote it
	targets *roster.Roster[slot.Target]
	lapses  *roster.Lapses[slot.Target]
	// confirmed is when the store was asked for what is known.
	confirmed [duties]time.Time
	configAt  roster.Revision // up to which the configuration's history is known
	peers     map[string]*peer
	runs      map[uint64]*peer // the same, by the run that a brief beat names
	enrolled  time.Time        // when the store named the other entries
	enrolling time.Duration    // how long that took
	ahead     int              // entries that enrolled before, at a start of all
	services  map[string]*service
	hosts     hosts
	published uint64 // mark of the live entries at the last view
	deal      *owner.Deal
	dealt     *route.Table // whose hosts deal has
	owners    map[string][]owner.Entry
	ownedBy   *owner.Deal // by which owners were worked out
	counted   map[string]int
	told      bool // requests that were held for the first view go on
	dirty     bool // services lag behind what is known
	shut      bool // the store doesn't serve this entry
	pulling   bool
	strain    strain
	believed  beliefs
	duty      bool      // this entry owns a service or reads the store
	beaten    time.Time // last beat
	beats     int       // sent
	introduce int       // beats to come that are whole
}

func newControl(g *Gateway) *control {
	return &control{
		gateway: g, inbox: make(chan message, maxInbox), started: time.Now(),
		targets: roster.New(slot.Same), lapses: roster.NewLapses[slot.Target](),
		peers: make(map[string]*peer), runs: make(map[uint64]*peer),
	}
}

// tell hands a message to the control loop; it waits while the inbox is full.
func (c *control) tell(ctx context.Context, m message) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

// heard takes a beat of another entry. One that finds the inbox full is
// dropped: the next one says the same.
func (c *control) heard(b relay.Beat) {
	c.gateway.instruments.beats.Inc(1)
	select {
	case c.inbox <- beatHeard{b}:
	default:
		c.gateway.log.WithField("from", b.Entry.Name).Warn("control: inbox full, beat dropped")
	}
}

// Serve runs until ctx ends. Its state outlives a restart by the supervisor.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(beatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.inbox:
			c.take(m)
		case <-tick.C:
			c.tick(time.Now())
		}
	}
}

func (c *control) String() string { return "control" }

func (c *control) tick(now time.Time) {
	c.hosts.tick(now)
	c.strain.tick(now, beatPeriod)
	c.forget(now)
	c.publish(now)
	c.report(now)
	if now.Sub(c.beaten) >= c.period()-beatPeriod/2 {
		c.beat(now)
	}
}

// period is how often this entry beats.
func (c *control) period() time.Duration {
	if c.duty || len(c.peers) < beatEntries {
		return beatPeriod
	}
	return beatPeriod * time.Duration((len(c.peers)+beatEntries)/beatEntries)
}

// take applies a message and all that wait behind it, then publishes once if
// they made a difference. Most are beats that say that nothing has changed. Among
// 123 entries, each spent 0.051 cores on all of its work with a view made anew for
// each beat, and 0.025 with this and fewer changes of owners.
func (c *control) take(m message) {
	now := time.Now()
	for {
		m.apply(now, c)
		select {
		case m = <-c.inbox:
		default:
			if c.dirty || c.mark(now) != c.published {
				c.publish(now)
			}
			return
		}
	}
}

// live are the entries that are known to be up, this one among them.
func (c *control) live(now time.Time) []owner.Candidate {
	var list []owner.Candidate
	if !c.gateway.leaving.Load() {
		list = append(list, owner.Candidate{Entry: c.gateway.self, Strained: c.strain.strained(now)})
	}
	for _, p := range c.peers {
		if p.serves(now) {
			list = append(list, owner.Candidate{Entry: p.entry, Strained: p.beat.Strained})
		}
	}
	return list
}

// mark tells apart sets of live entries, by what owners are chosen by.
func (c *control) mark(now time.Time) (mark uint64) {
	for _, p := range c.peers {
		if p.serves(now) {
			mark ^= p.mark()
		}
	}
	if c.strain.strained(now) {
		mark++
	}
	if c.gateway.leaving.Load() {
		mark ^= c.gateway.self.ID()
	}
	return mark
}

// readers are the entries that the store serves, as far as is known.
func (c *control) readers(now time.Time) []owner.Candidate {
	var list []owner.Candidate
	for _, e := range c.live(now) {
		p := c.peers[e.Name]
		if p != nil && p.beat.Shut || p == nil && c.shut {
			continue
		}
		list = append(list, e)
	}
	return list
}

// publish brings the services in line with what is known and replaces the view.
func (c *control) publish(now time.Time) {
	if c.dirty || c.lapses.Awaiting(now) {
		c.dirty = c.lapses.Awaiting(now)
		c.supply(now)
	}
	live := c.live(now)
	c.hosts.configure(c.table)
	mark := c.mark(now)
	deal := c.dealing(live, mark)
	counts := c.counts(now, deal)
	if deal != c.ownedBy || !maps.Equal(counts, c.counted) {
		c.owners, c.ownedBy, c.counted = deal.Owners(counts), deal, counts
	}
	owners := c.owners
	c.published = mark
	c.shareRetries(now)
	c.duty = c.hasDuty(now, owners)
	c.logBeliefs(live, owners)
	targets := c.table != nil && !c.confirmed[dutyTargets].IsZero()
	c.gateway.view.Store(&view{
		table: c.table, targets: targets, services: c.services, live: live, owners: owners, rates: c.hosts.rates,
	})
	if targets && !c.told {
		c.told = true
		close(c.gateway.known)
	}
}

// supply gives each service of the configuration its targets.
func (c *control) supply(now time.Time) {
	byService := make(map[string][]slot.Target)
	for _, it := range c.usable(now) {
		t := it.Value
		byService[t.Service] = append(byService[t.Service], t)
	}
	services := make(map[string]*service, len(c.config.Services))
	for name, s := range c.config.Services {
		sv := c.services[name]
		if sv == nil {
			sv = newService(c.gateway, s)
		}
		sv.configure(s)
		sv.take(now, byService[name])
		services[name] = sv
	}
	c.services = services
}

// usable are the targets on record and those whose records are awaited after an
// outage of the store.
func (c *control) usable(now time.Time) map[string]roster.Item[slot.Target] {
	items := c.targets.Items()
	for name, it := range c.lapses.Kept(now) {
		if _, ok := items[name]; !ok {
			items[name] = it
		}
	}
	return items
}

// change applies a change of the targets and notes what vanished by it.
func (c *control) change(now time.Time, apply func() (moved bool)) (moved bool) {
	if last := c.confirmed[dutyTargets]; !last.IsZero() {
		c.lapses.Heard(now, now.Sub(last))
	}
	before := c.targets.Items()
	if !apply() {
		return false
	}
	c.dirty = true
	c.targets.Forget()
	for name, it := range before {
		if _, ok := c.targets.Get(name); !ok && !it.Value.Leaving {
			c.lapses.Removed(now, it)
		}
	}
	return true
}

// hasDuty tells whether others have to know at once when this entry dies.
func (c *control) hasDuty(now time.Time, owners map[string][]owner.Entry) bool {
	for _, list := range owners {
		for _, e := range list {
			if e.Name == c.gateway.self.Name {
				return true
			}
		}
	}
	readers := c.readers(now)
	for _, name := range dutyNames {
		if owner.Rank(readers, name, c.gateway.self.Name) < fastReaders {
			return true
		}
	}
	return false
}

// fastReaders is how many entries in the order of readers beat at the full rate.
const fastReaders = 3
