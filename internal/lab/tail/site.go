package tail

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/pool/heap"
	"plumpitch.example/plumpitch/pkg/probe"
)

// request is one caller's request. Its arrival and its service time depend on the
// seed and the load only, so that all policies get the same requests.
type request struct {
	at     int64 // at the entry, in nanoseconds of virtual time
	entry  int32
	demand float64 // nanoseconds, on a worker without faults
	try    int32   // 0 for the first dispatch
	over   bool
	write  bool // not idempotent
}

// simulator simulates one service, its entries and its callers in virtual time.
type site struct {
	sc       scenario
	now      int64 // nanoseconds since the start of the run
	seq      uint64
	events   heap.Heap[event]
	workers  []worker
	entries  []entry
	requests []request
	stat     *stats
	open     int // requests that have not ended
}

// epoch is the wall-clock time at the start of a run.
var epoch = time.Unix(0, 0)

// schedule adds an event at the given virtual time.
func (s *site) at(when int64, e event) {
	e.at, e.seq = when, s.seq
	s.seq++
	s.events.Push(e)
}

func newSite(sc scenario) (s *site, err error) {
	s = &site{sc: sc, stat: newStats(sc.shape.Workers)}
	s.workers = make([]worker, sc.shape.Workers)
	for i := range s.workers {
		s.workers[i] = worker{factor: 1, boot: 1}
	}
	s.draw()
	if err = s.addEntries(); err != nil {
		return nil, err
	}
	for i, f := range sc.faults {
		s.at(int64(f.from), event{kind: faultOn, where: int32(i)})
		s.at(int64(f.to), event{kind: faultOff, where: int32(i)})
	}
	return s, nil
}

// generateRequests draws the requests: Poisson arrivals, lognormal service times.
func (s *site) draw() {
	rnd, writeRnd := rand.New(rand.NewPCG(s.sc.seed, 1)), rand.New(rand.NewPCG(s.sc.seed, 1<<32))
	shape := s.sc.shape
	mu := math.Log(float64(shape.Service)) - shape.Sigma*shape.Sigma/2
	at := 0.0
	s.requests = make([]request, s.sc.requests)
	for i := range s.requests {
		at += rnd.ExpFloat64() / s.rate(at) * float64(time.Second)
		s.requests[i] = request{at: int64(at), entry: s.meet(rnd), demand: math.Exp(mu + shape.Sigma*rnd.NormFloat64())}
		s.requests[i].write = writeRnd.Float64() < s.sc.writes
		s.at(int64(at), event{kind: atEntry, job: job{request: int32(i)}})
	}
	s.stat.until = int64(at)
}

// arrivalRate returns the arrivals per second at the given virtual time. A swing
// is a square wave.
func (s *site) rate(at float64) float64 {
	rate := s.sc.load * s.sc.shape.capacity()
	if s.sc.swing > 1 && math.Mod(at, float64(s.sc.period)) < float64(s.sc.period)/2 {
		rate /= s.sc.swing
	}
	return rate
}

// chooseEntry draws the entry that a caller uses according to its resolve response.
// It draws the same number of random values in each case, so that the rest of the
// requests doesn't depend on the case.
func (s *site) meet(rnd *rand.Rand) int32 {
	anyEntry, owner, stray := rnd.IntN(s.sc.shape.Entries), rnd.Float64(), rnd.Float64() < s.sc.stray
	switch {
	case s.sc.owners == 0 || stray:
		return int32(anyEntry)
	case s.sc.even:
		return int32(owner * float64(s.sc.owners))
	}
	return 0
}

func (s *site) addEntries() (err error) {
	s.entries = make([]entry, s.sc.shape.Entries)
	for i := range s.entries {
		e := &s.entries[i]
		e.idle = make([]int, len(s.workers))
		cfg := s.sc.tweak.apply(pool.Config{DefaultSlots: s.sc.shape.Slots})
		cfg.ProbeBudget = s.share(i)
		if e.pool, err = pool.NewBalancer(s.sc.policy, cfg, rand.New(rand.NewPCG(s.sc.seed, uint64(2+i)))); err != nil {
			return err
		}
		s.do(int32(i), e.pool.SetTargets(epoch, s.list(), nil))
		if len(s.sc.faults) > 0 {
			s.at(int64(time.Second)+int64(i), event{kind: listRead, where: int32(i)})
		}
		if s.sc.every > 0 {
			s.at(int64(s.sc.every)*int64(i)/int64(len(s.entries)), event{kind: periodic, where: int32(i)})
		}
	}
	return nil
}

// newProbeBudget returns the part of the probe budget that one entry may spend, or
// nil if the entry sends no probes.
func (s *site) share(entry int) *probe.Budget {
	owners := s.sc.owners
	if owners == 0 {
		owners = s.sc.shape.Entries
	}
	if s.sc.budget == 0 || entry >= owners {
		return nil
	}
	const window = 100 * time.Millisecond
	slots := float64(s.sc.shape.Workers * s.sc.shape.Slots)
	b := probe.New(probe.Config{
		Window: window,
		Budget: time.Duration(s.sc.budget * slots * float64(window)),
		Cost:   s.sc.shape.Probe,
	})
	b.SetShare(epoch, probe.Share{Rank: entry, Count: owners})
	return b
}

// targetList returns the targets as the VM list shows them now. A leaving worker
// is shown as leaving only after listDelay.
func (s *site) list() (targets []pool.Target) {
	for i := range s.workers {
		w := &s.workers[i]
		t := pool.Target{ID: strconv.Itoa(i), Boot: w.boot}
		if w.leaving && s.now-w.told > int64(s.sc.listLag) {
			t.State = pool.Leaving
		}
		targets = append(targets, t)
	}
	return targets
}

// run processes events until every request has ended.
func (s *site) run() *stats {
	s.open = len(s.requests)
	for s.open > 0 && s.events.Len() > 0 {
		e := s.events.Pop()
		s.now = e.at
		s.step(e)
	}
	return s.stat
}

func (s *site) step(e event) {
	switch e.kind {
	case atEntry:
		s.arrive(e.job)
	case atTarget:
		s.reach(e.job)
	case finished:
		s.finish(e)
	case answered:
		s.answer(e.job)
	case ticked:
		s.tick(e)
	case faultOn, faultOff:
		s.fault(s.sc.faults[e.where], e.kind == faultOn)
	case listRead:
		s.do(e.where, s.entries[e.where].pool.SetTargets(s.time(), s.list(), nil))
		s.at(s.now+int64(time.Second), e)
	case periodic:
		for i := range s.workers {
			s.probe(e.where, int32(i))
		}
		s.at(s.now+int64(s.sc.every), e)
	}
}

func (s *site) time() time.Time { return epoch.Add(time.Duration(s.now)) }
