package route

import (
	"maps"
	"net"
	"slices"
	"sort"
	"strings"

	"plumpitch.example/plumpitch/pkg/call"
)

// Table finds routes. It never changes, so any goroutine may read it.
type Table struct {
	Config Config
	hosts  map[string][]*Entry // longest prefix first
}

// Entry is a route with the state that its split keeps.
type Entry struct {
	Route    // its host without case and port
	Split    *Split
	Patience *call.Patience
}

// New builds the table of a configuration. Routes that old has go on with what
// it learnt, and with its splits where the parts are the same: a split that
// began anew at each version would send the first request after each one to the
// same part.
func New(cfg Config, old *Table) *Table {
	t := &Table{Config: cfg, hosts: make(map[string][]*Entry)}
	kept := old.routes()
	for _, r := range cfg.Routes {
		r.Host = canonical(r.Host)
		e := &Entry{Route: r, Split: NewSplit(r.Parts), Patience: new(call.Patience)}
		if before := kept[r.Name]; before != nil {
			e.Patience = before.Patience
			if before.Split.same(r.Parts) {
				e.Split = before.Split
			}
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], e)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

func (t *Table) routes() map[string]*Entry {
	kept := make(map[string]*Entry)
	if t == nil {
		return kept
	}
	for _, list := range t.hosts {
		for _, e := range list {
			kept[e.Name] = e
		}
	}
	return kept
}

// Find returns the route with the longest prefix of path, or nil.
func (t *Table) Find(host, path string) *Entry {
	for _, e := range t.hosts[canonical(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Homes returns the regions in which all routes of a host that have homes may be served,
// none where no route has any. Where no region is home to all, those of any route count:
// callers ask for a host, not for a route.
func (t *Table) Homes(host string) []string {
	var common, all []string
	first := true
	for _, e := range t.hosts[host] {
		if len(e.Homes) == 0 {
			continue
		}
		all = append(all, e.Homes...)
		if first {
			common, first = slices.Clone(e.Homes), false
			continue
		}
		common = slices.DeleteFunc(common, func(r string) bool { return !slices.Contains(e.Homes, r) })
	}
	if len(common) > 0 {
		return common
	}
	return all
}

// Hosts returns the names of all hosts, without case and port.
func (t *Table) Hosts() []string {
	return slices.Collect(maps.Keys(t.hosts))
}

// Host returns the name by which a host is known, and whether it has routes.
func (t *Table) Host(host string) (name string, known bool) {
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
