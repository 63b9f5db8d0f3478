package route

import (
	"maps"
	"net"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"plumpitch.example/plumpitch/pkg/call"
)

// Table finds the route of a request. It is immutable and safe for concurrent use.
type Table struct {
	Config Config
	hosts  map[string][]*ActiveRoute // longest prefix first
}

// ActiveRoute is a route with the state that is kept across configurations.
type ActiveRoute struct {
	Route                // its host in lower case and without port
	ID            uint32 // hash of its name
	Split         *Split
	WaitEstimator *call.WaitEstimator
	StartRange    *call.StartRange
}

// New builds the table of a configuration. A route that is in old keeps what was
// measured for it, and keeps its split if its services and weights are the same. A
// split that restarted with each version would send the first request after each to
// the same service.
func New(cfg Config, old *Table) *Table {
	t := &Table{Config: cfg, hosts: make(map[string][]*ActiveRoute)}
	active := old.routes()
	for _, r := range cfg.Routes {
		r.Host = canonical(r.Host)
		e := &ActiveRoute{
			Route: r, ID: uint32(xxhash.Sum64String(r.Name)), Split: NewSplit(r.Services),
			WaitEstimator: new(call.WaitEstimator), StartRange: new(call.StartRange),
		}
		if previous := active[r.Name]; previous != nil {
			e.WaitEstimator, e.StartRange = previous.WaitEstimator, previous.StartRange
			if previous.Split.same(r.Services) {
				e.Split = previous.Split
			}
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], e)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

func (t *Table) routes() map[string]*ActiveRoute {
	routes := make(map[string]*ActiveRoute)
	if t == nil {
		return routes
	}
	for _, list := range t.hosts {
		for _, e := range list {
			routes[e.Name] = e
		}
	}
	return routes
}

// Find returns the route of a host with the longest prefix that matches path, or nil.
func (t *Table) Find(host, path string) *ActiveRoute {
	for _, e := range t.hosts[canonical(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Regions returns the regions in which all routes of a host may be served. Routes
// without a restriction to regions are ignored; the result is empty if all are. If no
// region serves all the routes, Regions returns the regions of any of them, since
// callers look up a host and not a route. host is a name as LookupHost returns it.
func (t *Table) Regions(host string) []string {
	var common, all []string
	first := true
	for _, e := range t.hosts[host] {
		if len(e.Regions) == 0 {
			continue
		}
		all = append(all, e.Regions...)
		if first {
			common, first = slices.Clone(e.Regions), false
			continue
		}
		common = slices.DeleteFunc(common, func(r string) bool { return !slices.Contains(e.Regions, r) })
	}
	if len(common) > 0 {
		return common
	}
	return all
}

// Hosts returns the names of all hosts, in lower case and without port.
func (t *Table) Hosts() []string {
	return slices.Collect(maps.Keys(t.hosts))
}

// LookupHost returns the canonical name of a host, in lower case and without port, and
// whether it has routes.
func (t *Table) LookupHost(host string) (name string, known bool) {
	name = canonical(host)
	_, known = t.hosts[name]
	return name, known
}

func canonical(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
