package objects

import (
	"strconv"
	"time"
)

// The records that the users' targets and operators write, in their own words.

// Target is what a target writes of itself.
type Target struct {
	ID      string
	Address string
	Service string
	Place   string
	Slots   int
	Leaving bool
	Born    int64         // Unix ms of its start
	Warmup  time.Duration // for how much longer it is cold
}

// What each target of a configuration needs after its start.
const (
	Warmup     = 3 * time.Second
	WarmupRate = 3.4 // requests a second
)

// PutTarget writes a target's record.
func (s *Store) PutTarget(t Target) {
	state := "ready"
	if t.Leaving {
		state = "draining"
	}
	s.Put("servers", t.ID, map[string]any{
		"address": t.Address, "born": t.Born,
		"info":   map[string]any{"service": t.Service, "version": "v1", "zone": t.Place, "concurrency": t.Slots},
		"status": map[string]any{"state": state, "sequence": 1, "warmupLeft": strconv.FormatInt(t.Warmup.Milliseconds(), 10) + "ms"},
	})
}

// Route is a route of a configuration.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Once     bool // a second run does harm
	Timeout  string
	Goal     string // time within which an answer counts in full
	Attempts int
	Service  string
	Kind     string // as written; empty goes by Once
}

// Evacuate marks a failure domain, as the operator does, and TakeBack removes the mark.
func (s *Store) Evacuate(place string) { s.Put("evacuations", place, struct{}{}) }

// TakeBack removes the mark of a failure domain.
func (s *Store) TakeBack(place string) { s.Delete("evacuations", place) }

// PutConfig writes a configuration with these routes and services.
func (s *Store) PutConfig(version int, routes []Route, services []string) {
	named, served := map[string]any{}, map[string]any{}
	for _, r := range routes {
		kind := "idempotent"
		switch {
		case r.Kind != "":
			kind = r.Kind
		case r.Once:
			kind = "non_idempotent"
		}
		named[r.Name] = map[string]any{
			"host": r.Host, "pathPrefix": r.Prefix, "routeType": kind, "timeout": r.Timeout,
			"targetLatency": r.Goal, "priority": 1, "attempts": r.Attempts, "service": r.Service,
		}
	}
	for _, name := range services {
		served[name] = map[string]any{
			"healthPath": "/health", "maxConns": 200, "warmup": Warmup.String(), "warmupPerS": WarmupRate,
		}
	}
	s.Put("config", "main", map[string]any{
		"version": "r" + strconv.Itoa(version), "routes": named, "services": served,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3s", "idleTimeout": "15s"},
	})
}
