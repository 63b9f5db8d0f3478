package gateway

import (
	"math/rand/v2"
	"time"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/member"
)

// Membership timing. Each entry contacts two others per round, so that its traffic doesn't
// depend on the number of entries.
const (
	// roundPeriod is the time between rounds. With the two timeouts below, it takes at
	// most 0.25 + 0.2 + 0.25 s and the time in which the suspicion spreads until
	// callers are no longer sent to an entry that died.
	roundPeriod = 250 * time.Millisecond
	// exchangeTimeout is how long a response may take. The latency between entries is a
	// few milliseconds, and a VM that has used up its CPU quota is paused for up to
	// 100 ms.
	exchangeTimeout = 200 * time.Millisecond
	// indirectPingTimeout is how long a ping through another entry may take.
	indirectPingTimeout = 250 * time.Millisecond
	// suspicionTimeout is how long an entry that is suspected to be dead has to refute the
	// suspicion, among up to 16 entries; among more it has longer. Callers are sent
	// elsewhere meanwhile.
	suspicionTimeout = 600 * time.Millisecond
	// deadRetention is how long the others keep trying to contact a dead entry, so that a
	// VM that was isolated or frozen for a while gets what it missed as soon as it is back.
	deadRetention = 2 * time.Minute
	// leftRetention is how long a stopped entry is remembered, so that a late message
	// about it doesn't revive it.
	leftRetention = time.Minute
	// isolationTimeout is how long an entry receives nothing from any other before it
	// counts as isolated: several rounds.
	isolationTimeout = 4 * roundPeriod
)

const (
	// gossipFanOut is the number of entries that a change is sent to at once. With
	// three, 94 in 100 entries receive it that way and the rest in the next round.
	gossipFanOut = 3
	// maxEntryBytes is the size limit of the entries in a packet, beside its other parts.
	maxEntryBytes = 900
	// bulkFetchBuckets is the number of differing buckets from which on an entry fetches
	// all members that it lacks in one call. The membership table has 64 buckets, and a
	// message has room for the members of a few of them.
	bulkFetchBuckets = 8
	// maxOwnerCounts is the number of hosts whose owner counts fit into a message.
	maxOwnerCounts = 8
)

