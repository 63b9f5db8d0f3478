package gateway

import (
	"slices"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/route"
)

// view is the state that requests are served from. It is immutable once published.
type view struct {
	table       *route.Table // nil before any configuration is known
	initialized bool         // everything needed to choose a target is known
	services    map[string]*service
	live        []owner.Candidate
	isolated    bool                     // this entry receives nothing from the others
	known       int                      // other entries of which the store has records
	owners      map[string][]owner.Entry // by host
	rates       map[string]*rate         // by host
	// delegates are the entries that serve the requests of a service that this one doesn't
	// reach, by service.
	delegates map[string][]owner.Entry
}

// refusesCallers reports whether the directory names no entries to callers. An isolated entry
// knows only itself, and gets no tokens for the limited accounts of its callers.
func (v *view) refusesCallers() bool {
	return v.isolated && v.table != nil && v.table.Config.Accounts.AnyLimited()
}

// callerAddresses returns the addresses of the entries that callers in a region use for a host.
func (v *view) callerAddresses(host, region string, self owner.Entry) []string {
	if v.table == nil {
		return nil
	}
	name, _ := v.table.LookupHost(host)
	list := v.owners[name]
	if regions := v.table.Regions(name); len(regions) > 0 {
		list = v.nearby(list, append(regions, region))
	}
	if len(list) == 0 {
		return []string{self.CallerAddress}
	}
	var out []string
	for _, e := range list {
		out = append(out, e.CallerAddress)
	}
	return out
}

// maxNearby bounds the entries that replace a host's owners in other regions.
const maxNearby = 4

// nearby returns the owners in these regions, or some of the regions' live entries if no
// owner is there. Requests that are restricted to regions may enter only in one of these or
// in the caller's own.
func (v *view) nearby(owners []owner.Entry, regions []string) (list []owner.Entry) {
	for _, e := range owners {
		if slices.Contains(regions, e.Region) {
			list = append(list, e)
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, c := range v.live {
		if len(list) < maxNearby && slices.Contains(regions, c.Region) {
			list = append(list, c.Entry)
		}
	}
	return list
}

// Addresses are the addresses that a gateway listens on.
type Addresses struct {
	Front     string
	Directory string
	Metrics   string
}

// Addresses returns the addresses that the gateway listens on. They differ from the settings
// if those have port 0.
func (g *Gateway) Addresses() Addresses {
	return Addresses{g.frontListener.Addr().String(), g.directoryListener.Addr().String(), g.metricsListener.Addr().String()}
}

// Ready reports whether a configuration is in force and each of its services
// has a target.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	if v.table == nil {
		return false
	}
	for name := range v.table.Config.Services {
		sv := v.services[name]
		if sv == nil || sv.targetCount() == 0 {
			return false
		}
	}
	return true
}
