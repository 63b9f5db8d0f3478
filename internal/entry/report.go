package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/pool"
)

// gaugePeriod is how often the gauges are updated.
const gaugePeriod = time.Second

// reporter updates the gauges of control state and copies the counters of the
// store and peer clients to tally.
type reporter struct {
	entry           *Entry
	lastStoreCounts store.Counts
}

func (r *reporter) String() string { return "reporter" }

// Serve runs until ctx ends.
func (r *reporter) Serve(ctx context.Context) error {
	tick := time.NewTicker(gaugePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			r.report(time.Now())
		}
	}
}

func (r *reporter) report(now time.Time) {
	e := r.entry
	s := e.snapshot.Load()
	scope := e.metrics.Scope
	scope.Gauge("settings_revision").Update(float64(s.revision))
	scope.Gauge("entries_live").Update(float64(len(s.live)))
	scope.Gauge("probe_ms").Update(float64(e.prober.totalNanos.Load()) / float64(time.Millisecond))
	for _, sv := range s.services {
		sv.updateGauges(now)
	}
	r.storeCalls(scope)
	r.peerBytes(scope)
}

// poolStatus reads the balancer's state under the lock. It unlocks with defer: a
// panic that left the service locked would block all its requests.
func (s *service) poolStatus(now time.Time) (queued, inFlight int, rows []pool.TargetStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued, inFlight = s.balancer.RequestCounts()
	return queued, inFlight, s.balancer.Explain(now)
}

func (s *service) updateGauges(now time.Time) {
	queued, inFlight, rows := s.poolStatus(now)
	ejected := 0
	for _, row := range rows {
		if !row.Until.IsZero() {
			ejected++
		}
	}
	s.metrics.queue.Update(float64(queued))
	s.metrics.inflight.Update(float64(inFlight))
	s.metrics.ejected.Update(float64(ejected))
	s.metrics.retryShare.Update(s.policy.Load().RetryShare)
}

func (r *reporter) storeCalls(scope tally.Scope) {
	now := r.entry.store.Counts()
	for _, c := range []struct {
		kind      string
		now, last uint64
	}{
		{"read", now.Reads + now.VMs, r.lastStoreCounts.Reads + r.lastStoreCounts.VMs},
		{"write", now.Writes, r.lastStoreCounts.Writes},
		{"watch", now.Watches, r.lastStoreCounts.Watches},
		{"retry", now.Retries, r.lastStoreCounts.Retries},
		{"failed", now.Failed, r.lastStoreCounts.Failed},
	} {
		scope.Tagged(map[string]string{"kind": c.kind}).Counter("store_calls").Inc(int64(c.now - c.last))
	}
	scope.Counter("store_objects_refused").Inc(int64(now.Refused - r.lastStoreCounts.Refused))
	r.lastStoreCounts = now
}

// peerBytes updates the gauges of calls and bytes exchanged with peers since the
// start.
func (r *reporter) peerBytes(scope tally.Scope) {
	c := r.entry.counters
	for _, k := range c.Counts() {
		kind := scope.Tagged(map[string]string{"kind": k.Method.String()})
		kind.Gauge("peer_calls").Update(float64(k.Calls))
		kind.Gauge("peer_bytes").Update(float64(k.In + k.Out))
	}
	scope.Gauge("peer_wire_bytes").Update(float64(c.ConnIn.Load() + c.ConnOut.Load()))
}