// memberConfig returns the configuration of the membership table.
func (g *Gateway) memberConfig() member.Config {
	return member.Config{
		Self: member.Entry{
			ID: member.ID{Name: g.self.Name, Boot: g.self.Boot}, Since: g.started, CallerAddress: g.self.CallerAddress, PeerAddress: g.self.PeerAddress,
			Place: g.self.Place, Region: g.self.Region, Capacity: g.self.Capacity,
		},
		Seeds: g.otherSeeds(), Period: roundPeriod, ExchangeTimeout: exchangeTimeout, RelayTimeout: indirectPingTimeout, SuspicionTimeout: suspicionTimeout,
		DeadRetention: deadRetention, LeftRetention: leftRetention, FanOut: gossipFanOut, MaxEntryBytes: maxEntryBytes, BulkThreshold: bulkFetchBuckets, ExclusiveName: true,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// otherSeeds returns the seeds of the settings without this entry.
func (g *Gateway) otherSeeds() (list []string) {
	for _, address := range g.cfg.Settings.Seeds {
		if address != g.self.PeerAddress {
			list = append(list, address)
		}
	}
	return list
}

// isSeed reports whether this entry is one of the seeds that others contact at their start.
func (g *Gateway) isSeed() bool {
	return len(g.otherSeeds()) < len(g.cfg.Settings.Seeds)
}

// pendingExchange is an exchange that waits for its response.
type pendingExchange struct {
	exchange uint64
	deadline time.Time
}

// handleEvent passes an event to the membership table and performs the resulting actions.
func (c *control) handleEvent(now time.Time, ev member.Event) {
	for _, a := range c.members.Handle(now, ev) {
		c.perform(now, a)
	}
}

// answerGossip passes another entry's message to the membership table and answers it.
func (c *control) answerGossip(now time.Time, p relay.Packet, from string) {
	for _, a := range c.members.Handle(now, member.Request{Message: p.Message}) {
		if r, ok := a.(member.Reply); ok {
			c.send(from, c.packet(now, relay.GossipResponse, p.ExchangeID, r.Message))
			continue
		}
		c.perform(now, a)
	}
}

func (c *control) perform(now time.Time, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		c.pendingExchanges = append(c.pendingExchanges, pendingExchange{a.ExchangeID, now.Add(a.Timeout)})
		c.send(a.To.Address, c.packet(now, relay.GossipRequest, a.ExchangeID, a.Message))
	case member.IndirectPing:
		c.pendingExchanges = append(c.pendingExchanges, pendingExchange{a.ExchangeID, now.Add(a.Timeout)})
		c.send(a.Via.Address, relay.Packet{Kind: relay.IndirectPing, ExchangeID: a.ExchangeID, Address: a.Peer.Address})
	case member.ViewChanged:
		c.liveEntries = nil
		c.updateIdentity()
		c.noteReportedFailures(now)
	case member.Fetch:
		c.fetch(now, a.From.Address)
	case member.RumoursReceived:
		c.receiveRumours(now, a.Rumours)
	case member.Reply, member.RevisionsChanged, member.PeerAhead, member.Superseded:
		// None needs an action: a reply occurs only in answerGossip, revisions are
		// compared when a packet is received, and names are exclusive, so that no
		// other incarnation supersedes this one.
	}
}

func (c *control) packet(now time.Time, kind relay.Kind, exchange uint64, m member.Message) relay.Packet {
	return relay.Packet{
		Kind: kind, ExchangeID: exchange, Message: m, Knowledge: c.knowledge(now), OwnerCounts: c.gossipedCounts.TakeUnsent(maxOwnerCounts, len(m.BucketDigests) > 0 || m.Join),
	}
}

// knowledge returns the versions that this entry has in force and their ages, to advertise.
func (c *control) knowledge(now time.Time) relay.Knowledge {
	return relay.Knowledge{
		Config: c.config.Version, Targets: c.targets.LastChange(), Evacuations: c.evacuations.LastChange(),
		ConfigAge: now.Sub(c.confirmed[resourceConfig]), TargetsAge: now.Sub(c.confirmed[resourceTargets]),
		EvacuationsAge: now.Sub(c.confirmed[resourceEvacuations]),
	}
}

func (c *control) send(to string, p relay.Packet) {
	if err := c.gateway.relay.Send(to, p); err != nil {
		c.gateway.log.WithError(err).Debug("packet not sent")
	}
}

// runTimers handles the timers that are due: exchanges without a response, membership rounds
// and pulls.
func (c *control) runTimers(now time.Time) {
	kept := c.pendingExchanges[:0]
	var expired []uint64
	for _, pending := range c.pendingExchanges {
		if now.Before(pending.deadline) {
			kept = append(kept, pending)
		} else {
			expired = append(expired, pending.exchange)
		}
	}
	c.pendingExchanges = kept
	for _, exchange := range expired {
		c.handleEvent(now, member.ExchangeFailed{ExchangeID: exchange})
	}
	if !now.Before(c.members.Next()) {
		c.handleEvent(now, member.Tick{})
	}
	if at, ok := c.nextPull(); ok && !now.Before(at) {
		c.pullNewest(now)
	}
}

// nextPull returns when to pull from another entry if the current one doesn't answer; ok is
// false if there is nothing to pull from another one.
func (c *control) nextPull() (at time.Time, ok bool) {
	ok = c.pullSource != "" && c.newestSource != c.pullSource && c.lacks(c.newestKnowledge)
	return c.pullStarted.Add(pullExclusiveTime), ok
}

// nextTimer returns the time of the next timer.
func (c *control) nextTimer() time.Time {
	at := c.members.Next()
	for _, pending := range c.pendingExchanges {
		if pending.deadline.Before(at) {
			at = pending.deadline
		}
	}
	if pull, ok := c.nextPull(); ok && pull.Before(at) {
		at = pull
	}
	return at
}

func (c *control) removePending(exchange uint64) {
	for i, pending := range c.pendingExchanges {
		if pending.exchange == exchange {
			c.pendingExchanges = append(c.pendingExchanges[:i], c.pendingExchanges[i+1:]...)
			return
		}
	}
}

// packetReceived is a packet of another entry.
type packetReceived struct {
	packet relay.Packet
	from   string
}

func (m packetReceived) apply(now time.Time, c *control) {
	p := m.packet
	switch p.Kind {
	case relay.GossipRequest:
		c.noteWaitingPeer(m.from, p.Knowledge)
		c.answerGossip(now, p, m.from)
	case relay.GossipResponse:
		c.removePending(p.ExchangeID)
		c.handleEvent(now, member.Response{ExchangeID: p.ExchangeID, Message: p.Message})
	case relay.IndirectAck:
		c.removePending(p.ExchangeID)
		c.handleEvent(now, member.IndirectAck{ExchangeID: p.ExchangeID, ID: p.ID})
		return
	case relay.LoadReport:
		c.rateReports[p.ID.Name] = rateReport{now, p.Loads}
		return
	case relay.SuspectReport:
		c.receiveSuspects(now, p.ID.Name, p.Suspects)
		return
	}
	for _, n := range p.OwnerCounts {
		if c.gossipedCounts.Merge(n) {
			c.ownerCountsChanged = true
		}
	}
	c.receiveKnowledge(now, m.from, p.Knowledge)
}

// reportCondition advertises whether this entry is overloaded, the store is unavailable, or
// services are out of reach.
func (c *control) reportCondition(now time.Time) {
	c.handleEvent(now, member.SetCondition{Condition: member.Condition{
		Overloaded: c.overload.overloaded(now), StoreUnavailable: c.storeUnavailable, Unreachable: c.unreachable(now),
	}})
}

// leaveStarted is sent when this entry begins to stop. left, if not nil, gets the time at which
// the entry has left its own view and has sent its token buckets to their next issuers. It must
// have room for that.
type leaveStarted struct{ left chan<- time.Time }

func (m leaveStarted) apply(now time.Time, c *control) {
	c.handleEvent(now, member.Leave{})
	c.publishIfChanged(now)
	// A change reaches most entries at once and the rest in the next rounds of 250 ms. A successor
	// that learned of the stop so late would refuse requests although it has the buckets.
	c.handleEvent(now, member.PushTo{Names: c.gateway.quotas.takeSuccessors()})
	if m.left != nil {
		m.left <- time.Now()
	}
}

// departed is sent when this entry has served its last request.
type departed struct{}

func (departed) apply(now time.Time, c *control) { c.handleEvent(now, member.Depart{}) }

// updateIdentity stores the identity of this run. It changes if other entries know a later
// start of this entry, from before its clock went back.
func (c *control) updateIdentity() {
	id := c.members.Self()
	c.gateway.selfID.Store(&id)
}
