package entry

import (
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/internal/alarm"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/probe"
	"plumpitch.example/plumpitch/pkg/tree"
)

// service is the traffic side of one service: its balancer, which is guarded by a
// lock, and the requests that wait for a decision. The lock is held for one
// decision at a time, a few microseconds.
type service struct {
	name            string
	metrics         serviceMetrics
	policy          atomic.Pointer[tree.Policy]
	retryBudget     atomic.Pointer[call.Budget] // of retries and hedges; nil allows none
	probe           func(s *service, a pool.Action)
	announceLeaving func(target string, boot uint64)

	mu          sync.Mutex
	probeBudget *probe.Budget // shared with the balancer
	probeConfig probe.Config  // of the probe budget
	balancer    pool.Balancer
	retired     []pool.Balancer // replaced balancers that still have requests
	pending     map[uint64]chan pool.Action
	targetList  []pool.Target
	scratch     []pool.Action
	lastID      uint64       // id of the last request
	alarm       *alarm.Alarm // for the balancers' ticks
	closed      bool
}

// retiredTickPeriod is how often replaced balancers are ticked.
const retiredTickPeriod = 2 * time.Millisecond

// serviceConfig configures a service.
type serviceConfig struct {
	Name            string
	Policy          tree.Policy
	Metrics         serviceMetrics
	Probe           func(s *service, a pool.Action)
	AnnounceLeaving func(target string, boot uint64)
}

func newService(cfg serviceConfig) (s *service, err error) {
	s = &service{
		name:            cfg.Name,
		metrics:         cfg.Metrics,
		probe:           cfg.Probe,
		announceLeaving: cfg.AnnounceLeaving,
		pending:         make(map[uint64]chan pool.Action),
	}
	s.policy.Store(&cfg.Policy)
	s.retryBudget.Store(newRetryBudget(cfg.Policy))
	s.probeBudget = probe.New(probe.Config{})
	s.balancer, err = newBalancer(cfg.Policy, s.probeBudget)
	s.alarm = alarm.New(s.tick)
	return s, err
}

// newBalancer returns a balancer of the type that the policy names.
func newBalancer(p tree.Policy, budget *probe.Budget) (b pool.Balancer, err error) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	cfg := poolConfig(p)
	cfg.ProbeBudget = budget
	return pool.NewBalancer(p.Policy, cfg, rng)
}

// newRetryBudget returns the budget of retries and hedges, or nil if the policy
// allows none.
func newRetryBudget(p tree.Policy) *call.Budget {
	if p.RetryShare == 0 {
		return nil
	}
	return call.NewBudget(call.BudgetConfig{RetryShare: p.RetryShare})
}

func poolConfig(p tree.Policy) pool.Config {
	return pool.Config{
		DefaultSlots:    p.Slots,
		MaxQueue:        p.Queue,
		MaxWait:         p.MaxWait,
		MaxEjectedShare: p.MaxEjectedShare,
		LeavingHold:     p.LeaveHold,
		TrialMin:        p.TrialMin,
		TrialMax:        p.TrialMax,
		WarmupRequests:  p.WarmupRequests,
		ProbeAfter:      p.ProbeAfter,
	}
}

// configure puts a new policy in force. It replaces the balancer only if its
// type or limits change. Requests stay with the balancer that received them, and
// the new one inherits its leaving notices.
func (s *service) configure(now time.Time, p tree.Policy) (err error) {
	old := *s.policy.Load()
	s.policy.Store(&p)
	if p.RetryShare != old.RetryShare {
		s.retryBudget.Store(newRetryBudget(p))
	}
	if p.Policy == old.Policy && reflect.DeepEqual(poolConfig(p), poolConfig(old)) {
		return nil
	}
	b, err := newBalancer(p, s.probeBudget)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	notices := s.balancer.LeavingNotices(now)
	s.retired = append(s.retired, s.balancer)
	s.balancer = b
	for _, n := range notices {
		s.perform(now, b.MarkLeaving(now, n.Target, n.Boot, s.scratch[:0]))
	}
	s.perform(now, b.SetTargets(now, s.targetList, s.scratch[:0]))
	return nil
}

