package gateway

import (
	"slices"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/route"
)

// view is what traffic knows. It never changes once published.
type view struct {
	table    *route.Table // nil before any configuration is known
	targets  bool         // a list of targets is known too
	services map[string]*service
	live     []owner.Candidate
	owners   map[string][]owner.Entry // by host
	rates    map[string]*rate         // by host
}

// addresses are where the callers of a host are sent that are in a region.
func (v *view) addresses(host, region string, self owner.Entry) []string {
	if v.table == nil {
		return nil
	}
	name, _ := v.table.Host(host)
	list := v.owners[name]
	if homes := v.table.Homes(name); len(homes) > 0 {
		list = v.near(list, append(homes, region))
	}
	if len(list) == 0 {
		return []string{self.Front}
	}
	var out []string
	for _, e := range list {
		out = append(out, e.Front)
	}
	return out
}

// maxNear bounds the entries that callers are sent to in place of owners elsewhere.
const maxNear = 4

// near gives the owners in these regions or, where all are elsewhere, some of the live
// entries there: requests with homes may be sent to no entry of another region but the
// caller's own.
func (v *view) near(owners []owner.Entry, regions []string) (list []owner.Entry) {
	for _, e := range owners {
		if slices.Contains(regions, e.Region) {
			list = append(list, e)
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, c := range v.live {
		if len(list) < maxNear && slices.Contains(regions, c.Region) {
			list = append(list, c.Entry)
		}
	}
	return list
}

// Addresses are where a gateway listens.
type Addresses struct {
	Front     string
	Directory string
	Metrics   string
}

// Addresses returns where the gateway listens, which differs from its settings
// where those name port 0.
func (g *Gateway) Addresses() Addresses {
	return Addresses{g.front.Addr().String(), g.directory.Addr().String(), g.scrapes.Addr().String()}
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
		if sv == nil || sv.size() == 0 {
			return false
		}
	}
	return true
}
