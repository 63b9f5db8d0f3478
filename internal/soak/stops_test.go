package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	stopGrace = 6 * time.Second
	// lossSlack is the users' bound from the last byte of a request until its connection may end without
	// an answer, unless the request was dispatched.
	lossSlack = 200 * time.Millisecond
	// lateRequest is how long after SIGTERM requests come that must be answered however long they take.
	lateRequest = 3 * time.Second
	// stopGap is the time between the stops of a series, which overlap.
	stopGap = time.Second
)

// stopSite is the profile of a site whose clients keep using open connections until their gateway is
// gone, with slow uploads and long work.
func stopSite() profile {
	p := smallSite()
	p.clientCount, p.grace, p.keepsGateways = 30, stopGrace.String(), true
	p.services = append(p.services, service{name: "looms", targets: 3, slots: 12, serviceTime: 1800 * time.Millisecond, direct: true})
	p.kinds = append(
		p.kinds,
		requestKind{
			name: "r-upload", service: "gowns", method: "PUT", prefix: "/upload/", runOnce: true, attempts: 2, uploadBytes: 512 << 10, uploadTime: 1500 * time.Millisecond,
			targetLatency: 500 * time.Millisecond, timeout: 4 * time.Second, deadline: 4 * time.Second, weight: 1,
		},
		requestKind{
			name: "r-long", service: "looms", method: "POST", prefix: "/long/", runOnce: true, attempts: 2,
			targetLatency: 3 * time.Second, timeout: 4 * time.Second, deadline: 4 * time.Second, weight: 1,
		},
	)
	return p
}

// Gateways stop as planned, in a series that overlaps, while clients keep using their connections.
// Guards against requests that end without their answer because of a planned stop.
func TestSeriesOfStops(t *testing.T) {
	s := newSite(t, *firstSeed, stopSite())
	clients := s.startClients()
	time.Sleep(warmupTime)
	s.stopInSeries(rand.New(rand.NewPCG(*firstSeed, 1)), s.gateways[1:])
	time.Sleep(time.Second)
	c := newChecker(s, clients.stop())
	for _, a := range c.attempts {
		c.checkStop(a, stopGrace)
	}
	c.checkAttempts(t)
}

// stopInSeries stops gateways, each before the one before it is back, and starts them again.
func (s *site) stopInSeries(rnd *rand.Rand, list []*gateway) {
	var all sync.WaitGroup
	for _, g := range list {
		all.Go(func() { g.restartAsPlanned() })
		time.Sleep(stopGap/2 + time.Duration(rnd.Int64N(int64(stopGap))))
	}
	all.Wait()
}

// restartAsPlanned stops a gateway by SIGTERM and starts it again.
func (g *gateway) restartAsPlanned() {
	g.site.logf("%s stops", g.name)
	from := time.Now()
	g.markStopping()
	g.signal(syscall.SIGTERM)
	g.waitForExit()
	exitedAt := time.Now()
	g.mu.Lock()
	g.plannedStops = append(g.plannedStops, interval{from, exitedAt})
	g.mu.Unlock()
	time.Sleep(processDelay)
	g.start()
	g.addDisturbance(exitedAt, time.Now())
}

// checkStop checks that no request that reached a gateway ends without its answer because the gateway
// stops: neither by the end of the connection, nor by another answer while a target works on it. It skips
// requests whose target broke off.
func (c *checker) checkStop(a *attempt, grace time.Duration) {
	if a.abandoned || a.status == http.StatusOK || a.signer != "" || c.brokeOff(a) || a.endedAt.Sub(a.sentAt) >= min(a.deadline, a.kind.timeout) {
		return
	}
	for _, stop := range a.gateway.stops() {
		if !overlaps([]interval{stop}, interval{a.sentAt, a.endedAt}) {
			continue
		}
		underWay, excused := false, false
		for _, r := range c.runsOf(a) {
			working := !r.CallerLeftAt.IsZero() || r.EndedAt.IsZero() || r.EndedAt.After(a.endedAt)
			underWay = underWay || working
			excused = excused || working && a.sentAt.Before(stop.from.Add(lateRequest)) && !a.endedAt.Before(stop.from.Add(grace*5/6))
		}
		switch {
		case excused:
		case a.err != nil && len(c.runsOf(a)) > 0:
			c.addViolation("request %s, sent to %s %v after SIGTERM, ran and got no answer: %v", a.id, a.gateway.name, a.sentAt.Sub(stop.from), a.err)
		case a.err != nil && a.connected && !a.bodySentAt.IsZero() && a.endedAt.Sub(a.bodySentAt) > lossSlack:
			c.addViolation("request %s for %s, sent to %s %v after SIGTERM, got no answer %v after its last byte: %v",
				a.id, a.path, a.gateway.name, a.sentAt.Sub(stop.from), a.endedAt.Sub(a.bodySentAt), a.err)
		case a.err == nil && underWay:
			c.addViolation("request %s, sent to %s %v after SIGTERM, was answered with %d %s while its target worked", a.id, a.gateway.name, a.sentAt.Sub(stop.from), a.status, a.reason)
		}
	}
}
