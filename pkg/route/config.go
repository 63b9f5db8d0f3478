// Package route holds a configuration of routes and services and finds the
// route of a request. It does no I/O.
package route

import "time"

// Version numbers a configuration. A higher one is newer; zero is none.
type Version uint64

// Config is one whole version of the configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route tells how the requests of one host and path prefix are served.
type Route struct {
	Name       string
	Host       string        // compared without case and port
	Prefix     string        // begins and ends with a slash
	Idempotent bool          // a second run does no harm
	Timeout    time.Duration // longest time to a final answer
	Objective  time.Duration // an answer within it is worth its full credit
	Priority   int           // rank among the routes of a service, 0 first
	Attempts   int           // targets that may be sent one request
	Homes      []string      // regions whose targets may run it; empty for all
	Parts      []Part        // none where it isn't known which service may run it
}

// Part is a service's share of a route.
type Part struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name   string
	Health string // path of the health endpoint
	// Warmup is for how long a target is cold after its start, and WarmRate how many
	// requests a second it bears then; 0 says nothing.
	Warmup   time.Duration
	WarmRate float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTime    time.Duration // callers reuse connections up to four fifths of it
}
