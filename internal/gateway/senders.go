package gateway

import (
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/quota"
)

// updateSenders tells each service which entries send requests to it. The request rate
// that a cold target can take is divided among these entries. Any other entry, which
// callers may reach by an outdated directory response, uses targets that are warmed up.
//
// An entry that receives nothing from the others sends to no cold target. Each entry that
// is isolated assumes that it owns all hosts, so together their shares would exceed what a
// cold target can take.
func (c *control) updateSenders(now time.Time, owners map[string][]owner.Entry) {
	senders := c.senders(owners)
	if c.isolated(now) {
		senders = nil
	}
	for name, sv := range c.services {
		sv.setSenders(now, senders[name], c.gateway.self.Name)
	}
}

// senders returns, for each service, the names of the entries that own a host with a
// route to it.
func (c *control) senders(owners map[string][]owner.Entry) map[string][]string {
	senders := make(map[string][]string)
	for _, r := range c.config.Routes {
		host, _ := c.table.LookupHost(r.Host)
		for _, p := range r.Services {
			for _, e := range owners[host] {
				senders[p.Service] = append(senders[p.Service], e.Name)
			}
		}
	}
	for name, list := range senders {
		slices.Sort(list)
		senders[name] = slices.Compact(list)
	}
	return senders
}

// setSenders sets the names of the entries that send requests to the service.
func (s *service) setSenders(now time.Time, names []string, self string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(names, s.senders) {
		return
	}
	s.senders = names
	s.balancer.SetSenders(now, quota.NewSenders(names, self))
	s.updateProbeLimit(now)
}
