package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// The bounds are the users' requirements.
const (
	maxDrainDelay = 2 * time.Second        // from a leaving notice to the last request to that target
	limitDelay    = 500 * time.Millisecond // from the first response with a limit until the gateway has to apply it
	limitWindow   = 4 * time.Second        // window in which requests to a limited target are counted
	limitGrace    = 3 * time.Second        // from the start of a limit until it is checked
	settleTime    = 3 * time.Second        // after this time without a disturbance, a gateway's state is current
	maxStatus     = 599                    // of a response
)

// arrival is a request that reached a target, which ran or refused it.
type arrival struct {
	worker.Run
	target  *target
	attempt *attempt // nil if no client sent the request
	ran     bool     // false if the target refused the request
}

// checker finds violations of the guarantees to callers and targets in the requests and
// responses that clients and targets recorded.
type checker struct {
	site       *site
	attempts   []*attempt
	byID       map[string]*attempt  // the last one, if an ID was sent again
	arrivals   []arrival            // ordered by time
	runs       map[string][]arrival // arrivals that ran, by request ID
	violations []string
	kinds      map[string]int // violations by format
	served     int            // requests with status 200
	runCount   int
	peaks      peakValues
}

func newChecker(s *site, attempts []*attempt) *checker {
	c := &checker{site: s, attempts: attempts, byID: make(map[string]*attempt), runs: make(map[string][]arrival), kinds: make(map[string]int)}
	for _, a := range attempts {
		if b := c.byID[a.id]; b == nil || b.sentAt.Before(a.sentAt) {
			c.byID[a.id] = a
		}
	}
	for _, k := range s.targets {
		c.addRuns(k, k.Runs(), true)
		c.addRuns(k, k.Refusals(), false)
	}
	c.sort()
	return c
}

// addRuns adds the requests that a target ran or refused.
func (c *checker) addRuns(k *target, list []worker.Run, ran bool) {
	for _, r := range list {
		x := arrival{r, k, c.attemptAt(r.Request, r.StartedAt), ran}
		c.arrivals = append(c.arrivals, x)
		if ran {
			c.runs[r.Request] = append(c.runs[r.Request], x)
			c.runCount++
		}
	}
}

// attemptAt returns the last attempt with an ID that was sent before a time, or the first one; nil if
// no client sent the ID.
func (c *checker) attemptAt(id string, at time.Time) *attempt {
	a := c.byID[id]
	for a != nil && a.earlier != nil && at.Before(a.sentAt) {
		a = a.earlier
	}
	return a
}

// runsOf returns the runs of an attempt.
func (c *checker) runsOf(a *attempt) (list []arrival) {
	for _, r := range c.runs[a.id] {
		if r.attempt == a {
			list = append(list, r)
		}
	}
	return list
}

// sort orders the records by time.
func (c *checker) sort() {
	slices.SortFunc(c.attempts, func(a, b *attempt) int { return a.sentAt.Compare(b.sentAt) })
	slices.SortFunc(c.arrivals, func(a, b arrival) int { return a.StartedAt.Compare(b.StartedAt) })
}

