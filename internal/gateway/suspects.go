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

// learned takes requests in quarantine that other entries have told of.
func (c *control) learned(now time.Time, r member.Rumours) {
	for _, s := range r.Crashers {
		c.logTold(s.Print, s.Crashes, s.By)
		seen := call.Suspect{Print: s.Print, Crashes: int(s.Crashes), Age: now.Sub(s.At)}
		c.gateway.suspects.Merge(now, s.By, []call.Suspect{seen})
	}
}

// logTold logs what another entry has told of a request that crashes targets.
func (c *control) logTold(print uint64, crashes uint32, by string) {
	c.gateway.log.WithFields(log.Fields{
		"print": strconv.FormatUint(print, 36), "crashes": crashes, "by": by,
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
