package gateway

import (
	"strconv"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
)

// A suspect is a request, known by a fingerprint, that may have crashed targets
// (call.Suspects). After crashLimit crashes in a row it is quarantined.

const (
	// maxSuspects is how many suspects are checked for changes at a time, two for each request.
	maxSuspects = 32
	// maxAnnouncedSuspects bounds the suspects that are remembered as announced. When it is
	// exceeded, all are forgotten and announced once more.
	maxAnnouncedSuspects = 4096
)

const (
	// notifierMinUptime is how long an entry must have been live before it sends the
	// quarantined requests to entries that start: by then it has received them itself.
	notifierMinUptime = 2 * time.Second
	// maxNotifiers is how many entries notify one that starts; several, since datagrams
	// may be lost.
	maxNotifiers = 3
)

// liveInstance is a live incarnation of an entry.
type liveInstance struct {
	boot  uint64
	since time.Time // when this entry first saw it live
}

// notifyStarted sends the quarantined requests to entries that have started or are live
// again. Entries that were live when a quarantine began received it then.
func (c *control) notifyStarted(now time.Time) {
	live := c.live()
	if c.liveVersion == c.startedHandledVersion {
		return
	}
	c.startedHandledVersion = c.liveVersion
	var started []owner.Candidate
	instances := make(map[string]liveInstance, len(live))
	for _, e := range live {
		instance, ok := c.liveInstances[e.Name]
		if !ok || instance.boot != e.Boot {
			instance = liveInstance{e.Boot, now}
			started = append(started, e)
		}
		instances[e.Name] = instance
	}
	c.liveInstances = instances
	if !c.isNotifier(now) {
		return
	}
	quarantined := c.quarantined(now)
	if len(quarantined) == 0 {
		return
	}
	for _, e := range started {
		c.send(e.PeerAddress, relay.Packet{Kind: relay.SuspectReport, Suspects: quarantined, ID: c.members.Self()})
	}
}

// isNotifier reports whether this entry notifies entries that start. The notifiers are
// the first maxNotifiers entries, by name, that have been live for notifierMinUptime.
func (c *control) isNotifier(now time.Time) bool {
	n := 0
	for _, e := range c.live() {
		if now.Sub(c.liveInstances[e.Name].since) < notifierMinUptime {
			continue
		}
		if e.Name == c.gateway.self.Name {
			return true
		}
		if n++; n == maxNotifiers {
			return false
		}
	}
	return false
}

// heldOrQuarantined reports whether a request is held or in quarantine.
func heldOrQuarantined(s call.Suspect) bool {
	return s.Crashes >= crashLimit || s.Unanswered >= crashLimit
}

// quarantined returns the requests that are held or in quarantine, in the form sent to other entries.
func (c *control) quarantined(now time.Time) (list []call.Suspect) {
	for _, s := range c.gateway.suspects.Export(now, maxSuspects) {
		if heldOrQuarantined(s) {
			list = append(list, s)
		}
	}
	return list
}

// receiveSuspects merges another entry's report of requests that crash targets. That entry
// has announced the quarantined ones to all entries, so they are recorded as announced.
func (c *control) receiveSuspects(now time.Time, by string, list []call.Suspect) {
	for _, s := range list {
		c.logReceivedSuspect(s.Fingerprint, uint32(s.Crashes), by)
		if heldOrQuarantined(s) {
			c.announcedSuspects[s.Fingerprint] = announcedOf(s)
		}
	}
	c.gateway.suspects.Merge(now, by, list)
}

// receiveRumours merges quarantined requests that were received by gossip.
func (c *control) receiveRumours(now time.Time, r member.Rumours) {
	for _, s := range r.CrashReports {
		c.logReceivedSuspect(s.Fingerprint, s.Crashes, s.Reporter)
		suspect := peer.Suspect(now, s)
		if heldOrQuarantined(suspect) {
			c.announcedSuspects[s.Fingerprint] = announcedOf(suspect)
		}
		c.gateway.suspects.Merge(now, s.Reporter, []call.Suspect{suspect})
	}
}

