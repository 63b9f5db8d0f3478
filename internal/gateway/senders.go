package gateway

import (
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/quota"
)

// shareCold tells each service which entries send to it: what a cold target bears is
// divided among these. Callers that come to another entry, by an answer of the directory
// that has grown old, are served by warm targets.
//
// An entry that hears none of the others sends to no cold target. It takes itself for
// the owner of everything, as any other does that was cut off with it, and their shares
// together would be more than a target bears.
func (c *control) shareCold(now time.Time, owners map[string][]owner.Entry) {
	senders := c.senders(owners)
	if c.isolated(now) {
		senders = nil
	}
	for name, sv := range c.services {
		sv.share(now, senders[name], c.gateway.self.Name)
	}
}

// senders are the names of the owners of all hosts with requests for a service, by
// service.
func (c *control) senders(owners map[string][]owner.Entry) map[string][]string {
	senders := make(map[string][]string)
	for _, r := range c.config.Routes {
		host, _ := c.table.Host(r.Host)
		for _, p := range r.Parts {
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

// share takes the names of the entries that send to the service.
func (s *service) share(now time.Time, names []string, self string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(names, s.senders) {
		return
	}
	s.senders = names
	s.book.Senders(now, quota.NewSenders(names, self))
}
