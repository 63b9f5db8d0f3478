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
	arrival       int64 // at the entry, in nanoseconds of virtual time
	entry         int32
	serviceTime   float64 // nanoseconds, on a worker without faults
	dispatchIndex int32   // 0 for the first dispatch
	ended         bool
	write         bool // not idempotent
}

// simulator simulates one service, its entries and its callers in virtual time.
type simulator struct {
	sc           scenario
	now          int64 // nanoseconds since the start of the run
	nextSeq      uint64
	events       heap.Heap[event]
	workers      []worker
	entries      []entry
	requests     []request
	stats        *stats
	openRequests int // requests that have not ended
}

// timeOrigin is the time.Time at which the virtual time starts.
var timeOrigin = time.Unix(0, 0)

// schedule adds an event at the given virtual time.
func (s *simulator) schedule(when int64, e event) {
	e.at, e.seq = when, s.nextSeq
	s.nextSeq++
	s.events.Push(e)
}

func newSimulator(sc scenario) (s *simulator, err error) {
	s = &simulator{sc: sc, stats: newStats(sc.shape.Workers)}
	s.workers = make([]worker, sc.shape.Workers)
	for i := range s.workers {
		s.workers[i] = worker{slowdown: 1, boot: 1}
	}
	s.generateRequests()
	if err = s.addEntries(); err != nil {
		return nil, err
	}
	for i, f := range sc.faults {
		s.schedule(int64(f.from), event{kind: faultStart, index: int32(i)})
		s.schedule(int64(f.to), event{kind: faultEnd, index: int32(i)})
	}
	return s, nil
}

// generateRequests draws the requests: Poisson arrivals, lognormal service times.
func (s *simulator) generateRequests() {
	rnd, writeRnd := rand.New(rand.NewPCG(s.sc.seed, 1)), rand.New(rand.NewPCG(s.sc.seed, 1<<32))
	shape := s.sc.shape
	mu := math.Log(float64(shape.ServiceTime)) - shape.Sigma*shape.Sigma/2
	at := 0.0
	s.requests = make([]request, s.sc.requests)
	for i := range s.requests {
		at += rnd.ExpFloat64() / s.arrivalRate(at) * float64(time.Second)
		s.requests[i] = request{arrival: int64(at), entry: s.chooseEntry(rnd), serviceTime: math.Exp(mu + shape.Sigma*rnd.NormFloat64())}
		s.requests[i].write = writeRnd.Float64() < s.sc.writeShare
		s.schedule(int64(at), event{kind: entryArrival, job: job{request: int32(i)}})
	}
	s.stats.lastArrival = int64(at)
}

// arrivalRate returns the arrivals per second at the given virtual time. A swing
// is a square wave.
func (s *simulator) arrivalRate(at float64) float64 {
	rate := s.sc.load * s.sc.shape.capacity()
	if s.sc.swingFactor > 1 && math.Mod(at, float64(s.sc.swingPeriod)) < float64(s.sc.swingPeriod)/2 {
		rate /= s.sc.swingFactor
	}
	return rate
}

// chooseEntry draws the entry that a caller uses according to its resolve response.
// It draws the same number of random values in each case, so that the rest of the
// requests doesn't depend on the case.
func (s *simulator) chooseEntry(rnd *rand.Rand) int32 {
	anyEntry, owner, stray := rnd.IntN(s.sc.shape.Entries), rnd.Float64(), rnd.Float64() < s.sc.strayShare
	switch {
	case s.sc.owners == 0 || stray:
		return int32(anyEntry)
	case s.sc.evenOwners:
		return int32(owner * float64(s.sc.owners))
	}
	return 0
}

func (s *simulator) addEntries() (err error) {
	s.entries = make([]entry, s.sc.shape.Entries)
	for i := range s.entries {
		e := &s.entries[i]
		e.idleConns = make([]int, len(s.workers))
		cfg := s.sc.poolOverride.apply(pool.Config{DefaultSlots: s.sc.shape.Slots})
		cfg.ProbeBudget = s.newProbeBudget(i)
		if e.pool, err = pool.NewBalancer(s.sc.policy, cfg, rand.New(rand.NewPCG(s.sc.seed, uint64(2+i)))); err != nil {
			return err
		}
		s.execute(int32(i), e.pool.SetTargets(timeOrigin, s.targetList(), nil))
		if len(s.sc.faults) > 0 {
			s.schedule(int64(time.Second)+int64(i), event{kind: targetListRead, index: int32(i)})
		}
		if s.sc.probeInterval > 0 {
			s.schedule(int64(s.sc.probeInterval)*int64(i)/int64(len(s.entries)), event{kind: periodicProbes, index: int32(i)})
		}
	}
	return nil
}

// newProbeBudget returns the part of the probe budget that one entry may spend, or
// nil if the entry sends no probes.
func (s *simulator) newProbeBudget(entry int) *probe.Budget {
	owners := s.sc.owners
	if owners == 0 {
		owners = s.sc.shape.Entries
	}
	if s.sc.probeShare == 0 || entry >= owners {
		return nil
	}
	const window = 100 * time.Millisecond
	slots := float64(s.sc.shape.Workers * s.sc.shape.Slots)
	b := probe.New(probe.Config{
		Window: window,
		Budget: time.Duration(s.sc.probeShare * slots * float64(window)),
		Cost:   s.sc.shape.ProbeTime,
	})
	b.SetShare(timeOrigin, probe.Share{Rank: entry, Count: owners})
	return b
}

// targetList returns the targets as the VM list shows them now. A leaving worker
// is shown as leaving only after listDelay.
func (s *simulator) targetList() (targets []pool.Target) {
	for i := range s.workers {
		w := &s.workers[i]
		t := pool.Target{ID: strconv.Itoa(i), Boot: w.boot}
		if w.leaving && s.now-w.leavingSince > int64(s.sc.listDelay) {
			t.State = pool.Leaving
		}
		targets = append(targets, t)
	}
	return targets
}

// run processes events until every request has ended.
func (s *simulator) run() *stats {
	s.openRequests = len(s.requests)
	for s.openRequests > 0 && s.events.Len() > 0 {
		e := s.events.Pop()
		s.now = e.at
		s.handleEvent(e)
	}
	return s.stats
}

func (s *simulator) handleEvent(e event) {
	switch e.kind {
	case entryArrival:
		s.handleArrival(e.job)
	case workerArrival:
		s.arriveAtWorker(e.job)
	case jobFinished:
		s.finishJob(e)
	case responseArrival:
		s.receiveResponse(e.job)
	case tickDue:
		s.runTick(e)
	case faultStart, faultEnd:
		s.applyFault(s.sc.faults[e.index], e.kind == faultStart)
	case targetListRead:
		s.execute(e.index, s.entries[e.index].pool.SetTargets(s.time(), s.targetList(), nil))
		s.schedule(s.now+int64(time.Second), e)
	case periodicProbes:
		for i := range s.workers {
			s.sendProbe(e.index, int32(i))
		}
		s.schedule(s.now+int64(s.sc.probeInterval), e)
	}
}

func (s *simulator) time() time.Time { return timeOrigin.Add(time.Duration(s.now)) }
