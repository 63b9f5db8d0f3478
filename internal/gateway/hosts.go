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

// hosts is what the control loop knows of the requests of each host.
type hosts struct {
	table *route.Table
	rates map[string]*rate // of this entry; never changed once it was published
	sizes map[string]*owner.Size
}

// configure takes the hosts of a configuration. What is known of those that
// stay is kept.
func (h *hosts) configure(t *route.Table) {
	if t == nil || t == h.table {
		return
	}
	old := *h
	*h = hosts{table: t, rates: make(map[string]*rate), sizes: make(map[string]*owner.Size)}
	for _, host := range t.Hosts() {
		h.rates[host], h.sizes[host] = old.rates[host], old.sizes[host]
		if h.rates[host] == nil {
			h.rates[host], h.sizes[host] = &rate{}, &owner.Size{}
		}
	}
}

func (h *hosts) tick(now time.Time) {
	for _, r := range h.rates {
		r.tick(now)
	}
}

// rate is how many requests a second this entry gets.
func (h *hosts) rate() (sum float64) {
	for _, r := range h.rates {
		sum += r.mean
	}
	return sum
}

// leastRate is the rate in requests a second from which on a host's first owners
// are told of it.
const leastRate = 0.5

// loadsHeard is what another entry told of the requests that it gets.
type loadsHeard struct {
	at   time.Time
	list []relay.Load
}

// loadsHold is how long such word counts: several ticks, as datagrams are lost.
const loadsHold = 4 * tickPeriod

// tellLoads tells the first owners of each host what this entry gets of it: the
// first decides the host's number of owners by the sum, and the next may have to.
func (c *control) tellLoads(now time.Time) {
	reports := make(map[string][]relay.Load)
	for host, r := range c.hosts.rates {
		if r.mean < leastRate || c.deal == nil {
			continue
		}
		for _, e := range c.deal.FirstOwners(host) {
			if e.Name != c.gateway.self.Name {
				reports[e.Peer] = append(reports[e.Peer], relay.Load{Host: owner.HostID(host), Rate: r.mean})
			}
		}
	}
	for address, list := range reports {
		c.send(address, relay.Packet{
			Kind: relay.Loads, Loads: list, ID: c.members.Self(),
		})
	}
	maps.DeleteFunc(c.loads, func(_ string, l loadsHeard) bool { return now.Sub(l.at) > loadsHold })
}

// dealing deals out hosts among the live entries, anew only where either has
// changed: at 472 entries it takes 0.1 ms, and each tick asks for it.
func (c *control) dealing(live []owner.Candidate) *owner.Deal {
	if c.deal == nil || c.dealt != c.hosts.table {
		c.deal, c.dealt = owner.New(live, slices.Collect(maps.Keys(c.hosts.sizes))), c.hosts.table
	}
	return c.deal
}

// counts gives the number of owners of each host: as this entry decides where it
// is the first of them, else as the first one has told.
func (c *control) counts(now time.Time, deal *owner.Deal) map[string]int {
	counts := make(map[string]int, len(c.hosts.sizes))
	for host, size := range c.hosts.sizes {
		counts[host] = owner.Least
		first := deal.FirstOwners(host)
		if len(first) == 0 {
			continue
		}
		id := owner.HostID(host)
		if first[0].Name != c.gateway.self.Name {
			n, _ := c.numbers.Of(id)
			counts[host] = size.Hear(n.Owners)
			continue
		}
		load := c.load(host)
		counts[host] = size.Decide(now, load, deal.Fit(host))
		if c.numbers.Say(id, counts[host], load) {
			c.drive(now, member.News{})
		}
	}
	return counts
}

// load is how many requests a second a host gets at all entries, as its first
// owners are told.
func (c *control) load(host string) (sum float64) {
	id := owner.HostID(host)
	sum = c.hosts.rates[host].mean
	for _, l := range c.loads {
		for _, of := range l.list {
			if of.Host == id {
				sum += of.Rate
			}
		}
	}
	return sum
}