// addViolation records a violation. It keeps the first 10 of each kind only.
func (c *checker) addViolation(format string, args ...any) {
	const maxViolations = 10
	if c.kinds[format]++; c.kinds[format] <= maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// checkAll runs all checks. Of the requests sent after recoveredSince, at least the share
// minServedShare must be served.
func (c *checker) checkAll(recoveredSince time.Time) {
	for _, a := range c.attempts {
		c.checkResponse(a)
		c.checkRunsOnce(a)
		c.checkTargetCount(a)
		c.checkPlannedStop(a)
	}
	c.checkDelivery()
	for _, k := range c.site.targets {
		c.checkLeavingByRecord(k)
		c.checkLeavingByResponse(k)
		c.checkLimits(k)
		c.checkPauses(k)
	}
	for _, sv := range c.site.services {
		c.checkRetryBudget(sv)
	}
	c.checkPoison()
	c.checkRecovery(recoveredSince)
}

// checkResponse checks that a response with status 200 is the complete response of a target
// that ran this request. If the status guarantees that the request didn't run, it checks this
// for requests that must not run twice.
func (c *checker) checkResponse(a *attempt) {
	const maxQuoted = 100
	runs := c.runsOf(a)
	signed := slices.ContainsFunc(runs, func(r arrival) bool { return r.target.ID == a.signer })
	answered := slices.ContainsFunc(runs, func(r arrival) bool { return r.target.ID == a.signer && r.Status == a.status })
	switch {
	case a.status > maxStatus:
		c.addViolation("request %s received status %d", a.id, a.status)
	case a.status == http.StatusOK:
		c.served++
		if !signed || a.responseID != a.id || a.responseBody != "ran "+a.path+" "+a.requestBody {
			c.addViolation("request %s received the response of another request, or a part: signed by %q, id %q, body of %d bytes %.*q",
				a.id, a.signer, a.responseID, len(a.responseBody), maxQuoted, a.responseBody)
		} else if !answered {
			c.addViolation("request %s succeeded, but %s sent no complete and valid success", a.id, a.signer)
		}
	case a.signer != "" && !answered:
		c.addViolation("request %s received status %d as that of %s, which sent another", a.id, a.status, a.signer)
	case impliesNotRun(a.status) && a.runOnce && len(runs) > 0:
		c.addViolation("request %s was refused with status %d, but ran at %s", a.id, a.status, c.site.timeOffset(runs[0].StartedAt))
	}
}

// impliesNotRun reports whether a response with this status guarantees that no target
// ran the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRunsOnce checks that a request that must not run twice ran at most once.
func (c *checker) checkRunsOnce(a *attempt) {
	if runs := c.runsOf(a); a.runOnce && len(runs) > 1 {
		c.addViolation("request %s ran %d times, at %s and %s", a.id, len(runs), runs[0].target.ID, runs[1].target.ID)
	}
}

// checkPlannedStop checks that a planned stop of a gateway interrupts no request that the
// gateway has dispatched. It skips requests that took more than 2 s, requests near another
// disturbance, and those whose target broke off.
func (c *checker) checkPlannedStop(a *attempt) {
	if a.err == nil || a.abandoned || c.brokeOff(a) || len(c.runsOf(a)) == 0 || a.endedAt.Sub(a.sentAt) > 2*time.Second {
		return
	}
	around := interval{a.sentAt.Add(-settleTime), a.endedAt.Add(time.Second)}
	if overlaps(a.gateway.disturbances(), around) && !overlaps(a.gateway.plannedStops, interval{a.sentAt, a.endedAt}) {
		return
	}
	// A planned stop is followed by a start, which is recorded as a disturbance.
	unplanned := slices.DeleteFunc(a.gateway.disturbances(), func(d interval) bool {
		return slices.ContainsFunc(a.gateway.plannedStops, func(p interval) bool { return p.to.Equal(d.from) })
	})
	if overlaps(unplanned, around) {
		return
	}
	c.addViolation("request %s for %s, sent to %s at %s, was dispatched and received no response: %v", a.id, a.path, a.gateway.name, c.site.timeOffset(a.sentAt), a.err)
}

// brokeOff reports whether a target reset the connection of a request before it had read it.
func (c *checker) brokeOff(a *attempt) bool {
	return slices.ContainsFunc(c.runsOf(a), func(r arrival) bool { return r.Unread })
}

// checkDelivery checks that targets receive requests as clients sent them, with no
// more time than the clients allowed.
func (c *checker) checkDelivery() {
	for _, r := range c.arrivals {
		if !r.ran {
			continue
		}
		switch remaining, err := strconv.ParseInt(r.Deadline, 10, 64); {
		case r.attempt == nil:
			c.addViolation("%s ran request %q, which no client sent", r.target.ID, r.Request)
		case r.Path != r.attempt.path || r.Body != r.attempt.requestBody && !r.Unread:
			c.addViolation("%s ran request %s with a path or body that the client didn't send: %s %q", r.target.ID, r.Request, r.Path, r.Body)
		case err != nil || time.Duration(remaining)*time.Millisecond > r.attempt.deadline:
			c.addViolation("%s received request %s with an invalid or extended deadline %q", r.target.ID, r.Request, r.Deadline)
		default:
			c.checkDeadline(r, time.Duration(remaining)*time.Millisecond)
		}
	}
}

// checkLeavingByRecord checks that a target receives no request that was sent later than
// maxDrainDelay after the store recorded that the target leaves. It skips requests near a
// disturbance.
func (c *checker) checkLeavingByRecord(k *target) {
	if k.leavingRecordedAt.IsZero() {
		return
	}
	for _, r := range c.arrivals {
		if r.target != k || r.attempt == nil || r.attempt.sentAt.Sub(k.leavingRecordedAt) <= maxDrainDelay {
			continue
		}
		around := interval{k.leavingRecordedAt.Add(-settleTime), r.StartedAt}
		if overlaps(c.site.disturbances, around) || overlaps(r.attempt.gateway.disturbances(), around) {
			continue
		}
		c.addViolation("request %s reached %s from %s; it was sent %v after the store had recorded that the target leaves", r.Request, k.ID, r.attempt.gateway.name, r.attempt.sentAt.Sub(k.leavingRecordedAt))
	}
}

// firstResponseAfter returns the time at which the gateway first forwarded a response that
// the target had created after the given time, or the zero time.
func (c *checker) firstResponseAfter(g *gateway, k *target, after time.Time) (at time.Time) {
	for _, a := range c.attempts {
		// The target creates the response after the run began, and the run began after the request
		// was sent.
		if a.gateway == g && a.status == http.StatusOK && a.signer == k.ID && a.sentAt.After(after) && (at.IsZero() || a.endedAt.Before(at)) {
			at = a.endedAt
		}
	}
	return at
}

// checkLeavingByResponse checks that a gateway that has forwarded a response with a leaving
// notice sends that target no request later than maxDrainDelay after it, unless the gateway
// was restarted or paused in between.
func (c *checker) checkLeavingByResponse(k *target) {
	if k.leavingSince.IsZero() {
		return
	}
	for _, g := range c.site.gateways {
		noticed := c.firstResponseAfter(g, k, k.leavingSince)
		if noticed.IsZero() {
			continue
		}
		for _, r := range c.arrivals {
			if r.target != k || r.attempt == nil || r.attempt.gateway != g || r.attempt.sentAt.Sub(noticed) <= maxDrainDelay {
				continue
			}
			if !overlaps(g.disturbances(), interval{noticed, r.StartedAt}) {
				c.addViolation("request %s reached %s from %s %v after a response with a leaving notice", r.Request, k.ID, g.name, r.StartedAt.Sub(noticed))
			}
		}
	}
}

// checkLimits checks that a target that reports a limit receives no more requests than the
// limit allows. It counts the requests of gateways that have received the limit.
func (c *checker) checkLimits(k *target) {
	for _, l := range k.limits {
		if l.to.IsZero() {
			l.to = time.Now()
		}
		appliesFrom := make(map[*gateway]time.Time) // has only the gateways that have received the limit
		for _, g := range c.site.gateways {
			if at := c.firstResponseAfter(g, k, l.from); !at.IsZero() && at.Before(l.to) {
				appliesFrom[g] = at.Add(limitDelay)
			}
		}
		var window []time.Time
		allowed := int(1.5*l.rate*limitWindow.Seconds() + 5)
		for _, r := range c.arrivals {
			if r.target != k || r.attempt == nil || r.StartedAt.After(l.to) {
				continue
			}
			at, ok := appliesFrom[r.attempt.gateway]
			if !ok || r.StartedAt.Before(at) || overlaps(r.attempt.gateway.disturbances(), interval{at.Add(-settleTime), r.StartedAt}) {
				continue
			}
			window = append(window, r.StartedAt)
			for r.StartedAt.Sub(window[0]) > limitWindow {
				window = window[1:]
			}
			if len(window) > allowed && r.StartedAt.Sub(l.from) > limitGrace {
				c.addViolation("%s, limited to %v requests a second, received %d requests in the %v before %s, allowed %d", k.ID, l.rate, len(window), limitWindow, c.site.timeOffset(r.StartedAt), allowed)
				break
			}
		}
	}
}

// checkRecovery checks the state after the faults have ended: enough of the requests sent
// after the given time are served, and every gateway has the store's configuration and
// targets.
func (c *checker) checkRecovery(since time.Time) {
	sent, served := 0, 0
	for _, a := range c.attempts {
		if a.sentAt.After(since) {
			sent++
			if a.status == http.StatusOK {
				served++
			}
		}
	}
	if float64(served) < c.site.minServedShare*float64(sent) || sent == 0 {
		c.addViolation("%d of %d requests were served after the faults had ended", served, sent)
	}
	for _, g := range c.site.gateways {
		s, ok := g.status()
		switch {
		case !ok:
			c.addViolation("%s doesn't report its status", g.name)
		case s.Version != c.site.configVersion:
			c.addViolation("%s has version %d of the configuration, the newest is %d", g.name, s.Version, c.site.configVersion)
		case len(s.Services) != len(c.site.services):
			c.addViolation("services of %s differ from those in the store: %+v", g.name, s.Services)
		}
		for _, sv := range s.Services {
			if len(sv.Targets) != c.site.recordCount(sv.Name) {
				c.addViolation("targets of %s differ from those in the store: %+v", g.name, sv)
			}
		}
	}
}
