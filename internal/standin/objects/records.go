package objects

import (
	"strconv"
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
}

// Evacuate writes the evacuation of a failure domain, as an operator does.
func (s *Store) Evacuate(place string) { s.Put("evacuations", place, struct{}{}) }

// EndEvacuation removes the evacuation of a failure domain.
func (s *Store) EndEvacuation(place string) { s.Delete("evacuations", place) }

// PutConfig writes a configuration with these routes and services.
func (s *Store) PutConfig(version int, routes []Route, services []string) {
	routeRecords, serviceRecords := map[string]any{}, map[string]any{}
	for _, r := range routes {
		kind := "idempotent"
		switch {
		case r.Kind != "":
			kind = r.Kind
		case r.NonIdempotent:
			kind = "non_idempotent"
		}
		routeRecords[r.Name] = map[string]any{
			"host": r.Host, "pathPrefix": r.Prefix, "routeType": kind, "timeout": r.Timeout,
			"targetLatency": r.TargetLatency, "priority": 1, "attempts": r.Attempts, "service": r.Service,
		}
	}
	for _, name := range services {
		serviceRecords[name] = map[string]any{
			"healthPath": "/health", "maxConns": 200, "warmup": Warmup.String(), "warmupPerS": WarmupRate,
		}
	}
	s.Put("config", "main", map[string]any{
		"version": "r" + strconv.Itoa(version), "routes": routeRecords, "services": serviceRecords,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3s", "idleTimeout": "15s"},
	})
}
