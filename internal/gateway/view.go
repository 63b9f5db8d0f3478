package gateway

import (
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

// addresses are where the callers of a host are sent.
func (v *view) addresses(host string, self owner.Entry) []string {
	if v.table == nil {
		return nil
	}
	name, _ := v.table.Host(host)
	list := v.owners[name]
	if len(list) == 0 {
		return []string{self.Front}
	}
	var out []string
	for _, e := range list {
		out = append(out, e.Front)
	}
	return out
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
