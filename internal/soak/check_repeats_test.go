package soak

import (
	"fmt"
	"strings"
	"time"
)

// The users' bounds on extra dispatches (retries and hedges) and on what follows a crash
// or a request for a pause.
const (
	budgetSpan  = 10 * time.Second
	budgetRatio = 0.2                    // extra dispatches per request
	budgetLate  = 500 * time.Millisecond // from the caller's deadline to the deadline that the target receives
	mostCrashes = 3                      // targets that a request may crash, and dispatches of it that may follow
	pauseHeeded = 500 * time.Millisecond // from a request for a pause until the gateway has to apply it
	pauseTime   = 2 * time.Second        // as requested by the requestPause fault
	mostInPause = 2                      // requests from one gateway to a target that asked for a pause
)

// peakValues are the highest values seen of those that the bounds on extra dispatches, crashes
// and pauses limit.
type extremes struct {
	repeats float64       // extra dispatches to a service, relative to the number allowed
	late    time.Duration // from a caller's deadline to the deadline of an extra dispatch
	crashes int           // dispatches of a request after it had crashed maxCrashes targets
	paused  int           // requests at a target that had asked their gateway for a pause
}

// checkDeadline checks that an extra dispatch of a request gives the target no time beyond the
// caller's deadline, with a tolerance of maxDeadlineOverrun.
func (c *check) deadline(r arrival, remaining time.Duration) {
	late := r.StartedAt.Add(remaining).Sub(r.from.sent.Add(r.from.deadline))
	around := span{r.from.sent.Add(-touch), r.StartedAt}
	if r.StartedAt == c.runs[r.Request][0].StartedAt || overlaps(r.from.gateway.disturbances(), around) || overlaps(c.site.faulty, around) {
		return
	}
	c.most.late = max(c.most.late, late)
	if late <= budgetLate {
		return
	}
	c.breaks("%s received request %s with a deadline %v after the caller's", r.target.ID, r.Request, late)
}

// checkTargetCount checks that a request runs at no more targets than its route allows.
// Targets that crashed don't count.
func (c *check) attempted(a *attempt) {
	ranAt := make(map[*target]bool)
	for _, r := range c.runs[a.id] {
		if !r.target.crashed {
			ranAt[r.target] = true
		}
	}
	if len(ranAt) > a.kind.attempts {
		c.breaks("request %s ran at %d targets, its route allows %d", a.id, len(ranAt), a.kind.attempts)
	}
}

// checkPoison checks that a request that has crashed maxCrashes targets is dispatched at most
// maxCrashes more times, counted from settleTime after the last of these crashes.
func (c *check) poisoned() {
	crashes := make(map[string][]time.Time)
	after := make(map[string]int)
	for _, r := range c.arrivals {
		if r.from == nil || !strings.Contains(r.Path, poison) {
			continue
		}
		earlier := crashes[r.Path]
		crashes[r.Path] = append(earlier, r.StartedAt)
		if len(earlier) < mostCrashes || r.StartedAt.Sub(earlier[mostCrashes-1]) <= touch || overlaps(r.from.gateway.disturbances(), span{r.StartedAt.Add(-touch), r.StartedAt}) {
			continue
		}
		after[r.Path]++
	}
	for path, n := range after {
		c.most.crashes = max(c.most.crashes, n)
		if n > mostCrashes {
			c.breaks("%s was dispatched %d times after it had crashed %d targets", path, n, mostCrashes)
		}
	}
}

// checkPauses checks that a target that asked a gateway for a pause receives at most
// maxRequestsInPause requests from that gateway during the pause, from pauseDelay after the refusal
// on.
func (c *check) pauses(k *target) {
	for _, refused := range k.Refusals() {
		from := c.byID[refused.Request]
		if refused.Body != "2" || from == nil {
			continue
		}
		n := 0
		for _, r := range c.arrivals {
			if d := r.StartedAt.Sub(refused.StartedAt); r.target == k && r.from != nil && r.from.gateway == from.gateway && d >= pauseHeeded && d < pauseTime {
				n++
			}
		}
		if overlaps(from.gateway.disturbances(), span{refused.StartedAt.Add(-touch), refused.StartedAt.Add(pauseTime)}) || overlaps(c.site.faulty, span{refused.StartedAt, refused.StartedAt.Add(pauseTime)}) {
			continue
		}
		c.most.paused = max(c.most.paused, n)
		if n > mostInPause {
			c.breaks("%s, which asked for a pause of %v from %s, received %d requests", k.ID, pauseTime, from.gateway.name, n)
			return
		}
	}
}

// checkRetryBudget checks that the extra dispatches of all gateways together stay within the
// retry budget of each service.
func (c *check) budget(sv service) {
	seen := make(map[string]bool)
	var extra []time.Time       // extra dispatches in the window
	highest, message := 0.0, "" // of all windows
	for _, r := range c.arrivals {
		if r.target.service.name != sv.name {
			continue
		}
		if !seen[r.Request] {
			seen[r.Request] = true
			continue
		}
		if r.StartedAt.Before(c.site.ratioAt) {
			continue
		}
		extra = append(extra, r.StartedAt)
		for r.StartedAt.Sub(extra[0]) > budgetSpan {
			extra = extra[1:]
		}
		sent := 0
		for _, a := range c.attempts {
			if d := r.StartedAt.Sub(a.sent); a.kind.service == sv.name && d >= 0 && d <= budgetSpan {
				sent++
			}
		}
		allowed := int(budgetRatio*float64(sent)) + c.site.slack
		used := float64(len(extra)) / float64(allowed)
		c.most.repeats = max(c.most.repeats, used)
		if used > highest {
			highest = used
			message = fmt.Sprintf("%s: %d extra dispatches in the %v before %s, allowed %d for %d requests", sv.name, len(extra), budgetSpan, c.site.at(r.StartedAt), allowed, sent)
		}
	}
	if highest > 1 {
		c.breaks("%s", message)
	}
}
