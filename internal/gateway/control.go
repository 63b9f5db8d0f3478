package gateway

import (
	"cmp"
	"context"
	"maps"
	"time"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
)

// maxInbox bounds the messages that wait for the control loop.
const maxInbox = 256

// tickPeriod is how often the control loop brings rates and owners up to date.
const tickPeriod = 250 * time.Millisecond

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
	// evacuations are the marks on failure domains, which get no requests.
	evacuations *roster.Roster[slot.Evacuation]
	evacuatedAt map[string]time.Time // when this entry heard of each mark
	// marksAwaited are marks that vanished when the store was restored from a copy.
	marksAwaited *roster.Lapses[slot.Evacuation]
	restored     time.Time // when this entry last heard that the store was
	epoch        uint64    // of the store, after its last restore
	// confirmed is when the store was asked for what is known.
	confirmed [duties]time.Time
	configAt  roster.Revision // up to which the configuration's history is known

	members  *member.Table
	awaits   []awaited       // exchanges of the table
	newest   relay.Knowledge // that another entry told of last and this one lacked
	newestAt string          // the address of that entry
	waiting  map[string]bool // addresses of entries that wait for a first configuration
	pulling  string          // the entry that was last asked for what it has in force, until it answers
	pullAt   time.Time       // when it was asked
	fetching bool            // the entries that another one knows
	fetched  time.Time
	suspects map[uint64]int // crashes of each suspect that the others were told of
	said     uint64         // words on suspects
	runs     map[string]liveRun
	rolls    int // how often it was worked out which entries live
	rollTold int // the last of them after which those that had started were told of suspects

	// What follows from which entries live; roll is nil when they have changed.
	roll  []owner.Candidate
	order [duties][]owner.Entry // those next to read the store
	rank  [duties]int           // of this entry among the readers

	numbers owner.Numbers         // of owners, by host
	loads   map[string]loadsHeard // what other entries get of each host, by entry
	recount bool                  // a number of owners has changed
	deal    *owner.Deal           // nil when live entries have changed
	dealt   *route.Table          // whose hosts deal has
	owners  map[string][]owner.Entry
	ownedBy *owner.Deal // by which owners were worked out
	counted map[string]int
	// unshared says that services don't know yet which entries send to them, and apart
	// that they go by this entry being cut off from the others.
	unshared, apart bool
	shared          retryShare // that services have
	aged            time.Time  // when what they have saved up last aged

	enrolled  time.Time     // when the store named the other entries
	enrolling time.Duration // how long that took
	ahead     int           // entries that enrolled before, at a start of all
	services  map[string]*service
	dropped   map[string]droppedService
	hosts     hosts
	told      bool      // requests that were held for the first view go on
	dirty     bool      // services lag behind what is known
	shut      bool      // the store doesn't serve this entry
	failing   time.Time // when the store was first seen to fail since it last confirmed the targets
	strain    strain
	believed  beliefs
}

func newControl(g *Gateway) *control {
	return &control{
		gateway: g, inbox: make(chan message, maxInbox), started: g.started,
		targets: roster.New(slot.Same), lapses: roster.NewLapses[slot.Target](), evacuations: roster.New(slot.SameEvacuation), marksAwaited: roster.NewLapses[slot.Evacuation](),
		dropped: make(map[string]droppedService), waiting: make(map[string]bool), suspects: make(map[uint64]int),
		numbers: owner.NewNumbers(), loads: make(map[string]loadsHeard),
	}
}

// tell hands a message to the control loop; it waits while the inbox is full.
func (c *control) tell(ctx context.Context, m message) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

// heard takes a packet of another entry. One that finds the inbox full is
// dropped: the next one says the same.
func (c *control) heard(p relay.Packet, from string) {
	c.gateway.instruments.packets.Inc(1)
	select {
	case c.inbox <- packetHeard{p, from}:
	default:
		c.gateway.log.WithField("from", from).Warn("control: inbox full, packet dropped")
	}
}

