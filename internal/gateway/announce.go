package gateway

import (
	"time"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/member"
)

// transitTime is the assumed time from the sending of a packet to its handling: a few
// milliseconds of latency, and the delay on a VM with a sixth of a core. Without it, the age
// of the store's last confirmation would shrink with each entry that passes it on: in an
// outage of 4 s, 17 of 113 gateways took that for a later confirmation.
const transitTime = 20 * time.Millisecond

// receiveKnowledge handles what another entry advertises: it pulls newer versions and takes
// confirmations of equal ones.
func (c *control) receiveKnowledge(now time.Time, from string, k relay.Knowledge) {
	if c.lacks(k) {
		c.newestKnowledge, c.newestSource = k, from
		c.pull(now, from)
	}
	sentAt := now.Add(-transitTime)
	if k.Config == c.config.Version {
		c.confirmFromPeer(now, sentAt, resourceConfig, k.ConfigAge)
	}
	if k.Targets == c.targets.LastChange() {
		c.confirmFromPeer(now, sentAt, resourceTargets, k.TargetsAge)
	}
	if k.Evacuations == c.evacuations.LastChange() {
		c.confirmFromPeer(now, sentAt, resourceEvacuations, k.EvacuationsAge)
	}
	c.receiveLease(now, sentAt, from, k)
}

// maxWaitingPeers is the number of entries without a configuration that this one notifies
// as soon as it has one. Each then pulls, which takes 20 ms of a link of 20 Mbit/s for 700
// targets. The remaining entries receive the announcement from these.
const maxWaitingPeers = 16

// noteWaitingPeer records an entry without a configuration, if this one has none either.
func (c *control) noteWaitingPeer(address string, k relay.Knowledge) {
	if c.config.Version == 0 && k.Config == 0 && len(c.waitingPeers) < maxWaitingPeers {
		c.waitingPeers[address] = true
	}
}

// announceRevisions sends the newer versions in force to the waiting entries, and
// advertises them to the others.
func (c *control) announceRevisions(now time.Time) {
	for address := range c.waitingPeers {
		c.send(address, relay.Packet{Kind: relay.Announcement, Knowledge: c.knowledge(now)})
	}
	if c.config.Version != 0 && c.targets.LastChange() != 0 {
		clear(c.waitingPeers)
	}
	c.handleEvent(now, member.SetRevisions{Revisions: member.Revisions{
		Settings: uint64(c.config.Version), Targets: uint64(c.targets.LastChange()),
	}})
}

// announceConfirmation sends what the store has just confirmed to the next entries in the
// order of readers. They read the store themselves if no confirmation comes in time, and with
// the membership rounds it would reach them only after half a second or more.
func (c *control) announceConfirmation(now time.Time, r resource) {
	for _, e := range c.readerOrder[r] {
		if e.Name != c.gateway.self.Name {
			c.send(e.PeerAddress, relay.Packet{Kind: relay.Announcement, Knowledge: c.knowledge(now)})
		}
	}
}
