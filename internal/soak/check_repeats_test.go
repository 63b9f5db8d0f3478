package soak

import (
	"fmt"
	"time"
)

// The users' bounds on extra dispatches (retries and hedges), on requests that crash targets
// and on requests to a target that asked for a pause. A target asks for a pause by refusing a
// request with a Retry-After header.
const (
	retryBudgetWindow  = 10 * time.Second
	retryBudgetRatio   = 0.2                    // extra dispatches per request
	maxDeadlineOverrun = 500 * time.Millisecond // from the caller's deadline to the deadline that the target receives
	maxCrashes         = 3                      // targets that a request may crash; as many dispatches may follow, see checkPoison
	pauseDelay         = 500 * time.Millisecond // from the refusal that asks for a pause until the gateway has to apply it
	pauseDuration      = 2 * time.Second        // as requested by the requestPause fault
	maxRequestsInPause = 2                      // requests from one gateway to a target that asked for a pause
)

// peakValues are the highest measured values of the quantities that these bounds limit.
type peakValues struct {
	memory int64 // of a gateway, in MB

	repeats float64       // extra dispatches to a service, relative to the number allowed
	late    time.Duration // from a caller's deadline to the deadline of an extra dispatch
	crashes int           // dispatches of a request after it had crashed maxCrashes targets
	quota   float64       // requests of an account in a window, relative to the number allowed
	refused float64       // share of an account's requests within its limit that were refused in a calm time
	paused  int           // requests at a target that had asked their gateway for a pause
	probes  float64       // of a target in a second
	conns   int           // open at once at a target
}

// checkDeadline checks that an extra dispatch of a request gives the target no time beyond the
// caller's deadline, with a tolerance of maxDeadlineOverrun.
func (c *checker) checkDeadline(r arrival, remaining time.Duration) {
	late := r.StartedAt.Add(remaining).Sub(r.attempt.sentAt.Add(r.attempt.deadline))
	around := interval{r.attempt.sentAt.Add(-settleTime), r.StartedAt}
	if r.StartedAt == c.runsOf(r.attempt)[0].StartedAt || overlaps(r.attempt.gateway.disturbances(), around) || overlaps(c.site.disturbances, around) {
		return
	}
	c.peaks.late = max(c.peaks.late, late)
	if late <= maxDeadlineOverrun {
		return
	}
	c.addViolation("%s received request %s with a deadline %v after the caller's", r.target.ID, r.Request, late)
}

// checkTargetCount checks that a request runs at no more targets than its route allows.
// Targets that crashed don't count.
func (c *checker) checkTargetCount(a *attempt) {
	ranAt := make(map[*target]bool)
	for _, r := range c.runsOf(a) {
		if !r.target.crashed {
			ranAt[r.target] = true
		}
	}
	if len(ranAt) > a.kind.attempts {
		c.addViolation("request %s ran at %d targets, its route allows %d", a.id, len(ranAt), a.kind.attempts)
	}
}

// checkPoison checks that a request that has crashed maxCrashes targets is dispatched at most
// maxCrashes more times, counted from settleTime after the last of these crashes.
func (c *checker) checkPoison() {
	crashes := make(map[string][]time.Time)
	after := make(map[string]int)
	for _, r := range c.arrivals {
		if r.attempt == nil || !c.site.crashes(r.Path, r.StartedAt) {
			continue
		}
		earlier := crashes[r.Path]
		crashes[r.Path] = append(earlier, r.StartedAt)
		if len(earlier) < maxCrashes || r.StartedAt.Sub(earlier[maxCrashes-1]) <= settleTime || overlaps(r.attempt.gateway.disturbances(), interval{r.StartedAt.Add(-settleTime), r.StartedAt}) {
			continue
		}
		after[r.Path]++
	}
	for path, n := range after {
		c.peaks.crashes = max(c.peaks.crashes, n)
		if n > maxCrashes {
			c.addViolation("%s was dispatched %d times after it had crashed %d targets", path, n, maxCrashes)
		}
	}
}

// checkPauses checks that a target that asked a gateway for a pause receives at most
// maxRequestsInPause requests from that gateway between pauseDelay after the refusal and the end
// of the pause.
func (c *checker) checkPauses(k *target) {
	for _, refused := range k.Refusals() {
		from := c.attemptAt(refused.Request, refused.StartedAt)
		if refused.Body != "2" || from == nil { // Body holds the Retry-After header
			continue
		}
		n := 0
		for _, r := range c.arrivals {
			if d := r.StartedAt.Sub(refused.StartedAt); r.target == k && r.attempt != nil && r.attempt.gateway == from.gateway && d >= pauseDelay && d < pauseDuration {
				n++
			}
		}
		if overlaps(from.gateway.disturbances(), interval{refused.StartedAt.Add(-settleTime), refused.StartedAt.Add(pauseDuration)}) || overlaps(c.site.disturbances, interval{refused.StartedAt, refused.StartedAt.Add(pauseDuration)}) {
			continue
		}
		c.peaks.paused = max(c.peaks.paused, n)
		if n > maxRequestsInPause {
			c.addViolation("%s, which asked for a pause of %v from %s, received %d requests", k.ID, pauseDuration, from.gateway.name, n)
			return
		}
	}
}

// checkRetryBudget checks that the extra dispatches of all gateways together stay within the
// retry budget of each service.
func (c *checker) checkRetryBudget(sv service) {
	type request struct {
		id      string
		attempt *attempt
	}
	seen := make(map[request]bool)
	var extra []time.Time       // extra dispatches in the window
	highest, message := 0.0, "" // of all windows
	for _, r := range c.arrivals {
		if r.target.service.name != sv.name {
			continue
		}
		if key := (request{r.Request, r.attempt}); !seen[key] {
			seen[key] = true
			continue
		}
		if r.StartedAt.Before(c.site.retryRatioSince) {
			continue
		}
		extra = append(extra, r.StartedAt)
		for r.StartedAt.Sub(extra[0]) > retryBudgetWindow {
			extra = extra[1:]
		}
		sent := 0
		for _, a := range c.attempts {
			if d := r.StartedAt.Sub(a.sentAt); a.kind.service == sv.name && d >= 0 && d <= retryBudgetWindow {
				sent++
			}
		}
		allowed := int(retryBudgetRatio*float64(sent)) + c.site.retrySlack
		used := float64(len(extra)) / float64(allowed)
		c.peaks.repeats = max(c.peaks.repeats, used)
		if used > highest {
			highest = used
			message = fmt.Sprintf("%s: %d extra dispatches in the %v before %s, allowed %d for %d requests", sv.name, len(extra), retryBudgetWindow, c.site.timeOffset(r.StartedAt), allowed, sent)
		}
	}
	if highest > 1 {
		c.addViolation("%s", message)
	}
}
