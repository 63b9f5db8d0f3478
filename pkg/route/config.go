// Package route holds a configuration of routes and services and finds the
// route of a request. It does no I/O.
package route

import (
	"cmp"
	"time"

	"plumpitch.example/plumpitch/pkg/account"
)

// Version is the number of a configuration. A higher one is newer; zero means none.
type Version uint64

// Config is one complete version of the configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts; nil if requests carry no keys.
	Accounts *account.Index
}

// Route defines how the requests for one host and path prefix are served.
type Route struct {
	Name          string
	Host          string            // compared without case and port
	Prefix        string            // begins and ends with a slash
	Idempotent    bool              // a request may be run twice without harm
	Timeout       time.Duration     // longest time to a final response
	Objective     time.Duration     // response time up to which a response counts in full
	Priority      int               // rank among the routes of a service, 0 first
	MaxDispatches int               // targets that one request may be sent to
	Regions       []string          // regions whose targets may serve it; empty for all
	Services      []WeightedService // empty if it isn't known which service may serve it
	Public        bool              // requests need no key
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string // path of the health endpoint
	// WarmupTime is how long a target is cold after its start, and WarmupRate the
	// requests per second that it can serve while it is cold; 0 means unspecified.
	WarmupTime time.Duration
	WarmupRate float64
}

// Limits bound the size of a caller's requests and the time that a connection may idle.
type Limits struct {
	MaxHeaderBytes int           // 0 if unknown
	MaxBodyBytes   int64         // 0 if unknown
	HeaderTimeout  time.Duration // for sending a request head; 0 for none
	IdleTimeout    time.Duration // callers reuse connections for up to four fifths of it; 0 for none
}

// Sizes in force in place of unknown ones until a configuration has known ones.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
)

// Or returns the limits with the sizes of earlier limits, or else the defaults, in place of unknown
// ones.
func (l Limits) Or(earlier Limits) Limits {
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, earlier.MaxHeaderBytes, defaultMaxHeaderBytes)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, earlier.MaxBodyBytes, defaultMaxBodyBytes)
	return l
}
