package tail

import "plumpitch.example/plumpitch/pkg/pool"

// result is the outcome of a job and the load report that comes with it.
type end struct {
	kind    pool.Outcome
	load    int
	leaving bool
}

// worker simulates one target: its slots, its queue and its faults.
type worker struct {
	running []job
	waiting []job
	factor  float64 // multiplies the service time; 1 without a fault
	stalled int64   // virtual time, in nanoseconds
	dead    bool    // refuses connections
	failing bool    // answers each request with an error at once
	leaving bool
	refuses bool
	silent  bool   // is leaving without reporting it
	boot    uint64 // incarnation
	cold    int    // requests until the worker is warmed up
	told    int64  // virtual time of the order to leave, in nanoseconds
}

const (
	coldRequests = 30
	coldFactor   = 4
)

func (s *site) reach(j job) {
	w := &s.workers[j.worker]
	if j.request >= 0 {
		s.stat.reach(j.worker, s.now)
	}
	if w.leaving && j.request >= 0 {
		s.stat.afterDrain(s.now-w.told, !w.refuses)
	}
	switch {
	case w.dead:
		s.reply(j, pool.ConnectFailed)
	case w.failing && j.request >= 0:
		s.reply(j, pool.Failed)
	case w.refuses && j.request >= 0, len(w.waiting) >= s.sc.shape.Backlog:
		s.reply(j, pool.Shed)
	case len(w.running) < s.sc.shape.Slots:
		s.begin(w, j)
	default:
		w.waiting = append(w.waiting, j)
	}
}

func (s *site) begin(w *worker, j job) {
	duration := float64(s.sc.shape.Probe)
	if j.request >= 0 {
		duration = s.requests[j.request].demand
		if w.cold > 0 {
			w.cold--
			duration *= coldFactor
		}
	}
	duration *= w.factor
	j.finish = max(s.now, w.stalled) + int64(duration)
	if j.request < 0 {
		s.stat.probeRan(s.now, j.finish)
	}
	w.running = append(w.running, j)
	s.at(j.finish, event{kind: finished, where: j.worker, job: j})
}

// finishJob completes a job. It ignores the event if a stall has postponed the
// job or a crash has ended it since the event was scheduled.
func (s *site) finish(e event) {
	w := &s.workers[e.where]
	for i := range w.running {
		j := w.running[i]
		if j.request != e.job.request || j.try != e.job.try || j.entry != e.job.entry || j.finish != e.at {
			continue
		}
		w.running = append(w.running[:i], w.running[i+1:]...)
		s.reply(j, pool.Served)
		if len(w.waiting) > 0 {
			next := w.waiting[0]
			w.waiting = w.waiting[:copy(w.waiting, w.waiting[1:])]
			s.begin(w, next)
		}
		return
	}
}

// sendResponse schedules the arrival of the response at the entry. The response
// reports the current load of the worker, including this job.
func (s *site) reply(j job, outcome pool.Outcome) {
	w := &s.workers[j.worker]
	j.end = end{kind: outcome, load: len(w.running) + len(w.waiting) + 1, leaving: w.leaving && !w.silent && !w.refuses}
	s.at(s.now+int64(s.sc.shape.Target), event{kind: answered, where: j.entry, job: j})
}

// stallWorker postpones the running jobs by the length of the stall.
func (s *site) halt(w *worker, until int64) {
	for i := range w.running {
		j := &w.running[i]
		j.finish += until - max(s.now, w.stalled)
		s.at(j.finish, event{kind: finished, where: j.worker, job: *j})
	}
	w.stalled = until
}

func (s *site) crash(w *worker) {
	for _, j := range append(w.running, w.waiting...) {
		s.reply(j, pool.ConnectionLost)
	}
	w.running, w.waiting, w.dead = nil, nil, true
}

// applyFault starts or ends a fault.
func (s *site) fault(f fault, on bool) {
	w := &s.workers[f.worker]
	switch f.kind {
	case slow:
		w.factor = 1
		if on {
			w.factor = f.factor
		}
	case stall:
		if on {
			s.halt(w, int64(f.to))
		}
	case crash:
		if on {
			s.crash(w)
			return
		}
		w.dead, w.cold, w.boot = false, coldRequests, w.boot+1
	case failFast:
		w.failing = on
	case drainWord, drainShed, drainList:
		w.leaving, w.told = on, s.now
		w.refuses, w.silent = f.kind == drainShed, f.kind == drainList
	case restart:
		w.cold, w.boot = coldRequests, w.boot+1
	}
}
