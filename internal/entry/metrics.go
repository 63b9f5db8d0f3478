package entry

import (
	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/internal/metrics"
	"plumpitch.example/plumpitch/pkg/call"
)

// serviceMetrics holds the instruments of one service. They are created once, so
// that the request path needs no lookups.
type serviceMetrics struct {
	latency         tally.Histogram
	ran             tally.Counter
	notRun          tally.Counter
	unknown         tally.Counter
	firstDispatches tally.Counter // the retry budget is a share of these
	retries         tally.Counter
	hedges          tally.Counter
	retryShare      tally.Gauge // limit of retries and hedges, per first dispatch
	probes          tally.Counter
	inflight        tally.Gauge
	queue           tally.Gauge
	ejected         tally.Gauge
}

func newServiceMetrics(m metrics.Metrics, name string) serviceMetrics {
	s := m.Scope.Tagged(map[string]string{"service": name})
	outcome := func(o string) tally.Counter {
		return s.Tagged(map[string]string{"outcome": o}).Counter("requests")
	}
	return serviceMetrics{
		latency:         s.Histogram("latency", metrics.LatencyBuckets),
		ran:             outcome("ran"),
		notRun:          outcome("not-run"),
		unknown:         outcome("unknown"),
		firstDispatches: s.Counter("dispatches"),
		retries:         s.Counter("retries"),
		retryShare:      s.Gauge("retry_share"),
		hedges:          s.Counter("hedges"),
		probes:          s.Counter("probes"),
		inflight:        s.Gauge("inflight"),
		queue:           s.Gauge("queue"),
		ejected:         s.Gauge("ejected"),
	}
}

// dispatched counts a dispatch as a first dispatch, as a hedge if others of its
// request are in flight, or as a retry.
func (m serviceMetrics) dispatched(index, inFlight int) {
	switch {
	case index == 0:
		m.firstDispatches.Inc(1)
	case inFlight > 0:
		m.hedges.Inc(1)
	default:
		m.retries.Inc(1)
	}
}

// count counts a request by the value of its outcome header. A target's response
// doesn't have this header and counts as ran.
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
