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

// inboxSize bounds the messages that wait for the control loop.
const maxInbox = 256

// tickInterval is the interval at which the control loop updates rates and owners.
const tickPeriod = 250 * time.Millisecond

// message is an event for the control loop. The set of types is closed.
type message interface {
	apply(now time.Time, c *control)
}

// control holds the state of this entry: configuration, targets, evacuations and
// membership. Only the control loop reads and writes it; all others send messages.
type control struct {
	gateway *Gateway
	inbox   chan message
	started time.Time

	config  route.Config
	table   *route.Table
	raw     []byte // the encoded configuration, as in the store
	targets *roster.Roster[slot.Target]
	lapses  *roster.Vanished[slot.Target]
	// evacuations names the failure domains that get no requests.
	evacuations *roster.Roster[slot.Evacuation]
	evacuatedAt map[string]time.Time // when this entry first received each evacuation
	// vanishedEvacuations are those that were missing after the store was restored from a copy.
	marksAwaited *roster.Vanished[slot.Evacuation]
	restored     time.Time // when this entry last detected a restore of the store
	epoch        uint64    // store epoch, which grows with each restore
	// confirmed is the time up to which the store has confirmed each resource.
	confirmed [duties]time.Time
	configAt  roster.Revision // last revision read from the configuration's history

	members  *member.Table
	awaits   []awaited       // membership exchanges that wait for an answer
	newest   relay.Knowledge // last advertised by another entry that has something newer
	newestAt string          // address of that entry
	waiting  map[string]bool // addresses of entries that have no configuration yet
	pulling  string          // address of the entry that the current pull asks; empty after its answer
	pullAt   time.Time       // when that pull began
	fetching bool            // a fetch of another entry's members is in progress
	fetched  time.Time
	suspects map[uint64]int // crashes of each suspect, as announced to the other entries
	said     uint64         // number of the last announcement of a suspect
	runs     map[string]liveInstance
	rolls    int // grows each time that the live entries are recomputed
	rollTold int // liveVersion at which new runs were last sent the suspects

	// State derived from membership; liveEntries is nil when the membership has changed.
	roll  []owner.Candidate
	order [duties][]owner.Entry // the first entries in the order of readers
	rank  [duties]int           // of this entry in the order of readers

	numbers owner.Counts          // owner count of each host, as gossiped
	loads   map[string]rateReport // request rates that other entries report, by entry
	recount bool                  // another entry has changed the number of a host's owners
	deal    *owner.Assignment     // of hosts to owners; nil when the live entries have changed
	dealt   *route.Table          // the table whose hosts are assigned
	owners  map[string][]owner.Entry
	ownedBy *owner.Assignment // the assignment that owners was computed from
	counted map[string]int
	// sendersChanged is set until services know which entries send to them.
	// sendersIsolated is whether services were last told that this entry is cut off.
	unshared, apart bool
	shared          retryShare // last given to the services
	aged            time.Time  // when the saved retries of the services last aged

	enrolled  time.Time     // when the enrolment listed the other entries; zero before
	enrolling time.Duration // how long the enrolment took
	ahead     int           // entries that started at the same time and enrolled earlier
	services  map[string]*service
	dropped   map[string]removedService
	hosts     hosts
	told      bool      // requests are no longer held for the first view
	dirty     bool      // services lack the latest configuration or targets
	shut      bool      // the last call to the store failed
	failing   time.Time // first failed call since the store last confirmed the targets; zero if none
	strain    overloadDetector
	believed  beliefs
}

func newControl(g *Gateway) *control {
	return &control{
		gateway: g, inbox: make(chan message, maxInbox), started: g.started,
		targets: roster.New(slot.Equivalent), lapses: roster.NewVanished[slot.Target](), evacuations: roster.New(slot.EquivalentEvacuations), marksAwaited: roster.NewVanished[slot.Evacuation](),
		dropped: make(map[string]removedService), waiting: make(map[string]bool), suspects: make(map[uint64]int),
		numbers: owner.NewCounts(), loads: make(map[string]rateReport),
	}
}

// enqueue sends a message to the control loop. It blocks while the inbox is full.
func (c *control) tell(ctx context.Context, m message) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

