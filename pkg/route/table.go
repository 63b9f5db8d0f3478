package route

import (
	"net"
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
	Route
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
		e := &Entry{Route: r, Split: NewSplit(r.Parts), Patience: new(call.Patience)}
		if before := kept[r.Name]; before != nil {
			e.Patience = before.Patience
			if before.Split.same(r.Parts) {
				e.Split = before.Split
			}
		}
		host := canonical(r.Host)
		t.hosts[host] = append(t.hosts[host], e)
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

// Home returns the service that most of a host's weight goes to, by which the
// host's callers are gathered. Equal weights go by name, so that all entries
// agree. It is empty for an unknown host.
func (t *Table) Home(host string) string {
	weight := make(map[string]float64)
	for _, e := range t.hosts[canonical(host)] {
		total := 0
		for _, p := range e.Parts {
			total += p.Weight
		}
		for _, p := range e.Parts {
			weight[p.Service] += float64(p.Weight) / float64(max(total, 1))
		}
	}
	home := ""
	for s, w := range weight {
		if home == "" || w > weight[home] || w == weight[home] && s < home {
			home = s
		}
	}
	return home
}

// Homes returns the homes of all hosts.
func (t *Table) Homes() map[string]bool {
	homes := make(map[string]bool)
	for host := range t.hosts {
		homes[t.Home(host)] = true
	}
	return homes
}

func canonical(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
