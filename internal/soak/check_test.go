package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// The bounds are those that the users state.
const (
	drainBound  = 2 * time.Second
	limitTold   = 500 * time.Millisecond
	limitSpan   = 4 * time.Second
	limitStart  = 3 * time.Second
	touch       = 3 * time.Second // without a disturbance, a gateway is in touch
	budgetSpan  = 10 * time.Second
	budgetRatio = 0.2
	budgetLate  = 500 * time.Millisecond // by which a target's time may end after the caller's
	mostCrashes = 3                      // targets that a request may crash, and requests that may follow
	pauseHeeded = 500 * time.Millisecond
	pauseTime   = 2 * time.Second // as "wants nothing for 2 s" says
	mostInPause = 2
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

// extremes are how near the bounds on repeats were.
type extremes struct {
	repeats float64       // part of those that are allowed to a service
	late    time.Duration // by which a repeat's time at its target ended after the caller's
	crashes int           // requests that followed when one had crashed enough targets
	paused  int           // requests at a target that wanted nothing from their gateway
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
