package gateway

import (
	"strconv"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
)

const (
	// maxSuspects is how many suspects are looked through for news at a time.
	maxSuspects = 16
	// maxTold bounds what is kept of suspects that were told of; beyond that they
	// are told once more.
	maxTold = 4096
)

const (
	// tellerTime is how long an entry has to be live before it tells others at their
	// start: by then it has been told itself.
	tellerTime = 2 * time.Second
	// mostTellers is how many tell one that starts, since datagrams are lost.
	mostTellers = 3
)

// liveRun is a run of an entry, and since when it is live as far as is known here.
type liveRun struct {
	boot  uint64
	since time.Time
}

// tellStarted tells entries that have started, or are live again, of requests in quarantine.
// Those that were live when it began were told then.
func (c *control) tellStarted(now time.Time) {
	live := c.live()
	if c.rolls == c.rollTold {
		return
	}
	c.rollTold = c.rolls
	var started []owner.Candidate
	runs := make(map[string]liveRun, len(live))
	for _, e := range live {
		run, ok := c.runs[e.Name]
		if !ok || run.boot != e.Boot {
			run = liveRun{e.Boot, now}
			started = append(started, e)
		}
		runs[e.Name] = run
	}
	c.runs = runs
	if !c.tells(now) {
		return
	}
	held := c.quarantined(now)
	if len(held) == 0 {
		return
	}
	for _, e := range started {
		c.send(e.Peer, relay.Packet{Kind: relay.Suspects, Suspects: held, ID: c.members.Self()})
	}
}

// tells reports whether this entry is one of those that tell others at their start: the
// first in the order of names that have been live for long.
func (c *control) tells(now time.Time) bool {
	n := 0
	for _, e := range c.live() {
		if now.Sub(c.runs[e.Name].since) < tellerTime {
			continue
		}
		if e.Name == c.gateway.self.Name {
			return true
		}
		if n++; n == mostTellers {
			return false
		}
	}
	return false
}

// quarantined are the requests in quarantine, as others are told of them.
func (c *control) quarantined(now time.Time) (held []call.Suspect) {
	for _, s := range c.gateway.suspects.Export(now, maxSuspects) {
		if c.gateway.suspects.Quarantined(now, s.Print) > 0 {
			held = append(held, s)
		}
	}
	return held
}

// hearSuspects takes what another entry has told of requests that crash targets. It has told
// all others of those in quarantine.
func (c *control) hearSuspects(now time.Time, by string, list []call.Suspect) {
	for _, s := range list {
		c.logTold(s.Print, uint32(s.Crashes), by)
		if s.Crashes >= crashLimit {
			c.suspects[s.Print] = crashLimit
		}
	}
	c.gateway.suspects.Merge(now, by, list)
}

// learned takes requests in quarantine that other entries have told of.
func (c *control) learned(now time.Time, r member.Rumours) {
	for _, s := range r.Crashers {
		c.logTold(s.Print, s.Crashes, s.By)
		seen := call.Suspect{Print: s.Print, Crashes: int(s.Crashes), Age: now.Sub(s.At)}
		c.gateway.suspects.Merge(now, s.By, []call.Suspect{seen})
	}
}

// logTold logs what another entry has told of a request that crashes targets.
func (c *control) logTold(fp uint64, crashes uint32, by string) {
	c.gateway.log.WithFields(log.Fields{
		"print": strconv.FormatUint(fp, 36), "crashes": crashes, "by": by,
	}).Info("told of a request that crashes targets")
}

// tellSuspects tells the others of crashes of targets that this entry has seen
// since it last did. Where their caller sends such a request again it comes to an
// owner, so that only these are told of each; that one is in quarantine is told to
// all. With each told to all 472 entries, a fault of 105 targets made half of all
// packets' bytes.
func (c *control) tellSuspects(now time.Time) {
	var rumours member.Rumours
	var news []call.Suspect
	for _, s := range c.gateway.suspects.Export(now, maxSuspects) {
		held := c.gateway.suspects.Quarantined(now, s.Print) > 0
		if held {
			s.Crashes = crashLimit
		}
		told, ok := c.suspects[s.Print]
		if ok && told == s.Crashes {
			continue
		}
		c.suspects[s.Print] = s.Crashes
		news = append(news, s)
		if held || told == crashLimit {
			rumours.Crashers = append(rumours.Crashers, c.crasher(now, s))
		}
	}
	if len(c.suspects) > maxTold {
		clear(c.suspects)
	}
	if len(rumours.Crashers) > 0 {
		c.drive(now, member.Tell{Rumours: rumours})
	}
	if len(news) == 0 {
		return
	}
	for _, e := range c.otherOwners() {
		c.send(e.Peer, relay.Packet{Kind: relay.Suspects, Suspects: news, ID: c.members.Self()})
	}
}

func (c *control) crasher(now time.Time, s call.Suspect) member.Crasher {
	c.said++
	return member.Crasher{
		Print: s.Print, Crashes: uint32(s.Crashes), At: now.Add(-s.Age), By: c.gateway.self.Name, Sequence: c.gateway.self.Boot + c.said,
	}
}

// otherOwners are the owners of any host but for this entry.
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
