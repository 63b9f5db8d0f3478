package tail

import "plumpitch.example/plumpitch/pkg/pool"

// result is the outcome of a job and the load report that comes with it.
type result struct {
	outcome  pool.Outcome
	inFlight int
	leaving  bool
}

// worker simulates one target: its slots, its queue and its faults.
type worker struct {
	running          []job
	queued           []job
	slowdown         float64 // multiplies the service time; 1 without a fault
	stalledUntil     int64   // virtual time, in nanoseconds
	dead             bool    // refuses connections
	failing          bool    // answers each request with an error at once
	leaving          bool
	shedsNewWork     bool
	leavesSilently   bool   // is leaving without reporting it
	boot             uint64 // incarnation
	coldRequestsLeft int    // requests until the worker is warmed up
	leavingSince     int64  // virtual time of the order to leave, in nanoseconds
}

const (
	coldRequests = 30 // requests that a worker processes slowly after a crash or a restart
	coldSlowdown = 4  // multiplies the service time of these requests
)

func (s *simulator) arriveAtWorker(j job) {
	w := &s.workers[j.worker]
	if j.request >= 0 {
		s.stats.addWorkerArrival(j.worker, s.now)
	}
	if w.leaving && j.request >= 0 {
		s.stats.addDrainArrival(s.now-w.leavingSince, !w.shedsNewWork)
	}
	switch {
	case w.dead:
		s.sendResponse(j, pool.ConnectFailed)
	case w.failing && j.request >= 0:
		s.sendResponse(j, pool.Failed)
	case w.shedsNewWork && j.request >= 0, len(w.queued) >= s.sc.shape.Backlog:
		s.sendResponse(j, pool.Shed)
	case len(w.running) < s.sc.shape.Slots:
		s.startJob(w, j)
	default:
		w.queued = append(w.queued, j)
	}
}

func (s *simulator) startJob(w *worker, j job) {
	duration := float64(s.sc.shape.ProbeTime)
	if j.request >= 0 {
		duration = s.requests[j.request].serviceTime
		if w.coldRequestsLeft > 0 {
			w.coldRequestsLeft--
			duration *= coldSlowdown
		}
	}
	duration *= w.slowdown
	j.finishAt = max(s.now, w.stalledUntil) + int64(duration)
	if j.request < 0 {
		s.stats.addProbe(s.now, j.finishAt)
	}
	w.running = append(w.running, j)
	s.schedule(j.finishAt, event{kind: jobFinished, index: j.worker, job: j})
}

// finishJob completes a job. It ignores the event if a stall has postponed the
// job or a crash has ended it since the event was scheduled.
func (s *simulator) finishJob(e event) {
	w := &s.workers[e.index]
	for i := range w.running {
		j := w.running[i]
		if j.request != e.job.request || j.dispatchIndex != e.job.dispatchIndex || j.entry != e.job.entry || j.finishAt != e.at {
			continue
		}
		w.running = append(w.running[:i], w.running[i+1:]...)
		s.sendResponse(j, pool.Served)
		if len(w.queued) > 0 {
			next := w.queued[0]
			w.queued = w.queued[:copy(w.queued, w.queued[1:])]
			s.startJob(w, next)
		}
		return
	}
}

// sendResponse schedules the arrival of the response at the entry. The response
// reports the current load of the worker, including this job.
func (s *simulator) sendResponse(j job, outcome pool.Outcome) {
	w := &s.workers[j.worker]
	j.result = result{outcome: outcome, inFlight: len(w.running) + len(w.queued) + 1, leaving: w.leaving && !w.leavesSilently && !w.shedsNewWork}
	s.schedule(s.now+int64(s.sc.shape.TargetDelay), event{kind: responseArrival, index: j.entry, job: j})
}

// stallWorker postpones the running jobs by the length of the stall.
func (s *simulator) stallWorker(w *worker, until int64) {
	for i := range w.running {
		j := &w.running[i]
		j.finishAt += until - max(s.now, w.stalledUntil)
		s.schedule(j.finishAt, event{kind: jobFinished, index: j.worker, job: *j})
	}
	w.stalledUntil = until
}

func (s *simulator) crashWorker(w *worker) {
	for _, j := range append(w.running, w.queued...) {
		s.sendResponse(j, pool.ConnectionLost)
	}
	w.running, w.queued, w.dead = nil, nil, true
}

// applyFault starts or ends a fault.
func (s *simulator) applyFault(f fault, on bool) {
	w := &s.workers[f.worker]
	switch f.kind {
	case faultSlow:
		w.slowdown = 1
		if on {
			w.slowdown = f.factor
		}
	case faultStall:
		if on {
			s.stallWorker(w, int64(f.to))
		}
	case faultCrash:
		if on {
			s.crashWorker(w)
			return
		}
		w.dead, w.coldRequestsLeft, w.boot = false, coldRequests, w.boot+1
	case faultFailFast:
		w.failing = on
	case faultDrainReported, faultDrainShed, faultDrainListed:
		w.leaving, w.leavingSince = on, s.now
		w.shedsNewWork, w.leavesSilently = f.kind == faultDrainShed, f.kind == faultDrainListed
	case faultRestart:
		w.coldRequestsLeft, w.boot = coldRequests, w.boot+1
	}
}