// setTargets replaces the list of the service's targets.
func (s *service) setTargets(now time.Time, list []pool.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetList = list
	s.perform(now, s.balancer.SetTargets(now, list, s.scratch[:0]))
}

// otherTargets returns the addresses of at most n targets, drawn at random, without that at one address.
func (s *service) otherTargets(addr string, n int) (list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range rand.Perm(len(s.targetList)) {
		if t := s.targetList[i]; t.Addr != addr && len(list) < n {
			list = append(list, t.Addr)
		}
	}
	return list
}

// markLeaving notes that an incarnation of a target is leaving.
func (s *service) markLeaving(now time.Time, target string, boot uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(now, s.balancer.MarkLeaving(now, target, boot, s.scratch[:0]))
}

// ticket identifies a request at the balancer: its place in the queue, and its
// slot once it is dispatched.
type ticket struct {
	service  *service
	balancer pool.Balancer // that received the request
	id       uint64
	decision chan pool.Action // receives one Dispatch or Refuse
}

// acquire submits a request to the balancer. The decision may be available when
// it returns.
func (s *service) acquire(now time.Time, a pool.Arrival) ticket {
	t := ticket{service: s, decision: make(chan pool.Action, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	a.ID = s.lastID
	t.id, t.balancer = a.ID, s.balancer
	s.pending[a.ID] = t.decision
	s.perform(now, s.balancer.Submit(now, a, s.scratch[:0]))
	return t
}

// cancel withdraws the request, whether it is queued or dispatched.
func (t ticket) cancel(now time.Time) {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, t.id)
	s.perform(now, t.balancer.Cancel(now, t.id, s.scratch[:0]))
}

// done reports the outcome of a dispatched request and frees its slot.
func (t ticket) done(now time.Time, outcome pool.Outcome, load pool.Load) {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(now, t.balancer.Done(now, pool.Completion{ID: t.id, Outcome: outcome, Load: load}, s.scratch[:0]))
}

// perform executes the balancer's actions. The caller holds the lock, so nothing
// here may block.
func (s *service) perform(now time.Time, actions []pool.Action) {
	for _, a := range actions {
		switch a.Kind {
		case pool.Dispatch, pool.Refuse:
			if decision, ok := s.pending[a.ID]; ok {
				delete(s.pending, a.ID)
				decision <- a
			}
		case pool.Probe:
			go s.probe(s, a)
		case pool.NoteLeaving:
			go s.announceLeaving(a.Target, a.Boot)
		}
	}
	s.scratch = actions[:0]
	s.scheduleTick(now)
}

// scheduleTick sets the alarm to the next tick that a balancer needs.
func (s *service) scheduleTick(now time.Time) {
	next := s.balancer.NextTick()
	if len(s.retired) > 0 {
		next = now.Add(retiredTickPeriod)
	}
	if s.closed {
		return
	}
	s.alarm.Set(now, next)
}

func (s *service) tick() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.alarm.Fired()
	s.perform(now, s.balancer.Tick(now, s.scratch[:0]))
	s.tickRetired(now)
}

// tickRetired ticks the replaced balancers and drops those that have no requests
// left.
func (s *service) tickRetired(now time.Time) {
	kept := s.retired[:0]
	for _, b := range s.retired {
		s.perform(now, b.Tick(now, s.scratch[:0]))
		if queued, inFlight := b.RequestCounts(); queued+inFlight > 0 {
			kept = append(kept, b)
		}
	}
	s.retired = kept
}

// probeDone passes the result of a probe to the balancer.
func (s *service) probeDone(now time.Time, p pool.ProbeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(now, s.balancer.ProbeDone(now, p, s.scratch[:0]))
}

// close stops the alarm. Requests in flight end as usual.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.alarm.Stop()
}
