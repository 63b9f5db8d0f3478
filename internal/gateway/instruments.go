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
	restores tally.Counter // restores of the store from a copy
	packets  tally.Counter // packets received from other entries
	sent     tally.Counter // bytes of packets sent to other entries
	pulls    tally.Counter // pulls from other entries
	waits    tally.Counter // requests that waited for newer store data
	reads    [duties]tally.Counter
	failed   [duties]tally.Counter // reads without a response of the store
	config   tally.Gauge           // version in force
	age      [duties]tally.Gauge   // seconds since the store confirmed the data
	live     tally.Gauge           // live entries
	targets  tally.Gauge
	marks    tally.Gauge // evacuated failure domains
}

func newInstruments(entry string) instruments {
	m := metrics.New(entry)
	i := instruments{
		Metrics: m, restores: m.Scope.Counter("store_restores"), packets: m.Scope.Counter("packets"), sent: m.Scope.Counter("packet_bytes"), pulls: m.Scope.Counter("pulls"),
		waits:  m.Scope.Counter("waits_for_knowledge"),
		config: m.Scope.Gauge("config_version"), live: m.Scope.Gauge("live_entries"), targets: m.Scope.Gauge("targets"),
		marks: m.Scope.Gauge("evacuated_places"),
	}
	for d, name := range dutyNames {
		s := m.Scope.Tagged(map[string]string{"kind": name})
		i.reads[d], i.failed[d] = s.Counter("store_reads"), s.Counter("store_reads_failed")
		i.age[d] = s.Gauge("knowledge_age_seconds")
	}
	return i
}

// serviceInstruments are the metrics of one service.
type serviceInstruments struct {
	latency  tally.Histogram                   // of forwarded responses
	answered tally.Counter                     // requests with a forwarded response
	final    func(reason string) tally.Counter // error responses of this entry
	refused  map[slot.Reason]tally.Counter     // refusals of the balancer
	sent     tally.Counter
	again    func(why string) tally.Counter // retries and hedges
	denied   tally.Counter                  // requests without a retry or hedge for lack of budget
	saved    tally.Gauge                    // retries and hedges that the budget has saved up
	burst    tally.Gauge                    // the most that it may save up in each bucket
	crashes  tally.Counter                  // dispatches during which the target may have crashed
	pauses   tally.Counter                  // responses in which a target asked for a pause
	asked    tally.Counter
	failures tally.Counter // dispatches without a valid response
}

// service creates the metrics of a service.
func (i instruments) service(name string) serviceInstruments {
	s := i.Scope.Tagged(map[string]string{"service": name})
	si := serviceInstruments{
		latency: s.Histogram("latency", metrics.LatencyBuckets), answered: s.Counter("answered"),
		sent: s.Counter("dispatches"), asked: s.Counter("load_questions"),
		denied: s.Counter("repeats_denied"), saved: s.Gauge("repeats_saved"), burst: s.Gauge("repeats_burst"),
		crashes: s.Counter("crashes"), pauses: s.Counter("pauses"),
		failures: s.Counter("dispatches_failed"), refused: make(map[slot.Reason]tally.Counter),
	}
	for _, r := range []slot.Reason{slot.Full, slot.NoTarget, slot.Cold, slot.Paused, slot.Limited} {
		si.refused[r] = s.Tagged(map[string]string{"reason": r.String()}).Counter("refusals")
	}
	si.again = func(why string) tally.Counter {
		return s.Tagged(map[string]string{"reason": why}).Counter("repeats")
	}
	si.final = func(reason string) tally.Counter {
		return s.Tagged(map[string]string{"reason": reason}).Counter("final_answers")
	}
	return si
}

// updateGauges sets the gauges from the control loop's state.
func (c *control) report(now time.Time) {
	i := &c.gateway.instruments
	i.config.Update(float64(c.config.Version))
	i.live.Update(float64(len(c.live())))
	i.targets.Update(float64(c.targets.Len()))
	i.marks.Update(float64(c.evacuations.Len()))
	for _, s := range c.services {
		s.counts.saved.Update(s.budget.Available())
		s.counts.burst.Update(float64(c.shared.burst))
	}
	for d := range duties {
		i.age[d].Update(c.age(now, d).Seconds())
	}
}
