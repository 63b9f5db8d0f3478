package entry

import (
	"time"

	"plumpitch.example/plumpitch/pkg/account"
	"plumpitch.example/plumpitch/pkg/member"
)

// snapshot is the traffic side's immutable view of the system. The control loop
// replaces it.
type snapshot struct {
	revision uint64 // of the settings in force
	services map[string]*service
	accounts *account.Index // nil if requests need no keys
	live     []member.Entry // entries that locate may return
	vmsKnown bool           // the VM list has been read
}

// locate returns the addresses of the entries that serve a service, the preferred
// one first, and how long callers may cache them.
func (s *snapshot) locate(name string) (addrs []string, ttl time.Duration, ok bool) {
	sv, ok := s.services[name]
	if !ok {
		return nil, 0, false
	}
	p := sv.policy.Load()
	for _, m := range member.PreferredEntries(s.live, name, p.Entries) {
		addrs = append(addrs, m.CallerAddress)
	}
	return addrs, p.LocateTTL, true
}
