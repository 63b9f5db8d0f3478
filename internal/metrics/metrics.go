// Package metrics makes the instruments that a process reports by tally, in a
// form that Prometheus scrapes.
package metrics

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Metrics holds a process's instruments.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // of scrapes
	Close   func()
}

// reportPeriod is how often tally hands its values to the reporter.
const reportPeriod = time.Second

// LatencyBuckets cover 0.25 ms to about 8 s, doubling.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

// New returns the instruments of the entry of that name.
func New(entry string) Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "plumpitch",
		Tags:           map[string]string{"entry": entry},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportPeriod)
	return Metrics{
		Scope:   scope,
		Handler: reporter.HTTPHandler(),
		Close:   func() { _ = closer.Close() },
	}
}
