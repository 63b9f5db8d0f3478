package entry

import (
	"time"

	"plumpitch.example/plumpitch/pkg/member"
)

// site is what the traffic side knows of the whole system: one immutable
// snapshot, replaced by the control loop.
type site struct {
	revision uint64 // of the settings in force
	services map[string]*service
	live     []member.Entry // entries that callers may be sent to
	listed   bool           // whether the VM list is known
}

// locate names the addresses at which callers reach a service, the preferred
// one first, and for how long they may keep the answer.
func (s *site) locate(name string) (addrs []string, ttl time.Duration, ok bool) {
	sv, ok := s.services[name]
	if !ok {
		return nil, 0, false
	}
	p := sv.policy.Load()
	for _, m := range member.Homes(s.live, name, p.Entries) {
		addrs = append(addrs, m.Caller)
	}
	return addrs, p.LocateTTL, true
}
