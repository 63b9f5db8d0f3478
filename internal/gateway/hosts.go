package gateway

import (
	"maps"
	"slices"
	"time"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/route"
)

// hosts holds the control loop's request rate and owner count of each host.
type hosts struct {
	table       *route.Table
	rates       map[string]*rate // at this entry; the map is not modified once it is published
	ownerSizers map[string]*owner.Sizer
}

// configure sets the hosts of a configuration. Hosts that were in the previous one keep
// their rate and owner count.
func (h *hosts) configure(t *route.Table) {
	if t == nil || t == h.table {
		return
	}
	old := *h
	*h = hosts{table: t, rates: make(map[string]*rate), ownerSizers: make(map[string]*owner.Sizer)}
	for _, host := range t.Hosts() {
		h.rates[host], h.ownerSizers[host] = old.rates[host], old.ownerSizers[host]
		if h.rates[host] == nil {
			h.rates[host], h.ownerSizers[host] = &rate{}, &owner.Sizer{}
		}
	}
}

// tick updates the rates.
func (h *hosts) tick(now time.Time) {
	for _, r := range h.rates {
		r.tick(now)
	}
}

// rate returns the requests per second at this entry, over all hosts.
func (h *hosts) rate() (sum float64) {
	for _, r := range h.rates {
		sum += r.mean
	}
	return sum
}

// minReportedRate is the least rate, in requests per second at this entry, at which it
// reports a host to the host's first owners.
const minReportedRate = 0.5

// rateReport is another entry's report of its request rate for each host.
type rateReport struct {
	receivedAt time.Time
	rates      []relay.HostLoad
}

// rateReportTTL is how long a report counts: several ticks, since datagrams may be lost.
const rateReportTTL = 4 * tickInterval

// sendRateReports reports this entry's request rate for each host to the host's first
// owners. The first owner decides the owner count by the sum of all reports; the others
// receive them as well since they may have to take over.
func (c *control) sendRateReports(now time.Time) {
	reports := make(map[string][]relay.HostLoad)
	for host, r := range c.hosts.rates {
		if r.mean < minReportedRate || c.assignment == nil {
			continue
		}
		for _, e := range c.assignment.FirstOwners(host) {
			if e.Name != c.gateway.self.Name {
				reports[e.PeerAddress] = append(reports[e.PeerAddress], relay.HostLoad{Host: owner.HostID(host), Rate: r.mean})
			}
		}
	}
	for address, list := range reports {
		c.send(address, relay.Packet{
			Kind: relay.LoadReport, Loads: list, ID: c.members.Self(),
		})
	}
	maps.DeleteFunc(c.rateReports, func(_ string, report rateReport) bool { return now.Sub(report.receivedAt) > rateReportTTL })
}

// currentAssignment returns the assignment of hosts to the live entries. It is computed
// again only if either has changed: that takes 0.1 ms with 472 entries, and each tick
// needs the assignment.
func (c *control) currentAssignment(live []owner.Candidate) *owner.Assignment {
	if c.assignment == nil || c.assignmentTable != c.hosts.table {
		c.assignment, c.assignmentTable = owner.New(c.markUnserved(live), slices.Collect(maps.Keys(c.hosts.ownerSizers))), c.hosts.table
	}
	return c.assignment
}

// ownerCounts returns the owner count of each host. This entry decides it for hosts of
// which it is the first owner; for others it uses the count that the first owner announced.
func (c *control) ownerCounts(now time.Time, assignment *owner.Assignment) map[string]int {
	counts := make(map[string]int, len(c.hosts.ownerSizers))
	for host, sizer := range c.hosts.ownerSizers {
		counts[host] = owner.MinOwners
		firstOwners := assignment.FirstOwners(host)
		if len(firstOwners) == 0 {
			continue
		}
		id := owner.HostID(host)
		if firstOwners[0].Name != c.gateway.self.Name {
			n, _ := c.gossipedCounts.Get(id)
			counts[host] = sizer.Adopt(n.Owners)
			continue
		}
		rate := c.totalRate(host)
		counts[host] = sizer.Decide(now, rate, assignment.CapacityShares(host))
		if c.gossipedCounts.Update(id, counts[host], rate) {
			c.handleEvent(now, member.PushNow{})
		}
	}
	return counts
}

// totalRate returns the requests per second for a host over all entries, from the rate
// reports that this entry has received.
func (c *control) totalRate(host string) (sum float64) {
	id := owner.HostID(host)
	sum = c.hosts.rates[host].mean
	for _, report := range c.rateReports {
		for _, hostRate := range report.rates {
			if hostRate.Host == id {
				sum += hostRate.Rate
			}
		}
	}
	return sum
}
