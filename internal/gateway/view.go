package gateway

import (
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/route"
)

// view is what traffic knows. It never changes once published.
type view struct {
	table    *route.Table // nil before any configuration is known
	services map[string]*service
	live     []owner.Candidate
	owners   map[string][]owner.Entry
}

// addresses are where the callers of a host are sent.
func (v *view) addresses(host string, self owner.Entry) []string {
	if v.table == nil {
		return nil
	}
	list := v.owners[v.table.Home(host)]
	if len(list) == 0 {
		return []string{self.Front}
	}
	var out []string
	for _, e := range list {
		out = append(out, e.Front)
	}
	return out
}
