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
	drainBound = 2 * time.Second        // from a leaving notice to the last request to that target
	limitTold  = 500 * time.Millisecond // from the first response with a limit until the gateway has to apply it
	limitSpan  = 4 * time.Second        // window in which requests to a limited target are counted
	limitStart = 3 * time.Second        // from the start of a limit until it is checked
	touch      = 3 * time.Second        // after this time without a disturbance, a gateway's state is current
)

// arrival is a request that reached a target, which ran or refused it.
type arrival struct {
	worker.Run
	target *target
	from   *attempt // nil if no client sent the request
	ran    bool     // false if the target refused the request
}

// checker finds violations of the guarantees to callers and targets in the requests and
// responses that clients and targets recorded.
type check struct {
	site     *site
	attempts []*attempt
	byID     map[string]*attempt
	arrivals []arrival            // ordered by time
	runs     map[string][]arrival // arrivals that ran, by request ID
	broken   []string
	served   int // requests with status 200
	ran      int
	most     extremes
}

func newCheck(s *site, attempts []*attempt) *check {
	c := &check{site: s, attempts: attempts, byID: make(map[string]*attempt), runs: make(map[string][]arrival)}
	for _, a := range attempts {
		c.byID[a.id] = a
	}
	for _, k := range s.targets {
		for _, r := range k.Runs() {
			x := arrival{r, k, c.byID[r.Request], true}
			c.arrivals = append(c.arrivals, x)
			c.runs[r.Request] = append(c.runs[r.Request], x)
			c.ran++
		}
		for _, r := range k.Refusals() {
			c.arrivals = append(c.arrivals, arrival{r, k, c.byID[r.Request], false})
		}
	}
	slices.SortFunc(c.arrivals, func(a, b arrival) int { return a.StartedAt.Compare(b.StartedAt) })
	return c
}

// addViolation records a violation. It keeps the first 10 only.
func (c *check) breaks(format string, args ...any) {
	const maxViolations = 10
	if len(c.broken) < maxViolations {
		c.broken = append(c.broken, fmt.Sprintf(format, args...))
	}
}

// checkAll runs all checks. Requests sent after recoveredSince are expected to be served.
func (c *check) all(recoveredSince time.Time) {
	for _, a := range c.attempts {
		c.answer(a)
		c.once(a)
		c.attempted(a)
		c.lost(a)
	}
	c.requests()
	for _, k := range c.site.targets {
		c.leaving(k)
		c.leavingByResponse(k)
		c.limits(k)
		c.pauses(k)
	}
	for _, sv := range c.site.services {
		c.budget(sv)
	}
	c.poisoned()
	c.recovered(recoveredSince)
}

// checkResponse checks that a response with status 200 is the complete response of a target
// that ran this request. It also checks that a request that must not run twice didn't run if the
// status guarantees that.
func (c *check) answer(a *attempt) {
	runs := c.runs[a.id]
	switch {
	case a.status == http.StatusOK:
		c.served++
		signed := slices.ContainsFunc(runs, func(r arrival) bool { return r.target.ID == a.signer })
		if !signed || a.echo != a.id || a.body != "ran "+a.path+" "+a.text {
			c.breaks("request %s received the response of another request: signed by %q, id %q, body %q", a.id, a.signer, a.echo, a.body)
		}
	case promises(a.status) && a.once && len(runs) > 0:
		c.breaks("request %s was refused with status %d, but ran at %s", a.id, a.status, c.site.at(runs[0].StartedAt))
	}
}

// guaranteesNotRun reports whether a response with this status guarantees that no target
// ran the request.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRunsOnce checks that a request that must not run twice ran at most once.
func (c *check) once(a *attempt) {
	if runs := c.runs[a.id]; a.once && len(runs) > 1 {
		c.breaks("request %s ran %d times, at %s and %s", a.id, len(runs), runs[0].target.ID, runs[1].target.ID)
	}
}

// checkPlannedStop checks that a planned stop of a gateway interrupts no request that the
// gateway has dispatched. It skips requests that took more than 2 s and requests near another
// disturbance.
func (c *check) lost(a *attempt) {
	if a.err == nil || len(c.runs[a.id]) == 0 || a.ended.Sub(a.sent) > 2*time.Second {
		return
	}
	around := span{a.sent.Add(-touch), a.ended.Add(time.Second)}
	if overlaps(a.gateway.disturbances(), around) && !overlaps(a.gateway.planned, span{a.sent, a.ended}) {
		return
	}
	unplanned := slices.DeleteFunc(a.gateway.disturbances(), func(d span) bool {
		return slices.ContainsFunc(a.gateway.planned, func(p span) bool { return p.to.Equal(d.from) })
	})
	if overlaps(unplanned, around) {
		return
	}
	c.breaks("request %s for %s, sent to %s at %s, was dispatched and received no response: %v", a.id, a.path, a.gateway.name, c.site.at(a.sent), a.err)
}

