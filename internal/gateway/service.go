package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/alarm"
	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/quota"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// service owns the balancer of one service and executes its decisions.
type service struct {
	gateway     *Gateway
	created     time.Time
	budget      *call.Budget
	instruments serviceInstruments
	// firstDispatches measures the requests that are dispatched to a target.
	firstDispatches rate
	answers         lastAnswers
	signs           contactSigns
	lost            atomic.Bool // this entry is cut off from the targets; set by the control loop
	durations       durations

	mu           sync.Mutex
	config       route.Service
	balancer     *slot.Balancer
	pending      map[uint64]chan<- slot.Action
	lastID       uint64
	senders      []string     // names of the entries that send requests to this service
	limitsProbes bool         // overload control is on, and the settings' bound on probes applies
	alarm        *alarm.Alarm // for the balancer's next timer
}

// probeTimeout bounds a load probe. The choice of a target does not wait that long for
// it, but aborting the probe earlier would close its connection.
const probeTimeout = time.Second

func newService(now time.Time, g *Gateway, s route.Service) *service {
	sv := &service{
		gateway: g, created: now, config: s, instruments: g.instruments.service(s.Name), pending: make(map[uint64]chan<- slot.Action),
		balancer: slot.New(slot.Config{Place: g.self.Place}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budget:   retryBudget(*g.bounds.Load(), rand.Float64),
	}
	sv.alarm = alarm.New(sv.tick)
	return sv
}

// hedgeTimeFactor is the time reserved for a hedge, as a multiple of the baseline service
// time.
const hedgeTimeFactor = 1.4

// hedgeDelay returns how long a request of a class waits for a response before it is also
// sent to a second target. It is the latest time at which a target that is not slow can
// still respond within the time left for the objective, and never earlier than the
// baseline service time.
func (s *service) hedgeDelay(class string, left time.Duration) time.Duration {
	baseline := s.serviceTime(class)
	return max(left-time.Duration(hedgeTimeFactor*float64(baseline)), baseline)
}

// serviceTime returns the baseline service time of a class.
func (s *service) serviceTime(class string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.ServiceTime(class)
}

// retryAfter returns when a caller may retry a request that its targets refused.
func (s *service) retryAfter(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RetryAfter(now)
}

// configure applies the service's configuration and the bounds in force. accounts is whether
// the configuration has client accounts.
func (s *service) configure(now time.Time, cfg route.Service, accounts bool) {
	b := s.gateway.bounds.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = cfg
	s.limitsProbes = accounts || b.OverloadControl
	s.balancer.SetOverloadControl(now, s.limitsProbes)
	s.updateProbeLimit(now)
	s.balancer.SetWarmup(now, slot.Warmup{Bound: quota.NewColdBound(cfg.WarmupRate, b.WarmupFactor, b.WarmupSlack), Duration: cfg.WarmupTime})
}

// setTargets replaces the list of targets.
func (s *service) setTargets(now time.Time, list []slot.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(now, s.balancer.SetTargets(now, list, nil))
	s.updateProbeLimit(now)
}

// probeLimitShare is the part of the probes that the settings allow which all entries
// together send. The rest is for entries whose views of the senders differ.
const probeLimitShare = 0.8

// probeBurstTime is the time whose probes may be sent at once, after a pause.
const probeBurstTime = 500 * time.Millisecond

// updateProbeLimit sets this entry's part of the probes of the service's targets. The caller
// holds the lock.
func (s *service) updateProbeLimit(now time.Time) {
	rate := s.gateway.bounds.Load().ProbeRate
	if rate <= 0 || !s.limitsProbes {
		s.balancer.SetProbeLimit(now, 0, 0)
		return
	}
	perSecond := probeLimitShare * rate * float64(s.balancer.NumTargets()) / float64(max(len(s.senders), 1))
	s.balancer.SetProbeLimit(now, perSecond, perSecond*probeBurstTime.Seconds())
}

// active reports whether any request is pending or in flight. A request in flight may
// still need another target.
func (s *service) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending, inFlight := s.balancer.RequestCounts()
	return pending+inFlight > 0
}

// name returns the name of the service.
func (s *service) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Name
}

// healthPath returns the path of the targets' health checks.
func (s *service) healthPath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.HealthPath
}

// answeredSince reports whether a target other than this one has answered since a time.
func (s *service) answeredSince(target string, since time.Time) bool {
	return s.answers.otherSince(target, since)
}

