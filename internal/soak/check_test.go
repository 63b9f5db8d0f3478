package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// The bounds are those that the users state.
const (
	drainBound = 2 * time.Second
	limitTold  = 500 * time.Millisecond
	limitSpan  = 4 * time.Second
	limitStart = 3 * time.Second
	touch      = 3 * time.Second // without a disturbance, a gateway is in touch
)

// arrival is a request that reached a target.
type arrival struct {
	worker.Run
	target *target
	from   *attempt // nil where no client sent it
	ran    bool
}

// check finds broken promises in what clients and targets saw.
type check struct {
	site     *site
	attempts []*attempt
	byID     map[string]*attempt
	arrivals []arrival // by time
	runs     map[string][]arrival
	broken   []string
	served   int
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
		for _, r := range k.Sheds() {
			c.arrivals = append(c.arrivals, arrival{r, k, c.byID[r.Request], false})
		}
	}
	slices.SortFunc(c.arrivals, func(a, b arrival) int { return a.At.Compare(b.At) })
	return c
}

// breaks notes a broken promise; the first ones are enough.
func (c *check) breaks(format string, args ...any) {
	const most = 10
	if len(c.broken) < most {
		c.broken = append(c.broken, fmt.Sprintf(format, args...))
	}
}

func (c *check) all(well time.Time) {
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
	c.recovered(well)
}

// answer checks that a success is the whole answer of a target that ran this request, and
// that a refusal is true.
func (c *check) answer(a *attempt) {
	runs := c.runs[a.id]
	switch {
	case a.status == http.StatusOK:
		c.served++
		signed := slices.ContainsFunc(runs, func(r arrival) bool { return r.target.ID == a.signer })
		if !signed || a.echo != a.id || a.body != "ran "+a.path+" "+a.text {
			c.breaks("request %s got an answer that isn't its own: signed by %q, id %q, body %q", a.id, a.signer, a.echo, a.body)
		}
	case promises(a.status) && a.once && len(runs) > 0:
		c.breaks("request %s was refused with %d, and ran at %s", a.id, a.status, c.site.at(runs[0].At))
	}
}

func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// once checks that a request that does harm when it runs again doesn't.
func (c *check) once(a *attempt) {
	if runs := c.runs[a.id]; a.once && len(runs) > 1 {
		c.breaks("request %s ran %d times, at %s and %s", a.id, len(runs), runs[0].target.ID, runs[1].target.ID)
	}
}

// lost checks that a planned stop cuts no request off that was passed on, where nothing
// else was disturbed.
func (c *check) lost(a *attempt) {
	if a.err == nil || len(c.runs[a.id]) == 0 || a.ended.Sub(a.sent) > 2*time.Second {
		return
	}
	around := span{a.sent.Add(-touch), a.ended.Add(time.Second)}
	if overlaps(a.gateway.disturbances(), around) && !overlaps(a.gateway.planned, span{a.sent, a.ended}) {
		return
	}
	hard := slices.DeleteFunc(a.gateway.disturbances(), func(d span) bool {
		return slices.ContainsFunc(a.gateway.planned, func(p span) bool { return p.to.Equal(d.from) })
	})
	if overlaps(hard, around) {
		return
	}
	c.breaks("request %s at %s, sent to %s at %s, was passed on and got no answer: %v", a.id, a.path, a.gateway.name, c.site.at(a.sent), a.err)
}

// requests checks that targets get what clients sent, with no more time than was left.
func (c *check) requests() {
	for _, r := range c.arrivals {
		if !r.ran {
			continue
		}
		switch left, err := strconv.ParseInt(r.Deadline, 10, 64); {
		case r.from == nil:
			c.breaks("%s ran request %q that no client sent", r.target.ID, r.Request)
		case r.Path != r.from.path || r.Body != r.from.text:
			c.breaks("%s ran request %s as %s %q", r.target.ID, r.Request, r.Path, r.Body)
		case err != nil || time.Duration(left)*time.Millisecond > r.from.deadline:
			c.breaks("%s was handed request %s with a deadline of %q", r.target.ID, r.Request, r.Deadline)
		default:
			c.deadline(r, time.Duration(left)*time.Millisecond)
		}
	}
}

