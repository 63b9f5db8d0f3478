package route

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func one(service string) []WeightedService { return []WeightedService{{Service: service, Weight: 1}} }

func TestFind(t *testing.T) {
	table := New(Config{Routes: []Route{
		{Name: "short", Host: "veil.example", Prefix: "/a/", Services: one("s")},
		{Name: "long", Host: "veil.example", Prefix: "/a/b/", Services: one("s")},
		{Name: "other", Host: "gown.example", Prefix: "/", Services: one("s")},
	}}, nil)
	tests := []struct {
		name, host, path, want string
	}{
		{"longest prefix", "veil.example", "/a/b/c", "long"},
		{"shorter prefix if the longer doesn't match", "veil.example", "/a/bc", "short"},
		{"prefix ends with its slash", "veil.example", "/a", ""},
		{"port and case don't count", "VEIL.example:8080", "/a/x", "short"},
		{"root of another host", "gown.example", "/a/x", "other"},
		{"unknown host", "hem.example", "/a/x", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if e := table.Find(tt.host, tt.path); e != nil {
				got = e.Name
			}
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

// The operator splits a route 9 to 1. After any number of requests each service must
// be within one request of its share, also in a small sample and across versions of the
// configuration that keep the split.
func TestSplit(t *testing.T) {
	c := qt.New(t)
	services := []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	cfg := Config{Version: 1, Routes: []Route{{Name: "r", Host: "h", Prefix: "/", Services: services}}}
	table := New(cfg, nil)
	count := map[string]int{}
	for i := 1; i <= 500; i++ {
		if i%7 == 0 {
			cfg.Version++
			table = New(cfg, table)
		}
		count[table.Find("h", "/x").Split.Next()]++
		diff := float64(count["a"]) - 0.9*float64(i)
		c.Assert(diff <= 1 && diff >= -1, qt.IsTrue, qt.Commentf("after %d: %v", i, count))
	}
}

func TestHosts(t *testing.T) {
	table := New(Config{Routes: []Route{
		{Name: "a", Host: "H.example", Prefix: "/a/", Services: one("s1")},
		{Name: "b", Host: "h.example:80", Prefix: "/b/", Services: one("s1")},
		{Name: "c", Host: "g", Prefix: "/", Services: one("s2")},
	}}, nil)
	hosts := table.Hosts()
	slices.Sort(hosts)
	qt.Assert(t, hosts, qt.DeepEquals, []string{"g", "h.example"})
	tests := []struct {
		host, name string
		known      bool
	}{{"h.EXAMPLE:8080", "h.example", true}, {"g", "g", true}, {"x", "x", false}}
	for _, tt := range tests {
		name, known := table.LookupHost(tt.host)
		qt.Assert(t, name, qt.Equals, tt.name)
		qt.Assert(t, known, qt.Equals, tt.known)
	}
}