// logReceivedSuspect logs another entry's report of a request that crashes targets.
func (c *control) logReceivedSuspect(fingerprint uint64, crashes uint32, by string) {
	c.gateway.log.WithFields(log.Fields{
		"print": strconv.FormatUint(fingerprint, 36), "crashes": crashes, "by": by,
	}).Info("told of a request that crashes targets")
}

// logHeld logs that a request is held or in quarantine, or that one more of its trials has failed.
func (c *control) logHeld(s call.Suspect) {
	c.gateway.log.WithFields(log.Fields{
		"print": strconv.FormatUint(s.Fingerprint, 36), "crashes": s.Crashes, "unanswered": s.Unanswered, "trials": s.Trials,
	}).Warn("request is held, its targets don't answer it")
}

// minAnnounceInterval is the least time between two announcements of crashes, besides those of
// the ticks. A domain that fails breaks the requests of all its targets.
const minAnnounceInterval = 50 * time.Millisecond

// suspectsChanged is sent when a target has crashed under a request, or the request is held. Its
// caller sends it to another entry within a few milliseconds.
type suspectsChanged struct{}

// announceSoon makes the control loop announce suspects before its next tick, which does it otherwise.
func (c *control) announceSoon() {
	select {
	case c.inbox <- suspectsChanged{}:
	default:
	}
}

// announcedSuspect is what other entries were told of a suspect.
type announcedSuspect struct{ crashes, unanswered, trials int }

func announcedOf(s call.Suspect) announcedSuspect {
	return announcedSuspect{s.Crashes, s.Unanswered, s.Trials}
}

// toAll reports whether all entries were told, not only the owners.
func (a announcedSuspect) toAll() bool { return max(a.crashes, a.unanswered) >= crashLimit }

func (suspectsChanged) apply(now time.Time, c *control) {
	if now.Sub(c.suspectsAnnouncedAt) >= minAnnounceInterval {
		c.announceSuspects(now)
	}
}

// announceSuspects announces the target crashes that this entry has seen since the last
// announcement. A crash goes to the owners only, since a caller sends its retry to an
// owner; a quarantine goes to all entries. When each crash went to all 472 entries, a
// fault of 105 targets caused half of the bytes of all packets.
func (c *control) announceSuspects(now time.Time) {
	c.suspectsAnnouncedAt = now
	var rumours member.Rumours
	var changed []call.Suspect
	for _, s := range c.gateway.suspects.Export(now, maxSuspects) {
		announced, ok := c.announcedSuspects[s.Fingerprint]
		if ok && announced == announcedOf(s) {
			continue
		}
		c.announcedSuspects[s.Fingerprint] = announcedOf(s)
		changed = append(changed, s)
		if heldOrQuarantined(s) {
			c.logHeld(s)
		}
		if heldOrQuarantined(s) || announced.toAll() {
			rumours.CrashReports = append(rumours.CrashReports, c.suspectRumour(now, s))
		}
	}
	if len(c.announcedSuspects) > maxAnnouncedSuspects {
		clear(c.announcedSuspects)
	}
	if len(rumours.CrashReports) > 0 {
		c.handleEvent(now, member.SpreadRumours{Rumours: rumours})
	}
	if len(changed) == 0 {
		return
	}
	for _, e := range c.otherOwners() {
		c.send(e.PeerAddress, relay.Packet{Kind: relay.SuspectReport, Suspects: changed, ID: c.members.Self()})
	}
}

// suspectRumour returns the gossip record of a suspect.
func (c *control) suspectRumour(now time.Time, s call.Suspect) member.CrashReport {
	c.suspectSequence++
	report := peer.CrashReport(now, s)
	report.Reporter, report.Sequence = c.gateway.self.Name, c.gateway.self.Boot+c.suspectSequence
	return report
}

// otherOwners returns all other entries that own at least one host.
func (c *control) otherOwners() (list []owner.Entry) {
	seen := map[string]bool{c.gateway.self.Name: true}
	for _, entries := range c.owners {
		for _, e := range entries {
			if !seen[e.Name] {
				seen[e.Name] = true
				list = append(list, e)
			}
		}
	}
	return list
}