// leaving checks that a target gets nothing once its leaving is on record and has been for
// as long as the bound allows.
func (c *check) leaving(k *target) {
	if k.drained.IsZero() {
		return
	}
	for _, r := range c.arrivals {
		if r.target != k || r.from == nil || r.from.sent.Sub(k.drained) <= drainBound {
			continue
		}
		around := span{k.drained.Add(-touch), r.At}
		if overlaps(c.site.faulty, around) || overlaps(r.from.gateway.disturbances(), around) {
			continue
		}
		c.breaks("request %s reached %s from %s %v after the store took that it leaves", r.Request, k.ID, r.from.gateway.name, r.from.sent.Sub(k.drained))
	}
}

// told is when a gateway first passed on an answer of a target after that time.
func (c *check) told(g *gateway, k *target, after time.Time) (at time.Time) {
	for _, a := range c.attempts {
		// The answer was made after its run began, and the run after the request was sent.
		if a.gateway == g && a.status == http.StatusOK && a.signer == k.ID && a.sent.After(after) && (at.IsZero() || a.ended.Before(at)) {
			at = a.ended
		}
	}
	return at
}

// leavingByResponse checks that a gateway that has passed on an answer that says that its
// target leaves sends it nothing after the bound, unless it was started again or paused.
func (c *check) leavingByResponse(k *target) {
	if k.left.IsZero() {
		return
	}
	for _, g := range c.site.gateways {
		told := c.told(g, k, k.left)
		if told.IsZero() {
			continue
		}
		for _, r := range c.arrivals {
			if r.target != k || r.from == nil || r.from.gateway != g || r.from.sent.Sub(told) <= drainBound {
				continue
			}
			if !overlaps(g.disturbances(), span{told, r.At}) {
				c.breaks("request %s reached %s from %s %v after an answer had said that it leaves", r.Request, k.ID, g.name, r.At.Sub(told))
			}
		}
	}
}

// limits checks that a target gets no more than the limit that it names allows, from the
// gateways that were told.
func (c *check) limits(k *target) {
	for _, l := range k.limits {
		if l.to.IsZero() {
			l.to = time.Now()
		}
		told := make(map[*gateway]time.Time)
		for _, g := range c.site.gateways {
			if at := c.told(g, k, l.from); !at.IsZero() && at.Before(l.to) {
				told[g] = at.Add(limitTold)
			}
		}
		var within []time.Time
		allowed := int(1.5*l.rate*limitSpan.Seconds() + 5)
		for _, r := range c.arrivals {
			if r.target != k || r.from == nil || r.At.After(l.to) {
				continue
			}
			at, ok := told[r.from.gateway]
			if !ok || r.At.Before(at) || overlaps(r.from.gateway.disturbances(), span{at.Add(-touch), r.At}) {
				continue
			}
			within = append(within, r.At)
			for r.At.Sub(within[0]) > limitSpan {
				within = within[1:]
			}
			if len(within) > allowed && r.At.Sub(l.from) > limitStart {
				c.breaks("%s, limit %v a second, got %d requests in %v by %s, allowed %d", k.ID, l.rate, len(within), limitSpan, c.site.at(r.At), allowed)
				break
			}
		}
	}
}

// recovered checks that all is well once the faults have ended: requests are served, and
// the gateways agree.
func (c *check) recovered(well time.Time) {
	sent, served := 0, 0
	for _, a := range c.attempts {
		if a.sent.After(well) {
			sent++
			if a.status == http.StatusOK {
				served++
			}
		}
	}
	if float64(served) < c.site.served*float64(sent) || sent == 0 {
		c.breaks("%d of %d requests served after the faults had ended", served, sent)
	}
	for _, g := range c.site.gateways {
		s, ok := g.status()
		switch {
		case !ok:
			c.breaks("%s doesn't tell its status", g.name)
		case s.Version != c.site.version:
			c.breaks("%s has version %d of the configuration, %d is the newest", g.name, s.Version, c.site.version)
		case len(s.Services) != len(c.site.services):
			c.breaks("%s knows other services than the store: %+v", g.name, s.Services)
		}
		for _, sv := range s.Services {
			if len(sv.Targets) != len(c.site.onRecord(sv.Name)) {
				c.breaks("%s knows other targets than the store: %+v", g.name, sv)
			}
		}
	}
}
