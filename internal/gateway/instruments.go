package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/internal/metrics"
	"plumpitch.example/plumpitch/pkg/slot"
)

// instruments are the counters of the whole process, made once so that the
// request path looks nothing up.
type instruments struct {
	metrics.Metrics
	restores tally.Counter // of the store from a copy
	packets  tally.Counter // heard from other entries
	sent     tally.Counter // bytes of packets to other entries
	pulls    tally.Counter // asked of other entries
	waits    tally.Counter // requests that waited for newer knowledge
	reads    [duties]tally.Counter
	failed   [duties]tally.Counter // reads that the store didn't answer
	config   tally.Gauge           // version in force
	age      [duties]tally.Gauge   // seconds since the store confirmed what is known
	live     tally.Gauge           // entries known to be up
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

// serviceInstruments are the instruments of one service.
type serviceInstruments struct {
	latency  tally.Histogram // of answers that targets gave
	answered tally.Counter
	final    func(reason string) tally.Counter // answers in place of a target's
	refused  map[slot.Reason]tally.Counter     // by the book
	sent     tally.Counter
	again    func(why string) tally.Counter // sent after the first time: retries and hedges
	denied   tally.Counter                  // requests that weren't sent again for want of budget
	saved    tally.Gauge                    // repeats that the budget has
	burst    tally.Gauge                    // and may have in each of its buckets
	crashes  tally.Counter                  // targets that ended under a request
	pauses   tally.Counter                  // responses of targets that want nothing for a time
	asked    tally.Counter
	failures tally.Counter // dispatches without an answer
}

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

// report sets the gauges of the control loop's state.
func (c *control) report(now time.Time) {
	i := &c.gateway.instruments
	i.config.Update(float64(c.config.Version))
	i.live.Update(float64(len(c.live())))
	i.targets.Update(float64(c.targets.Len()))
	i.marks.Update(float64(c.evacuations.Len()))
	for _, s := range c.services {
		s.counts.saved.Update(s.budget.Saved())
		s.counts.burst.Update(float64(c.shared.burst))
	}
	for d := range duties {
		i.age[d].Update(c.age(now, d).Seconds())
	}
}
