package entry

import (
	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/internal/metrics"
	"plumpitch.example/plumpitch/pkg/call"
)

// serviceMetrics are the instruments of one service, made once so that the
// request path looks nothing up.
type serviceMetrics struct {
	latency  tally.Histogram
	ran      tally.Counter
	notRun   tally.Counter
	unknown  tally.Counter
	firsts   tally.Counter // first dispatches, which retries and hedges are a share of
	retries  tally.Counter
	hedges   tally.Counter
	share    tally.Gauge // most retries and hedges for each first dispatch
	probes   tally.Counter
	inflight tally.Gauge
	queue    tally.Gauge
	ejected  tally.Gauge
}

func newServiceMetrics(m metrics.Metrics, name string) serviceMetrics {
	s := m.Scope.Tagged(map[string]string{"service": name})
	outcome := func(o string) tally.Counter {
		return s.Tagged(map[string]string{"outcome": o}).Counter("requests")
	}
	return serviceMetrics{
		latency:  s.Histogram("latency", metrics.LatencyBuckets),
		ran:      outcome("ran"),
		notRun:   outcome("not-run"),
		unknown:  outcome("unknown"),
		firsts:   s.Counter("dispatches"),
		retries:  s.Counter("retries"),
		share:    s.Gauge("retry_share"),
		hedges:   s.Counter("hedges"),
		probes:   s.Counter("probes"),
		inflight: s.Gauge("inflight"),
		queue:    s.Gauge("queue"),
		ejected:  s.Gauge("ejected"),
	}
}

// dispatched counts one dispatch of a request: its first, a hedge beside
// another that flies, or a retry.
func (m serviceMetrics) dispatched(try, flying int) {
	switch {
	case try == 0:
		m.firsts.Inc(1)
	case flying > 0:
		m.hedges.Inc(1)
	default:
		m.retries.Inc(1)
	}
}

// count adds one request with the value of its outcome header, which is empty
// on a target's own answer.
func (m serviceMetrics) count(outcome string) {
	switch outcome {
	case call.NotRun.String():
		m.notRun.Inc(1)
	case call.Unknown.String():
		m.unknown.Inc(1)
	default:
		m.ran.Inc(1)
	}
}