// enqueuePacket sends a packet of another entry to the control loop. While the inbox is
// full it drops the packet: the next one repeats its content.
func (c *control) heard(p relay.Packet, from string) {
	c.gateway.instruments.packetsReceived.Inc(1)
	select {
	case c.inbox <- packetHeard{p, from}:
	default:
		c.gateway.log.WithField("from", from).Warn("control: inbox full, packet dropped")
	}
}

// Serve runs until ctx ends. The state survives a restart by the supervisor.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.inbox:
			c.take(m)
		case <-tick.C:
			c.tick(time.Now())
		case <-timer.C:
			c.rounds(time.Now())
			c.refresh(time.Now())
		}
		timer.Reset(time.Until(c.next()))
	}
}

func (c *control) String() string { return "control" }

func (c *control) tick(now time.Time) {
	c.hosts.tick(now)
	c.strain.tick(now, tickPeriod)
	c.excuse(now)
	c.feel(now)
	c.notifyStarted(now)
	c.announceSuspects(now)
	c.publish(now)
	c.sendRateReports(now)
	c.updateGauges(now)
}

// processMessages applies a message and all others in the inbox, then publishes once if
// they changed anything. Most are packets without a change.
func (c *control) take(m message) {
	now := time.Now()
	for {
		m.apply(now, c)
		select {
		case m = <-c.inbox:
		default:
			c.refresh(now)
			c.gateway.freshness.update(c.confirmed, c.shut || !c.failing.IsZero())
			return
		}
	}
}

// publishIfChanged publishes a view if anything that requests depend on has changed.
func (c *control) refresh(now time.Time) {
	if c.dirty || c.recount || c.roll == nil {
		c.publish(now)
	}
}

// publish updates the services to the current state and replaces the view.
func (c *control) publish(now time.Time) {
	if c.dirty || c.awaiting(now) {
		c.dirty = c.awaiting(now)
		c.supply(now)
	}
	live := c.live()
	c.hosts.configure(c.table)
	assignment := c.currentAssignment(live)
	counts := c.ownerCounts(now, assignment)
	if assignment != c.ownedBy || !maps.Equal(counts, c.counted) {
		c.owners, c.ownedBy, c.counted = assignment.Owners(counts), assignment, counts
		c.unshared = true
	}
	owners := c.owners
	c.recount = false
	if isolated := c.isolated(now); isolated != c.apart || c.unshared {
		c.apart, c.unshared = isolated, false
		c.updateSenders(now, owners)
	}
	c.shareRetries(now)
	c.logBeliefs(now, live, owners)
	initialized := c.table != nil && c.complete()
	c.gateway.view.Store(&view{
		table: c.table, targets: initialized, services: c.services, live: live, owners: owners, rates: c.hosts.rates,
	})
	if initialized && !c.told {
		c.told = true
		close(c.gateway.initialized)
	}
}

// updateServices gives each service of the configuration its targets. Services that the
// configuration no longer has get theirs too: with an old list, their remaining requests
// would be sent to targets that have left since.
//
// No service gets targets before the evacuations are known: an entry that starts would
// send requests to an evacuated domain, which the other entries avoid.
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
		sv.setTargets(now, byService[name])
		services[name] = sv
	}
	c.updateRemoved(now, services)
	for name, d := range c.dropped {
		d.setTargets(now, byService[name])
	}
	c.services = services
}

// initialized reports whether everything needed to choose a target is known.
func (c *control) complete() bool {
	for _, r := range []duty{dutyTargets, dutyEvacuations} {
		if c.gateway.needs(r) && c.confirmed[r].IsZero() {
			return false
		}
	}
	return true
}

// targetsByService returns the targets of each service, with those in an evacuated
// failure domain marked.
func (c *control) byService(now time.Time) map[string][]slot.Target {
	byService := make(map[string][]slot.Target)
	evacuations := c.marks(now)
	for _, it := range c.usable(now) {
		t := it.Value
		_, t.Evacuated = evacuations[t.Place]
		t.Region = c.gateway.cfg.Settings.Regions[t.Place]
		byService[t.Service] = append(byService[t.Service], t)
	}
	return byService
}