// restarted reports whether a target runs again under its ID.
func (s *service) restarted(t slot.Target) bool {
	return slices.ContainsFunc(s.targetList(), func(now slot.Target) bool {
		return now.ID == t.ID && now.Incarnation() != t.Incarnation()
	})
}

// targetCount returns the number of targets.
func (s *service) targetCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.NumTargets()
}

// acquire asks the balancer for a target. The decision, a target or a refusal, is sent to
// the decision channel, which must have room for it.
func (s *service) acquire(now time.Time, r slot.Request, decision chan<- slot.Action) (id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	r.ID = s.lastID
	s.pending[r.ID] = decision
	s.perform(now, s.balancer.Submit(now, r, nil))
	return r.ID
}

// cancel withdraws a request that is pending or in flight.
func (s *service) cancel(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
	s.perform(now, s.balancer.Cancel(now, id, nil))
}

// complete records how a dispatched request ended.
func (s *service) complete(now time.Time, completion slot.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(now, s.balancer.Done(now, completion, nil))
}

// perform executes the balancer's actions. The caller holds the lock, so perform must not
// block.
func (s *service) perform(now time.Time, actions []slot.Action) {
	for _, a := range actions {
		switch a.Kind {
		case slot.Dispatch, slot.Refuse:
			if a.Kind == slot.Refuse {
				s.instruments.refusals[a.Reason].Inc(1)
			}
			if decision, ok := s.pending[a.ID]; ok {
				delete(s.pending, a.ID)
				decision <- a
			}
		case slot.SendProbe:
			s.instruments.loadProbes.Inc(1)
			s.signs.asked.Add(1)
			go s.probe(a, s.config.HealthPath)
		case slot.NoteEjected:
			s.gateway.log.WithFields(log.Fields{"service": s.config.Name, "target": a.Target.ID}).Warn("target is out, it fails what it is sent")
		case slot.NoteReadmitted:
			s.gateway.log.WithFields(log.Fields{"service": s.config.Name, "target": a.Target.ID}).Info("target readmitted")
		case slot.NoteLeaving:
			s.gateway.log.WithFields(log.Fields{"service": s.config.Name, "target": a.Target.ID}).Info("target says that it leaves")
		case slot.NoteLimit:
			s.logLimit(a)
		case slot.NotePause:
			s.instruments.pauses.Inc(1)
			s.gateway.log.WithFields(log.Fields{
				"service": s.config.Name, "target": a.Target.ID, "for": a.RetryAfter.Milliseconds(),
			}).Info("target wants nothing")
		}
	}
	s.alarm.Set(now, s.balancer.NextTick())
}

func (s *service) logLimit(a slot.Action) {
	logger := s.gateway.log.WithFields(log.Fields{"service": s.config.Name, "target": a.Target.ID})
	if !a.HasLimit {
		logger.Info("target names no limit any more")
		return
	}
	logger.WithField("rate", a.Rate).Info("target names a limit")
}

// tick runs the balancer's timer.
func (s *service) tick() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alarm.Fired()
	s.perform(now, s.balancer.Tick(now, nil))
}

// strayHealth labels responses to health checks that aren't identified, among stray responses.
const strayHealth = "health"

// probe asks a target for its load and passes the result to the balancer.
func (s *service) probe(a slot.Action, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	status, header, err := s.gateway.probe(ctx, a.Target.Address, path)
	result := slot.ProbeResult{Target: a.Target.ID}
	s.signs.done.Add(1)
	switch {
	case err == nil:
		s.signs.noteHeard(a.Target.ID)
	case errors.Is(err, forward.ErrUnidentified):
		s.instruments.strayResponses(strayHealth).Inc(1)
	case isUnreachable(err) || errors.Is(err, syscall.ECONNREFUSED):
		s.noteUnreachable(a.Target.ID)
	}
	if err == nil && platform.InstanceID(header) == a.Target.ID {
		result.Healthy = status == http.StatusOK
		result.Report = s.gateway.parseReport(a.Target.ID, status, header)
		cold, err := platform.WarmupRemaining(header)
		result.ColdFor, result.ColdKnown = cold, err == nil
		if err != nil {
			s.gateway.parseErrors.Header(time.Now(), a.Target.ID, err)
		}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(now, s.balancer.ProbeDone(now, result, nil))
}
