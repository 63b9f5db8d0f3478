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
const inboxSize = 256

// tickInterval is the interval at which the control loop updates rates and owners.
const tickInterval = 250 * time.Millisecond

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

	config          route.Config
	table           *route.Table
	configData      []byte // the encoded configuration, as in the store
	targets         *roster.Roster[slot.Target]
	vanishedTargets *roster.Vanished[slot.Target]
	// evacuations names the failure domains that get no requests.
	evacuations    *roster.Roster[slot.Evacuation]
	evacuationSeen map[string]time.Time // when this entry first received each evacuation
	// vanishedEvacuations are those that were missing after the store was restored from a copy.
	vanishedEvacuations *roster.Vanished[slot.Evacuation]
	restoredAt          time.Time // when this entry last detected a restore of the store
	epoch               uint64    // store epoch, which grows with each restore
	// confirmed is the time up to which the store has confirmed each resource.
	confirmed      [resourceCount]time.Time
	configRevision roster.Revision // last revision read from the configuration's history

	members               *member.Table
	pendingExchanges      []pendingExchange // membership exchanges that wait for a response
	newestKnowledge       relay.Knowledge   // last advertised by another entry that has something newer
	newestSource          string            // address of that entry
	waitingPeers          map[string]bool   // addresses of entries that have no configuration yet
	pullSource            string            // address of the entry that the current pull asks; empty after its reply
	pullStarted           time.Time         // when that pull began
	fetchPending          bool              // a fetch of another entry's members is in progress
	lastFetch             time.Time
	announcedSuspects     map[uint64]announcedSuspect // by fingerprint
	suspectsAnnouncedAt   time.Time
	suspectSequence       uint64 // number of the last announcement of a suspected request
	liveInstances         map[string]liveInstance
	liveVersion           int // grows each time that the live entries are recomputed
	startedHandledVersion int // liveVersion up to which notifyStarted has handled newly started entries

	// State derived from membership; liveEntries is nil when the membership has changed.
	liveEntries []owner.Candidate
	contact     member.Contact
	// unreachableBy has the IDs of the services that each entry doesn't reach, by name of the
	// entry, and reportedUnreachable those that any other entry doesn't reach.
	unreachableBy       map[string][]uint32
	reportedUnreachable map[uint32]bool
	readerOrder         [resourceCount][]owner.Entry // the first entries in the order of readers
	readerRank          [resourceCount]int           // of this entry in the order of readers

	gossipedCounts     owner.Counts          // owner count of each host, as gossiped
	rateReports        map[string]rateReport // request rates that other entries report, by entry
	ownerCountsChanged bool                  // another entry has changed the number of a host's owners
	assignment         *owner.Assignment     // of hosts to owners; nil when the live entries have changed
	assignmentTable    *route.Table          // the table whose hosts are assigned
	owners             map[string][]owner.Entry
	ownersAssignment   *owner.Assignment // the assignment that owners was computed from
	assignedCounts     map[string]int
	// sendersChanged is set until services know which entries send to them.
	// sendersIsolated is whether services were last told that this entry is isolated.
	sendersChanged, sendersIsolated bool
	retryShare                      retryShare // last given to the services
	retryAgedAt                     time.Time  // when the saved retries of the services last aged

	enrolledAt         time.Time     // when the enrolment listed the other entries; zero before
	enrollDuration     time.Duration // how long the enrolment took
	recordsListed      bool          // the store has listed the records of entries
	recordedPeers      int           // other entries in the last list of the store's records
	enrolledBefore     int           // entries that started at the same time and enrolled earlier
	services           map[string]*service
	reach              map[string]*serviceReach // of services that showed signs of trouble
	removedServices    map[string]removedService
	hosts              hosts
	firstViewPublished bool      // requests are no longer held for the first view
	servicesStale      bool      // services lack the latest configuration or targets
	storeUnavailable   bool      // the last read from the store failed
	storeFailingSince  time.Time // first failed call since the store last confirmed the targets; zero if none
	overload           overloadDetector
	quotasUsed         bool // a configuration had accounts
	quotasLiveVersion  int  // liveVersion that the quotas were last given
	logged             loggedState
}

func newControl(g *Gateway) *control {
	return &control{
		gateway: g, inbox: make(chan message, inboxSize), started: g.started,
		targets: roster.New(slot.Equivalent), vanishedTargets: roster.NewVanished[slot.Target](), evacuations: roster.New(slot.EquivalentEvacuations), vanishedEvacuations: roster.NewVanished[slot.Evacuation](),
		removedServices: make(map[string]removedService), waitingPeers: make(map[string]bool), announcedSuspects: make(map[uint64]announcedSuspect),
		gossipedCounts: owner.NewCounts(), rateReports: make(map[string]rateReport),
		reach: make(map[string]*serviceReach),
	}
}

// enqueue sends a message to the control loop. It blocks while the inbox is full.
func (c *control) enqueue(ctx context.Context, m message) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

