// Package metrics sets up tally metrics with an HTTP handler that Prometheus scrapes.
package metrics

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Metrics holds the root scope of a process's metrics and its HTTP handler.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves scrapes
	Close   func()
}

// reportPeriod is how often tally passes its values to the reporter.
const reportPeriod = time.Second

// LatencyBuckets cover 0.25 ms to about 8 s, doubling.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

// New returns the metrics of an entry. Each metric has the entry's name as a tag.
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
