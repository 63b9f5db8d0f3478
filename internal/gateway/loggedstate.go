package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/ratelimit"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// loggedState is the part of the control loop's state that was last logged, to log changes.
type loggedState struct {
	live           map[string]bool // names, with a suffix for overloaded entries
	owners         string
	targets        map[string]roster.Item[slot.Target]
	targetsChanged bool // the targets have changed since the last log line
	retryShare     retryShare
	contact        contactState
	authority      ratelimit.AuthorityState
}

// logChanges logs changes of the live entries, of the owners of each host, and of the targets.
func (c *control) logChanges(now time.Time, live []owner.Candidate, owners map[string][]owner.Entry) {
	c.logLive(live)
	c.logContact(now)
	logged := &c.logged
	if text := ownersText(owners); text != logged.owners {
		c.gateway.log.WithFields(log.Fields{"owners": text, "before": logged.owners}).Info("owners changed")
		logged.owners = text
	}
	c.logTargets(now)
}

// logLive logs the entries added and removed. With hundreds of entries, a line with all live
// ones would take ten kilobytes.
func (c *control) logLive(live []owner.Candidate) {
	current := make(map[string]bool, len(live))
	var came, went []string
	for _, e := range live {
		name := e.Name
		if e.Overloaded {
			name += "(strained)"
		}
		current[name] = true
		if !c.logged.live[name] {
			came = append(came, name)
		}
	}
	for name := range c.logged.live {
		if !current[name] {
			went = append(went, name)
		}
	}
	c.logged.live = current
	if len(came)+len(went) == 0 {
		return
	}
	slices.Sort(came)
	slices.Sort(went)
	c.gateway.log.WithFields(log.Fields{
		"live": len(current), "came": strings.Join(came, " "), "went": strings.Join(went, " "),
	}).Info(logs.MessageLive)
}

func ownersText(owners map[string][]owner.Entry) string {
	var parts []string
	for host, list := range owners {
		text := host + ":"
		for _, e := range list {
			text += " " + e.Name
		}
		parts = append(parts, text)
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}

// logTargets logs the targets added, removed and newly leaving, and the age of the store's last
// confirmation.
func (c *control) logTargets(now time.Time) {
	if !c.logged.targetsChanged {
		return
	}
	c.logged.targetsChanged = false
	before, items := c.logged.targets, c.targets.Items()
	var came, went, leaving []string
	for id, it := range items {
		old, known := before[id]
		if !known {
			came = append(came, id)
		}
		if it.Value.Leaving && !(known && old.Value.Leaving) {
			leaving = append(leaving, id)
		}
	}
	for id := range before {
		if _, ok := items[id]; !ok {
			went = append(went, id)
		}
	}
	c.logged.targets = items
	if len(came)+len(went)+len(leaving) == 0 {
		return
	}
	c.gateway.log.WithFields(log.Fields{
		"revision": c.targets.LastChange().String(), "targets": len(items), "age": c.age(now, resourceTargets).Milliseconds(),
		"came": strings.Join(came, " "), "went": strings.Join(went, " "), "leaving": strings.Join(leaving, " "),
	}).Info("targets changed")
}
