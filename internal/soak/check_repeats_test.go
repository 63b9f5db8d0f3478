package soak

import (
	"fmt"
	"strings"
	"time"
)

// The users' bounds on repeats.
const (
	budgetSpan  = 10 * time.Second
	budgetRatio = 0.2
	budgetLate  = 500 * time.Millisecond // by which a target's time may end after the caller's
	mostCrashes = 3                      // targets that a request may crash, and requests that may follow
	pauseHeeded = 500 * time.Millisecond
	pauseTime   = 2 * time.Second // as "wants nothing for 2 s" says
	mostInPause = 2
)

// extremes are how near the bounds on repeats were.
type extremes struct {
	repeats float64       // part of those that are allowed to a service
	late    time.Duration // by which a repeat's time at its target ended after the caller's
	crashes int           // requests that followed when one had crashed enough targets
	paused  int           // requests at a target that wanted nothing from their gateway
}

// deadline checks that a request that is sent once more leaves a target no time after its
// caller's.
func (c *check) deadline(r arrival, left time.Duration) {
	late := r.At.Add(left).Sub(r.from.sent.Add(r.from.deadline))
	around := span{r.from.sent.Add(-touch), r.At}
	if r.At == c.runs[r.Request][0].At || overlaps(r.from.gateway.disturbances(), around) || overlaps(c.site.faulty, around) {
		return
	}
	c.most.late = max(c.most.late, late)
	if late <= budgetLate {
		return
	}
	c.breaks("%s was handed request %s until %v after its caller's deadline", r.target.ID, r.Request, late)
}

// attempted checks that a request runs at no more targets than its route allows, but for
// those that crashed.
func (c *check) attempted(a *attempt) {
	at := make(map[*target]bool)
	for _, r := range c.runs[a.id] {
		if !r.target.crashed {
			at[r.target] = true
		}
	}
	if len(at) > a.kind.attempts {
		c.breaks("request %s ran at %d targets, its route allows %d", a.id, len(at), a.kind.attempts)
	}
}

// poisoned checks that a request that has crashed some targets reaches no more of them a
// while later.
func (c *check) poisoned() {
	crashes := make(map[string][]time.Time)
	after := make(map[string]int)
	for _, r := range c.arrivals {
		if r.from == nil || !strings.Contains(r.Path, poison) {
			continue
		}
		seen := crashes[r.Path]
		crashes[r.Path] = append(seen, r.At)
		if len(seen) < mostCrashes || r.At.Sub(seen[mostCrashes-1]) <= touch || overlaps(r.from.gateway.disturbances(), span{r.At.Add(-touch), r.At}) {
			continue
		}
		after[r.Path]++
	}
	for path, n := range after {
		c.most.crashes = max(c.most.crashes, n)
		if n > mostCrashes {
			c.breaks("%s reached %d targets after it had crashed %d", path, n, mostCrashes)
		}
	}
}

// pauses checks that a target that wants nothing for a time gets nearly nothing.
func (c *check) pauses(k *target) {
	for _, refused := range k.Sheds() {
		from := c.byID[refused.Request]
		if refused.Body != "2" || from == nil {
			continue
		}
		n := 0
		for _, r := range c.arrivals {
			if d := r.At.Sub(refused.At); r.target == k && r.from != nil && r.from.gateway == from.gateway && d >= pauseHeeded && d < pauseTime {
				n++
			}
		}
		if overlaps(from.gateway.disturbances(), span{refused.At.Add(-touch), refused.At.Add(pauseTime)}) || overlaps(c.site.faulty, span{refused.At, refused.At.Add(pauseTime)}) {
			continue
		}
		c.most.paused = max(c.most.paused, n)
		if n > mostInPause {
			c.breaks("%s, which wanted nothing for %v from %s, got %d requests", k.ID, pauseTime, from.gateway.name, n)
			return
		}
	}
}

// budget checks that repeats over all gateways keep to their share at each service.
func (c *check) budget(sv service) {
	seen := make(map[string]bool)
	var repeats []time.Time
	worst, window := 0.0, "" // of the windows
	for _, r := range c.arrivals {
		if r.target.service.name != sv.name {
			continue
		}
		if !seen[r.Request] {
			seen[r.Request] = true
			continue
		}
		if r.At.Before(c.site.ratioAt) {
			continue
		}
		repeats = append(repeats, r.At)
		for r.At.Sub(repeats[0]) > budgetSpan {
			repeats = repeats[1:]
		}
		sent := 0
		for _, a := range c.attempts {
			if d := r.At.Sub(a.sent); a.kind.service == sv.name && d >= 0 && d <= budgetSpan {
				sent++
			}
		}
		allowed := int(budgetRatio*float64(sent)) + c.site.slack
		part := float64(len(repeats)) / float64(allowed)
		c.most.repeats = max(c.most.repeats, part)
		if part > worst {
			worst = part
			window = fmt.Sprintf("%s: %d repeats in %v by %s, allowed %d of %d requests", sv.name, len(repeats), budgetSpan, c.site.at(r.At), allowed, sent)
		}
	}
	if worst > 1 {
		c.breaks("%s", window)
	}
}