// checkDelivery checks that targets receive requests as clients sent them, with no
// more time than the clients allowed.
func (c *check) requests() {
	for _, r := range c.arrivals {
		if !r.ran {
			continue
		}
		switch remaining, err := strconv.ParseInt(r.Deadline, 10, 64); {
		case r.from == nil:
			c.breaks("%s ran request %q, which no client sent", r.target.ID, r.Request)
		case r.Path != r.from.path || r.Body != r.from.text:
			c.breaks("%s ran request %s with a path or body that the client didn't send: %s %q", r.target.ID, r.Request, r.Path, r.Body)
		case err != nil || time.Duration(remaining)*time.Millisecond > r.from.deadline:
			c.breaks("%s received request %s with an invalid or extended deadline %q", r.target.ID, r.Request, r.Deadline)
		default:
			c.deadline(r, time.Duration(remaining)*time.Millisecond)
		}
	}
}

// checkLeavingByRecord checks that a target receives no request that was sent later than
// maxDrainDelay after the store recorded that the target leaves. It skips requests near a
// disturbance.
func (c *check) leaving(k *target) {
	if k.drained.IsZero() {
		return
	}
	for _, r := range c.arrivals {
		if r.target != k || r.from == nil || r.from.sent.Sub(k.drained) <= drainBound {
			continue
		}
		around := span{k.drained.Add(-touch), r.StartedAt}
		if overlaps(c.site.faulty, around) || overlaps(r.from.gateway.disturbances(), around) {
			continue
		}
		c.breaks("request %s reached %s from %s; it was sent %v after the store had recorded that the target leaves", r.Request, k.ID, r.from.gateway.name, r.from.sent.Sub(k.drained))
	}
}

// firstResponseAfter returns the time at which the gateway first forwarded a response that
// the target had created after the given time, or the zero time.
func (c *check) told(g *gateway, k *target, after time.Time) (at time.Time) {
	for _, a := range c.attempts {
		// The target creates the response after the run began, and the run began after the request
		// was sent.
		if a.gateway == g && a.status == http.StatusOK && a.signer == k.ID && a.sent.After(after) && (at.IsZero() || a.ended.Before(at)) {
			at = a.ended
		}
	}
	return at
}

// checkLeavingByResponse checks that a gateway that has forwarded a response with a leaving
// notice sends that target no request later than maxDrainDelay after it, unless the gateway
// was restarted or paused in between.
func (c *check) leavingByResponse(k *target) {
	if k.left.IsZero() {
		return
	}
	for _, g := range c.site.gateways {
		noticed := c.told(g, k, k.left)
		if noticed.IsZero() {
			continue
		}
		for _, r := range c.arrivals {
			if r.target != k || r.from == nil || r.from.gateway != g || r.from.sent.Sub(noticed) <= drainBound {
				continue
			}
			if !overlaps(g.disturbances(), span{noticed, r.StartedAt}) {
				c.breaks("request %s reached %s from %s %v after a response with a leaving notice", r.Request, k.ID, g.name, r.StartedAt.Sub(noticed))
			}
		}
	}
}

// checkLimits checks that a target that reports a limit receives no more requests than the
// limit allows. It counts the requests of gateways that have received the limit.
func (c *check) limits(k *target) {
	for _, l := range k.limits {
		if l.to.IsZero() {
			l.to = time.Now()
		}
		appliesFrom := make(map[*gateway]time.Time) // by gateways that have received the limit
		for _, g := range c.site.gateways {
			if at := c.told(g, k, l.from); !at.IsZero() && at.Before(l.to) {
				appliesFrom[g] = at.Add(limitTold)
			}
		}
		var window []time.Time
		allowed := int(1.5*l.rate*limitSpan.Seconds() + 5)
		for _, r := range c.arrivals {
			if r.target != k || r.from == nil || r.StartedAt.After(l.to) {
				continue
			}
			at, ok := appliesFrom[r.from.gateway]
			if !ok || r.StartedAt.Before(at) || overlaps(r.from.gateway.disturbances(), span{at.Add(-touch), r.StartedAt}) {
				continue
			}
			window = append(window, r.StartedAt)
			for r.StartedAt.Sub(window[0]) > limitSpan {
				window = window[1:]
			}
			if len(window) > allowed && r.StartedAt.Sub(l.from) > limitStart {
				c.breaks("%s, limited to %v requests a second, received %d requests in the %v before %s, allowed %d", k.ID, l.rate, len(window), limitSpan, c.site.at(r.StartedAt), allowed)
				break
			}
		}
	}
}

// checkRecovery checks the state after the faults have ended: enough of the requests sent
// after the given time are served, and every gateway has the store's configuration and
// targets.
func (c *check) recovered(since time.Time) {
	sent, served := 0, 0
	for _, a := range c.attempts {
		if a.sent.After(since) {
			sent++
			if a.status == http.StatusOK {
				served++
			}
		}
	}
	if float64(served) < c.site.served*float64(sent) || sent == 0 {
		c.breaks("%d of %d requests were served after the faults had ended", served, sent)
	}
	for _, g := range c.site.gateways {
		s, ok := g.status()
		switch {
		case !ok:
			c.breaks("%s doesn't report its status", g.name)
		case s.Version != c.site.version:
			c.breaks("%s has version %d of the configuration, the newest is %d", g.name, s.Version, c.site.version)
		case len(s.Services) != len(c.site.services):
			c.breaks("services of %s differ from those in the store: %+v", g.name, s.Services)
		}
		for _, sv := range s.Services {
			if len(sv.Targets) != len(c.site.onRecord(sv.Name)) {
				c.breaks("targets of %s differ from those in the store: %+v", g.name, sv)
			}
		}
	}
}
