package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/route"
)

// A route of a host is restricted to regions (homes). The directory must send its callers
// to entries in these regions or in the caller's own region, even if the host's owners are
// elsewhere: the request body must not be read in any other region.
func TestDirectoryKeepsCallersInAllowedRegions(t *testing.T) {
	at := func(name, region string) owner.Candidate {
		return owner.Candidate{Entry: owner.Entry{Name: name, CallerAddress: name, Region: region}}
	}
	live := []owner.Candidate{at("a", "metro"), at("b", "river"), at("c", "river"), at("d", "coast")}
	table := func(homes ...[]string) *route.Table {
		cfg := route.Config{}
		for _, h := range homes {
			cfg.Routes = append(cfg.Routes, route.Route{Host: "veil.example", Prefix: "/", Regions: h})
		}
		return route.New(cfg, nil)
	}
	tests := []struct {
		name   string
		table  *route.Table
		owners []owner.Candidate
		region string
		want   []string
	}{
		{"no homes", table(nil), live[3:], "metro", []string{"d"}},
		{"an owner at home", table([]string{"river"}), live[1:2], "coast", []string{"b"}},
		{"an owner in the caller's region", table([]string{"river"}), live[3:], "coast", []string{"d"}},
		{"owners elsewhere", table([]string{"river"}), live[3:], "metro", []string{"a", "b", "c"}},
		{"two routes, one home in common", table([]string{"river", "metro"}, []string{"river"}), live, "river", []string{"b", "c"}},
		{"one route without homes", table([]string{"river"}, nil), live, "river", []string{"b", "c"}},
		{"nobody there", table([]string{"moon"}), live, "moon", []string{"self"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := &view{table: tt.table, live: live, owners: map[string][]owner.Entry{}}
			for _, o := range tt.owners {
				v.owners["veil.example"] = append(v.owners["veil.example"], o.Entry)
			}
			qt.Assert(t, v.callerAddresses("veil.example", tt.region, owner.Entry{CallerAddress: "self"}), qt.DeepEquals, tt.want)
		})
	}
}