// enqueuePacket sends a packet of another entry to the control loop. While the inbox is
// full it drops the packet: the next one repeats its content.
func (c *control) enqueuePacket(p relay.Packet, from string) {
	c.gateway.instruments.packetsReceived.Inc(1)
	select {
	case c.inbox <- packetReceived{p, from}:
	default:
		c.gateway.log.WithField("from", from).Warn("control: inbox full, packet dropped")
	}
}

// Serve runs until ctx ends. The state survives a restart by the supervisor.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.inbox:
			c.processMessages(m)
		case <-tick.C:
			c.tick(time.Now())
		case <-timer.C:
			c.runTimers(time.Now())
			c.publishIfChanged(time.Now())
		}
		timer.Reset(time.Until(c.nextTimer()))
	}
}

func (c *control) String() string { return "control" }

func (c *control) tick(now time.Time) {
	c.hosts.tick(now)
	c.overload.tick(now, tickInterval)
	c.clearLocalFailure(now)
	c.checkReach(now)
	c.reportCondition(now)
	c.notifyStarted(now)
	c.announceSuspects(now)
	c.publish(now)
	c.sendRateReports(now)
	c.updateGauges(now)
}

// processMessages applies a message and all others in the inbox, then publishes once if
// they changed anything. Most are packets without a change.
func (c *control) processMessages(m message) {
	now := time.Now()
	for {
		m.apply(now, c)
		select {
		case m = <-c.inbox:
		default:
			c.publishIfChanged(now)
			c.gateway.freshness.update(c.confirmed, c.storeUnavailable || !c.storeFailingSince.IsZero())
			return
		}
	}
}

// publishIfChanged publishes a view if anything that requests depend on has changed.
func (c *control) publishIfChanged(now time.Time) {
	if c.servicesStale || c.ownerCountsChanged || c.liveEntries == nil {
		c.publish(now)
	}
}

// publish updates the services to the current state and replaces the view.
func (c *control) publish(now time.Time) {
	if c.servicesStale || c.expiryPending(now) {
		c.servicesStale = c.expiryPending(now)
		c.updateServices(now)
	}
	live := c.live()
	c.hosts.configure(c.table)
	assignment := c.currentAssignment(live)
	counts := c.ownerCounts(now, assignment)
	if assignment != c.ownersAssignment || !maps.Equal(counts, c.assignedCounts) {
		c.owners, c.ownersAssignment, c.assignedCounts = assignment.Owners(counts), assignment, counts
		c.sendersChanged = true
	}
	owners := c.owners
	c.ownerCountsChanged = false
	if isolated := c.isolated(now); isolated != c.sendersIsolated || c.sendersChanged {
		c.sendersIsolated, c.sendersChanged = isolated, false
		c.updateSenders(now, owners)
	}
	c.shareRetries(now)
	c.updateQuotas(now, live)
	c.logChanges(now, live, owners)
	initialized := c.table != nil && c.targetsKnown()
	c.gateway.view.Store(&view{
		table: c.table, initialized: initialized, services: c.services, live: live, owners: owners, rates: c.hosts.rates,
		isolated: c.isolated(now), known: c.recordedPeers, delegates: c.delegates(live, owners),
	})
	if initialized && !c.firstViewPublished {
		c.firstViewPublished = true
		close(c.gateway.initialized)
	}
}

// updateServices gives each service of the configuration its targets. Services that the
// configuration no longer has get theirs too: with an old list, their remaining requests
// would be sent to targets that have left since.
//
// No service gets targets before the evacuations are known: an entry that starts would
// send requests to an evacuated domain, which the other entries avoid.
func (c *control) updateServices(now time.Time) {
	byService := make(map[string][]slot.Target)
	if c.targetsKnown() {
		byService = c.targetsByService(now)
	}
	services := make(map[string]*service, len(c.config.Services))
	for name, s := range c.config.Services {
		sv := cmp.Or(c.services[name], c.removedServices[name].service)
		if sv == nil {
			sv = newService(now, c.gateway, s)
		}
		c.sendersChanged = c.sendersChanged || sv != c.services[name]
		sv.configure(now, s, c.config.Accounts != nil)
		sv.setTargets(now, byService[name])
		services[name] = sv
	}
	c.updateRemoved(now, services)
	for name, removed := range c.removedServices {
		removed.setTargets(now, byService[name])
	}
	c.services = services
}

// targetsKnown reports whether the targets and, if the settings have a bound for them, the
// evacuations are known: everything besides the configuration that the choice of a target
// depends on.
func (c *control) targetsKnown() bool {
	for _, r := range []resource{resourceTargets, resourceEvacuations} {
		if c.gateway.needs(r) && c.confirmed[r].IsZero() {
			return false
		}
	}
	return true
}

// targetsByService returns the targets of each service, with those in an evacuated
// failure domain marked.
func (c *control) targetsByService(now time.Time) map[string][]slot.Target {
	byService := make(map[string][]slot.Target)
	evacuations := c.effectiveEvacuations(now)
	for _, it := range c.usableTargets(now) {
		t := it.Value
		_, t.Evacuated = evacuations[t.Place]
		t.Region = c.gateway.cfg.Settings.Regions[t.Place]
		byService[t.Service] = append(byService[t.Service], t)
	}
	return byService
}