// Serve runs until ctx ends. Its state outlives a restart by the supervisor.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	round := time.NewTimer(0)
	defer round.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.inbox:
			c.take(m)
		case <-tick.C:
			c.tick(time.Now())
		case <-round.C:
			c.rounds(time.Now())
			c.refresh(time.Now())
		}
		round.Reset(time.Until(c.next()))
	}
}

func (c *control) String() string { return "control" }

func (c *control) tick(now time.Time) {
	c.hosts.tick(now)
	c.strain.tick(now, tickPeriod)
	c.excuse(now)
	c.feel(now)
	c.tellStarted(now)
	c.tellSuspects(now)
	c.publish(now)
	c.tellLoads(now)
	c.report(now)
}

// take applies a message and all that wait behind it, then publishes once if
// they made a difference. Most are packets that say that nothing has changed.
func (c *control) take(m message) {
	now := time.Now()
	for {
		m.apply(now, c)
		select {
		case m = <-c.inbox:
		default:
			c.refresh(now)
			c.gateway.freshness.set(c.confirmed, c.shut || !c.failing.IsZero())
			return
		}
	}
}

// refresh publishes where anything that traffic goes by has changed.
func (c *control) refresh(now time.Time) {
	if c.dirty || c.recount || c.roll == nil {
		c.publish(now)
	}
}

// publish brings the services in line with what is known and replaces the view.
func (c *control) publish(now time.Time) {
	if c.dirty || c.awaiting(now) {
		c.dirty = c.awaiting(now)
		c.supply(now)
	}
	live := c.live()
	c.hosts.configure(c.table)
	deal := c.dealing(live)
	counts := c.counts(now, deal)
	if deal != c.ownedBy || !maps.Equal(counts, c.counted) {
		c.owners, c.ownedBy, c.counted = deal.Owners(counts), deal, counts
		c.unshared = true
	}
	owners := c.owners
	c.recount = false
	if alone := c.isolated(now); alone != c.apart || c.unshared {
		c.apart, c.unshared = alone, false
		c.shareCold(now, owners)
	}
	c.shareRetries(now)
	c.logBeliefs(now, live, owners)
	targets := c.table != nil && c.complete()
	c.gateway.view.Store(&view{
		table: c.table, targets: targets, services: c.services, live: live, owners: owners, rates: c.hosts.rates,
	})
	if targets && !c.told {
		c.told = true
		close(c.gateway.known)
	}
}

// supply gives each service of the configuration its targets, and those that it has
// dropped: with the list of that time, requests that still seek one would be sent to
// targets that have left since.
//
// Before it is known which failure domains are evacuated no service gets any: an entry
// that starts would send requests to a domain that the others have left.
func (c *control) supply(now time.Time) {
	byService := make(map[string][]slot.Target)
	if c.complete() {
		byService = c.byService(now)
	}
	services := make(map[string]*service, len(c.config.Services))
	for name, s := range c.config.Services {
		sv := cmp.Or(c.services[name], c.dropped[name].service)
		if sv == nil {
			sv = newService(c.gateway, s)
		}
		c.unshared = c.unshared || sv != c.services[name]
		sv.configure(now, s)
		sv.take(now, byService[name])
		services[name] = sv
	}
	c.drop(now, services)
	for name, d := range c.dropped {
		d.take(now, byService[name])
	}
	c.services = services
}

// complete tells whether all is known that targets are chosen by.
func (c *control) complete() bool {
	for _, d := range []duty{dutyTargets, dutyEvacuations} {
		if c.gateway.needs(d) && c.confirmed[d].IsZero() {
			return false
		}
	}
	return true
}

// byService gives the targets of each service, marked where their failure domain is
// evacuated.
func (c *control) byService(now time.Time) map[string][]slot.Target {
	byService := make(map[string][]slot.Target)
	marks := c.marks(now)
	for _, it := range c.usable(now) {
		t := it.Value
		_, t.Evacuated = marks[t.Place]
		t.Region = c.gateway.cfg.Settings.Regions[t.Place]
		byService[t.Service] = append(byService[t.Service], t)
	}
	return byService
}
