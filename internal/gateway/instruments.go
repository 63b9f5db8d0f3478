package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/internal/metrics"
	"plumpitch.example/plumpitch/pkg/slot"
)

// instruments are the metrics of the whole process. They are created once, so that
// requests need no lookup by name.
type instruments struct {
	metrics.Metrics
	restores         tally.Counter // restores of the store from a copy
	packetsReceived  tally.Counter // packets received from other entries
	bytesSent        tally.Counter // bytes of packets sent to other entries
	packetsLost      tally.Counter // packets by TCP that were dropped or couldn't be delivered
	packetsByTCP     tally.Counter // packets sent by TCP to entries that don't answer datagrams
	pulls            tally.Counter // pulls from other entries
	freshnessWaits   tally.Counter // requests that waited for newer store data
	storeReads       [resourceCount]tally.Counter
	failedStoreReads [resourceCount]tally.Counter    // reads without a response of the store
	refusedObjects   func(kind string) tally.Counter // objects of the store that can't be decoded, each time that they are read
	configVersion    tally.Gauge                     // version in force
	dataAge          [resourceCount]tally.Gauge      // seconds since the store confirmed the data
	liveEntries      tally.Gauge                     // live entries
	knownEntries     tally.Gauge                     // other entries, dead ones included
	upEntries        tally.Gauge                     // other entries that are up
	trafficShare     tally.Gauge                     // share of all requests that this entry reckons with
	accounts         *accountCounters
	tokenAsks        tally.Counter // asks for tokens of client accounts
	bucketTransfers  func(result string) tally.Counter
	memoryLimit      tally.Gauge // bytes for traffic
	memoryHeld       tally.Gauge // bytes of bodies and buffered responses
	bodiesWaiting    tally.Gauge // bodies that wait for room
	targets          tally.Gauge
	evacuatedDomains tally.Gauge // evacuated failure domains
}

func newInstruments(entry string) instruments {
	m := metrics.New(entry)
	i := instruments{
		Metrics: m, restores: m.Scope.Counter("store_restores"), packetsReceived: m.Scope.Counter("packets"), bytesSent: m.Scope.Counter("packet_bytes"), packetsByTCP: m.Scope.Counter("packets_tcp"), packetsLost: m.Scope.Counter("packets_lost"), pulls: m.Scope.Counter("pulls"),
		freshnessWaits: m.Scope.Counter("waits_for_knowledge"),
		configVersion:  m.Scope.Gauge("config_version"), liveEntries: m.Scope.Gauge("live_entries"), knownEntries: m.Scope.Gauge("entries_known"), upEntries: m.Scope.Gauge("entries_up"),
		trafficShare: m.Scope.Gauge("traffic_part"), targets: m.Scope.Gauge("targets"),
		evacuatedDomains: m.Scope.Gauge("evacuated_places"), tokenAsks: m.Scope.Counter("quota_asks"), accounts: newAccountCounters(m.Scope),
	}
	i.memoryLimit, i.memoryHeld, i.bodiesWaiting = m.Scope.Gauge("memory_limit_bytes"), m.Scope.Gauge("memory_held_bytes"), m.Scope.Gauge("bodies_waiting")
	i.refusedObjects = func(kind string) tally.Counter {
		return m.Scope.Tagged(map[string]string{"kind": kind}).Counter("store_objects_refused")
	}
	i.bucketTransfers = func(result string) tally.Counter {
		return m.Scope.Tagged(map[string]string{"result": result}).Counter("quota_transfers")
	}
	for r, name := range resourceLabels {
		s := m.Scope.Tagged(map[string]string{"kind": name})
		i.storeReads[r], i.failedStoreReads[r] = s.Counter("store_reads"), s.Counter("store_reads_failed")
		i.dataAge[r] = s.Gauge("knowledge_age_seconds")
	}
	return i
}

// countSent counts a packet sent to another entry.
func (i instruments) countSent(bytes int, stream bool) {
	i.bytesSent.Inc(int64(bytes))
	if stream {
		i.packetsByTCP.Inc(1)
	}
}

// serviceInstruments are the metrics of one service.
type serviceInstruments struct {
	latency          tally.Histogram                   // of forwarded responses
	forwarded        tally.Counter                     // requests with a forwarded response
	errorResponses   func(reason string) tally.Counter // error responses of this entry
	refusals         map[slot.Reason]tally.Counter     // refusals of the balancer
	dispatches       tally.Counter
	extraDispatches  func(why string) tally.Counter // retries and hedges
	budgetDenied     tally.Counter                  // requests without a retry or hedge for lack of budget
	budgetAvailable  tally.Gauge                    // retries and hedges that the budget has saved up
	burst            tally.Gauge                    // the most that it may save up in each bucket
	crashes          tally.Counter                  // dispatches during which the target may have crashed
	pauses           tally.Counter                  // responses in which a target asked for a pause
	loadProbes       tally.Counter
	failedDispatches tally.Counter                 // dispatches without a valid response
	passedOn         tally.Counter                 // requests sent to an entry that reaches the targets
	strayResponses   func(id string) tally.Counter // responses without exactly the request's ID, by the ID found
	repeatedIDs      tally.Counter                 // connections given up since they had carried the request's ID
}

// service creates the metrics of a service.
func (i instruments) service(name string) serviceInstruments {
	s := i.Scope.Tagged(map[string]string{"service": name})
	si := serviceInstruments{
		latency: s.Histogram("latency", metrics.LatencyBuckets), forwarded: s.Counter("answered"),
		dispatches: s.Counter("dispatches"), loadProbes: s.Counter("load_questions"),
		budgetDenied: s.Counter("repeats_denied"), budgetAvailable: s.Gauge("repeats_saved"), burst: s.Gauge("repeats_burst"),
		crashes: s.Counter("crashes"), pauses: s.Counter("pauses"),
		failedDispatches: s.Counter("dispatches_failed"), passedOn: s.Counter("passed_on"), repeatedIDs: s.Counter("repeated_ids"), refusals: make(map[slot.Reason]tally.Counter),
	}
	for _, r := range []slot.Reason{slot.Full, slot.NoTarget, slot.Cold, slot.Paused, slot.Limited} {
		si.refusals[r] = s.Tagged(map[string]string{"reason": r.String()}).Counter("refusals")
	}
	si.extraDispatches = func(why string) tally.Counter {
		return s.Tagged(map[string]string{"reason": why}).Counter("repeats")
	}
	si.strayResponses = func(id string) tally.Counter {
		return s.Tagged(map[string]string{"id": id}).Counter("stray_responses")
	}
	si.errorResponses = func(reason string) tally.Counter {
		return s.Tagged(map[string]string{"reason": reason}).Counter("final_answers")
	}
	return si
}

// updateGauges sets the gauges from the control loop's state.
func (c *control) updateGauges(now time.Time) {
	i := &c.gateway.instruments
	i.configVersion.Update(float64(c.config.Version))
	i.liveEntries.Update(float64(len(c.live())))
	c.updateContactGauges()
	i.targets.Update(float64(c.targets.Len()))
	i.evacuatedDomains.Update(float64(c.evacuations.Len()))
	for _, s := range c.services {
		s.instruments.budgetAvailable.Update(s.budget.Available())
	}
	c.gateway.quotas.updateGauges(now)
	u := c.gateway.guard.Usage()
	i.memoryLimit.Update(float64(u.Limit))
	i.memoryHeld.Update(float64(u.Held))
	i.bodiesWaiting.Update(float64(u.Waiting))
	for r := range resourceCount {
		i.dataAge[r].Update(c.age(now, r).Seconds())
	}
}
