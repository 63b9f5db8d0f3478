package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/reach"
)

// An entry that reaches few targets of a service or none, while others reach them, is cut off
// from it. It tells the others, which then prefer themselves as owners of the service's hosts,
// and passes its requests on to them. If no entry reaches the service, its targets are gone: all
// entries are equal again, and none passes on anything.

const (
	// lostCheckInterval is the least time between two checks of a service out of reach, and
	// reachedCheckInterval of one in reach. A single target that is gone is a sign of trouble too.
	lostCheckInterval    = 200 * time.Millisecond
	reachedCheckInterval = 500 * time.Millisecond
	// reportedCheckInterval is the time between checks of a service that other entries report
	// as out of reach.
	reportedCheckInterval = 2 * time.Second
	// maxReportedChecks bounds the entries that make these checks, besides the owners of a host.
	maxReportedChecks = 16
	// maxDelegates bounds the entries that requests are passed on to.
	maxDelegates = 4
)

// serviceID returns a short identifier of a service, for messages.
func serviceID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// serviceReach is what the control loop knows of the reach of one service.
type serviceReach struct {
	state     *reach.Service
	checking  bool
	checkedAt time.Time
}

// reachSuspected is sent when a service may be out of reach.
type reachSuspected struct{}

func (reachSuspected) apply(now time.Time, c *control) { c.checkReach(now) }

// checkReach starts the checks that are due.
func (c *control) checkReach(now time.Time) {
	for name, sv := range c.services {
		r := c.reach[name]
		sign := sv.takeSign()
		lost := r != nil && r.state.Lost()
		sv.lost.Store(lost) // a service that comes back to the configuration may have an old value
		if sign == noSign && !lost && !c.checksReported(now, name, r) {
			continue
		}
		if r == nil {
			r = &serviceReach{state: reach.New(reach.Config{})}
			c.reach[name] = r
		}
		interval := reachedCheckInterval
		if lost {
			interval = lostCheckInterval
		}
		if r.checking || now.Sub(r.checkedAt) < interval {
			if sign != noSign {
				sv.signs.suspected.Store(true)
			}
			continue
		}
		r.checking, r.checkedAt = true, now
		go c.runReachCheck(name, sv.checkTargets(), sign == mostFailed || lost)
	}
}

// checksReported reports whether this entry checks a service because others report it as out of
// reach.
func (c *control) checksReported(now time.Time, name string, r *serviceReach) bool {
	if !c.reportedUnreachable[serviceID(name)] || r != nil && now.Sub(r.checkedAt) < reportedCheckInterval {
		return false
	}
	if owner.Rank(c.live(), "reach "+name, c.gateway.self.Name) < maxReportedChecks {
		return true
	}
	return slices.Contains(c.senders(c.owners)[name], c.gateway.self.Name)
}

// reachChecked is the result of a check.
type reachChecked struct {
	service string
	cause   error // why the service is out of reach; nil if it isn't
}

func (m reachChecked) apply(now time.Time, c *control) {
	r := c.reach[m.service]
	if r == nil {
		return
	}
	r.checking = false
	if !r.state.Update(now, m.cause == nil) {
		return
	}
	if sv := c.services[m.service]; sv != nil {
		sv.lost.Store(r.state.Lost())
	}
	logger := c.gateway.log.WithField("service", m.service)
	if m.cause != nil {
		logger.WithError(m.cause).Warn("service out of reach")
	} else {
		logger.Info("service in reach again")
	}
	c.reportCondition(now)
	c.publish(now)
}

// unreachable returns the IDs of the services that this entry reports as out of reach, and
// forgets services that the configuration no longer has.
func (c *control) unreachable(now time.Time) (ids []uint32) {
	for name, r := range c.reach {
		if c.services[name] == nil {
			delete(c.reach, name)
			continue
		}
		if r.state.Advertised(now) {
			ids = append(ids, serviceID(name))
		}
	}
	slices.Sort(ids)
	return ids
}

// markUnserved returns the candidates, each with the hosts whose services it doesn't reach.
func (c *control) markUnserved(live []owner.Candidate) []owner.Candidate {
	if len(c.unreachableBy) == 0 || c.table == nil {
		return live
	}
	services := c.hostServices()
	marked := slices.Clone(live)
	for i := range marked {
		lost := c.unreachableBy[marked[i].Name]
		if len(lost) == 0 {
			continue
		}
		marked[i].Unserved = make(map[string]bool)
		for host, ids := range services {
			marked[i].Unserved[host] = slices.ContainsFunc(ids, func(id uint32) bool { return slices.Contains(lost, id) })
		}
	}
	return marked
}

// hostServices returns the IDs of the services that each host has a route to.
func (c *control) hostServices() map[string][]uint32 {
	services := make(map[string][]uint32)
	for _, r := range c.config.Routes {
		host, _ := c.table.LookupHost(r.Host)
		for _, p := range r.Services {
			services[host] = append(services[host], serviceID(p.Service))
		}
	}
	return services
}

// delegates returns, for each service that this entry doesn't reach, the entries that do: owners
// of its hosts first, since they know the load of the targets.
func (c *control) delegates(live []owner.Candidate, owners map[string][]owner.Entry) map[string][]owner.Entry {
	var delegates map[string][]owner.Entry
	for name, r := range c.reach {
		if !r.state.Lost() {
			continue
		}
		id := serviceID(name)
		senders := c.senders(owners)[name]
		var first, rest []owner.Entry
		for _, e := range live {
			switch {
			case e.Name == c.gateway.self.Name || slices.Contains(c.unreachableBy[e.Name], id):
			case slices.Contains(senders, e.Name):
				first = append(first, e.Entry)
			default:
				rest = append(rest, e.Entry)
			}
		}
		list := append(first, rest...)
		if len(list) == 0 {
			continue
		}
		if delegates == nil {
			delegates = make(map[string][]owner.Entry)
		}
		delegates[name] = list[:min(len(list), maxDelegates)]
	}
	return delegates
}
