package objects

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The records of users' targets and operators, in the format of the users' platform.

// Target is the record that a target writes about itself.
type Target struct {
	ID            string
	Address       string
	Service       string
	Place         string
	Slots         int
	Leaving       bool
	StartedMillis int64         // start of the incarnation, in Unix ms
	Warmup        time.Duration // remaining warm-up time
}

// Warm-up of each target of a configuration after its start.
const (
	Warmup     = 3 * time.Second
	WarmupRate = 3.4 // requests a second during the warm-up
)

// unreachablePeer is an address that nothing listens on; the port is the number of an entry.
const unreachablePeer = "127.0.0.1:"

// SeparateEntries gives each entry that lists the entries an unreachable address for each
// one that isn't in its group, so that they know of each other and can't reach each other.
// Entries are numbered by the digits at the end of their names, from 1 on.
func (s *Store) SeparateEntries(group func(number int) int) {
	s.RewriteLists(func(r *http.Request, kind string, o Object) Object {
		n := entryNumber(o.Name)
		if kind != "entries" || group(n) == group(entryNumber(r.UserAgent())) {
			return o
		}
		var spec map[string]any
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			return o
		}
		spec["peer"] = unreachablePeer + strconv.Itoa(n)
		o.Spec, _ = json.Marshal(spec) // of a decoded map, so it can't fail
		return o
	})
}

// entryNumber returns the number at the end of an entry's name, or 0 if there is none.
func entryNumber(name string) int {
	digits := name[len(strings.TrimRight(name, "0123456789")):]
	n, _ := strconv.Atoi(digits)
	return n
}

// PutTarget writes a target's record.
func (s *Store) PutTarget(t Target) {
	state := "ready"
	if t.Leaving {
		state = "draining"
	}
	s.Put("servers", t.ID, map[string]any{
		"address": t.Address, "born": t.StartedMillis,
		"info":   map[string]any{"service": t.Service, "version": "v1", "zone": t.Place, "concurrency": t.Slots},
		"status": map[string]any{"state": state, "sequence": 1, "warmupLeft": strconv.FormatInt(t.Warmup.Milliseconds(), 10) + "ms"},
	})
}

// Route is a route of a configuration.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	NonIdempotent bool // requests are not idempotent
	Timeout       string
	TargetLatency string // objective of the response time; a response within it counts in full
	Attempts      int
	Service       string
	Kind          string // route type in the record; if empty, derived from NonIdempotent
	Public        bool   // requests need no key
}

// Account is a client account of a configuration.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // nil omits it
	Rate     float64
	Burst    float64
}

// Evacuate writes the evacuation of a failure domain, as an operator does.
func (s *Store) Evacuate(place string) { s.Put("evacuations", place, struct{}{}) }

// EndEvacuation removes the evacuation of a failure domain.
func (s *Store) EndEvacuation(place string) { s.Delete("evacuations", place) }

// DefaultBodyLimit is the size of the largest bodies in bytes unless Store.BodyLimit is set.
const DefaultBodyLimit = 1 << 20

// PutConfig writes a configuration with these routes and services, and without accounts.
func (s *Store) PutConfig(version int, routes []Route, services []string) {
	s.PutAccountConfig(version, routes, services, nil)
}

// MaxConns is the number of connections that a target accepts, as services are configured.
const MaxConns = 200

// PutAccountConfig writes a configuration with these routes, services and accounts. It has no
// table of accounts if accounts is nil, and an empty one if accounts is empty.
func (s *Store) PutAccountConfig(version int, routes []Route, services []string, accounts []Account) {
	routeRecords, serviceRecords := map[string]any{}, map[string]any{}
	for _, r := range routes {
		routeRecords[r.Name] = r.record()
	}
	for _, name := range services {
		serviceRecords[name] = map[string]any{
			"healthPath": "/health", "maxConns": MaxConns, "warmup": Warmup.String(), "warmupPerS": WarmupRate,
		}
	}
	config := map[string]any{
		"version": "r" + strconv.Itoa(version), "routes": routeRecords, "services": serviceRecords,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": cmp.Or(s.BodyLimit, DefaultBodyLimit), "headerTimeout": "3s", "idleTimeout": "15s"},
	}
	if accounts != nil {
		config["tenants"] = accountRecords(accounts)
	}
	s.Put("config", "main", config)
}

func (r Route) record() map[string]any {
	kind := "idempotent"
	switch {
	case r.Kind != "":
		kind = r.Kind
	case r.NonIdempotent:
		kind = "non_idempotent"
	}
	record := map[string]any{
		"host": r.Host, "pathPrefix": r.Prefix, "routeType": kind, "timeout": r.Timeout,
		"targetLatency": r.TargetLatency, "priority": 1, "attempts": r.Attempts, "service": r.Service,
	}
	if r.Public {
		record["public"] = true
	}
	return record
}

func accountRecords(accounts []Account) map[string]any {
	records := make(map[string]any, len(accounts))
	for _, a := range accounts {
		record := map[string]any{"apiKeys": a.Keys, "ratePerS": a.Rate, "burst": a.Burst}
		if a.Priority != nil {
			record["priority"] = *a.Priority
		}
		records[a.Name] = record
	}
	return records
}
