package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/alarm"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/quota"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// service owns the balancer of one service and executes its decisions.
type service struct {
	gateway *Gateway
	budget  *call.Budget
	counts  serviceInstruments

	mu      sync.Mutex
	is      route.Service
	book    *slot.Book
	waiting map[uint64]chan<- slot.Action
	last    uint64
	senders []string     // names of the entries that send requests to this service
	alarm   *alarm.Alarm // for the balancer's next timer
}

// probeTimeout bounds a load probe. The choice of a target does not wait that long for
// it, but aborting the probe earlier would close its connection.
const askGrace = time.Second

func newService(g *Gateway, s route.Service) *service {
	sv := &service{
		gateway: g, is: s, counts: g.instruments.service(s.Name), waiting: make(map[uint64]chan<- slot.Action),
		book:   slot.New(slot.Config{Place: g.self.Place}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budget: retryBudget(*g.bounds.Load()),
	}
	sv.alarm = alarm.New(sv.tick)
	return sv
}

// hedgeTimeFactor is the time reserved for a hedge, as a multiple of the baseline service
// time.
const hedgeReserve = 1.4

// hedgeDelay returns how long a request of a class waits for a response before it is also
// sent to a second target. It is the latest time at which a target that is not slow can
// still respond within the time left for the objective, and never earlier than the
// baseline service time.
func (s *service) hedge(class string, left time.Duration) time.Duration {
	s.mu.Lock()
	baseline := s.book.Usual(class)
	s.mu.Unlock()
	return max(left-time.Duration(hedgeReserve*float64(baseline)), baseline)
}

// retryAfter returns when a caller may retry a request that its targets refused.
func (s *service) back(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Back(now)
}

// configure applies the service's configuration and the bounds in force.
func (s *service) configure(now time.Time, cfg route.Service) {
	b := s.gateway.bounds.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.is = cfg
	s.book.Warmup(now, slot.Warmup{Bound: quota.NewColdBound(cfg.WarmRate, b.WarmFactor, b.WarmSlack), Time: cfg.Warmup})
}

// setTargets replaces the list of targets.
func (s *service) take(now time.Time, list []slot.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(now, s.book.Targets(now, list, nil))
}

// active reports whether any request is pending or in flight. A request in flight may
// still need another target.
func (s *service) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending, inFlight := s.book.Len()
	return pending+inFlight > 0
}

// targetCount returns the number of targets.
func (s *service) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Size()
}

// acquire asks the balancer for a target. The decision, a target or a refusal, is sent to
// the decision channel, which must have room for it.
func (s *service) arrive(now time.Time, r slot.Request, decision chan<- slot.Action) (id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	r.ID = s.last
	s.waiting[r.ID] = decision
	s.act(now, s.book.Arrive(now, r, nil))
	return r.ID
}

// cancel withdraws a request that is pending or in flight.
func (s *service) cancel(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.act(now, s.book.Cancel(now, id, nil))
}

// complete records how a dispatched request ended.
func (s *service) done(now time.Time, completion slot.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(now, s.book.Done(now, completion, nil))
}

// perform executes the balancer's actions. The caller holds the lock, so perform must not
// block.
func (s *service) act(now time.Time, actions []slot.Action) {
	for _, a := range actions {
		switch a.Do {
		case slot.Send, slot.Refuse:
			if a.Do == slot.Refuse {
				s.counts.refused[a.Reason].Inc(1)
			}
			if decision, ok := s.waiting[a.ID]; ok {
				delete(s.waiting, a.ID)
				decision <- a
			}
		case slot.Ask:
			s.counts.asked.Inc(1)
			go s.ask(a, s.is.Health)
		case slot.Rest:
			s.gateway.log.WithFields(log.Fields{"service": s.is.Name, "target": a.Target.ID}).Warn("target is out, it fails what it is sent")
		case slot.Back:
			s.gateway.log.WithFields(log.Fields{"service": s.is.Name, "target": a.Target.ID}).Info("target readmitted")
		case slot.Leaves:
			s.gateway.log.WithFields(log.Fields{"service": s.is.Name, "target": a.Target.ID}).Info("target says that it leaves")
		case slot.Limit:
			s.logLimit(a)
		case slot.Pause:
			s.counts.pauses.Inc(1)
			s.gateway.log.WithFields(log.Fields{
				"service": s.is.Name, "target": a.Target.ID, "for": a.Retry.Milliseconds(),
			}).Info("target wants nothing")
		}
	}
	s.alarm.Set(now, s.book.Next())
}

func (s *service) logLimit(a slot.Action) {
	logger := s.gateway.log.WithFields(log.Fields{"service": s.is.Name, "target": a.Target.ID})
	if !a.Named {
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
	s.alarm.Rang()
	s.act(now, s.book.Tick(now, nil))
}

// probe asks a target for its load and passes the result to the balancer.
func (s *service) ask(a slot.Action, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), askGrace)
	defer cancel()
	status, header, err := s.gateway.forward.Ask(ctx, a.Target.Address, path)
	result := slot.Reply{Target: a.Target.ID}
	if err == nil && platform.Instance(header) == a.Target.ID {
		result.Well = status == http.StatusOK
		result.Report = s.gateway.report(a.Target.ID, status, header)
		result.Cold, result.Warmth = platform.Cold(header)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(now, s.book.Replied(now, result, nil))
}
