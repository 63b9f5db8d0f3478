package tail

import (
	"strconv"
	"time"

	"plumpitch.example/plumpitch/pkg/pool"
)

// entry runs the balancer of one simulated entry.
type entry struct {
	pool        pool.Balancer
	idleConns   []int // idle connections to each worker
	nextTick    int64 // virtual time of the scheduled tick, in nanoseconds; 0 for none
	retryTokens float64
	actions     []pool.Action // buffer, reused between calls
}

const (
	retryRatio    = 0.1 // retry tokens that each new request adds
	retryBurst    = 10  // greatest number of retry tokens
	maxDispatches = 3   // dispatches per request, including the first
	dispatchBits  = 3   // low bits of a dispatch ID that hold the dispatch index
)

// dispatchID combines the index of a request and that of its dispatch.
func dispatchID(request, dispatchIndex int32) uint64 {
	return uint64(request)<<dispatchBits | uint64(dispatchIndex)
}

// handleArrival processes a new request at its entry.
func (s *simulator) handleArrival(j job) {
	r := &s.requests[j.request]
	s.stats.offered++
	if r.write {
		s.stats.writes++
	}
	e := &s.entries[r.entry]
	e.retryTokens = min(e.retryTokens+retryRatio, retryBurst)
	s.submit(j.request, "")
}

// submit passes a request to the balancer of its entry, to be sent to a target
// other than avoid if there is one.
func (s *simulator) submit(i int32, avoid string) {
	r := &s.requests[i]
	e := &s.entries[r.entry]
	a := pool.Arrival{ID: dispatchID(i, r.dispatchIndex), Deadline: timeOrigin.Add(time.Duration(r.arrival) + s.sc.deadline), Idempotent: !r.write, Avoid: avoid}
	s.execute(r.entry, e.pool.Submit(s.time(), a, e.actions[:0]))
}

// execute carries out the actions that the balancer of entry i returned.
func (s *simulator) execute(i int32, actions []pool.Action) {
	e := &s.entries[i]
	for _, a := range actions {
		switch a.Kind {
		case pool.Dispatch:
			s.dispatch(i, a)
		case pool.Refuse:
			s.stats.addRefusal(a.Reason, s.requests[a.ID>>dispatchBits].write)
			s.endRequest(int32(a.ID >> dispatchBits))
		case pool.Probe:
			w, _ := strconv.Atoi(a.Target)
			s.sendProbe(i, int32(w))
		case pool.NoteLeaving:
			s.announceLeaving(i, a)
		}
	}
	e.actions = actions[:0]
	s.scheduleTick(i)
}

func (s *simulator) dispatch(i int32, a pool.Action) {
	e := &s.entries[i]
	w, _ := strconv.Atoi(a.Target)
	s.stats.dispatches++
	if a.Trial {
		s.stats.trials++
	}
	j := job{request: int32(a.ID >> dispatchBits), dispatchIndex: int32(a.ID & (1<<dispatchBits - 1)), entry: i, worker: int32(w)}
	delay := s.sc.shape.TargetDelay
	if e.idleConns[w] > 0 {
		e.idleConns[w]--
	} else {
		delay += s.sc.shape.ConnectTime
	}
	s.schedule(s.now+int64(delay), event{kind: workerArrival, job: j})
}

func (s *simulator) sendProbe(i, w int32) {
	s.schedule(s.now+int64(s.sc.shape.TargetDelay), event{kind: workerArrival, job: job{request: -1, entry: i, worker: w}})
}

// announceLeaving forwards a target's report that it is leaving to the other
// entries.
func (s *simulator) announceLeaving(from int32, a pool.Action) {
	for i := range s.entries {
		if int32(i) == from {
			continue
		}
		s.execute(int32(i), s.entries[i].pool.MarkLeaving(s.time(), a.Target, a.Boot, nil))
	}
}

// scheduleTick schedules the tick that the balancer of entry i asks for, unless an
// earlier tick is already scheduled.
func (s *simulator) scheduleTick(i int32) {
	e := &s.entries[i]
	next := e.pool.NextTick()
	if next.IsZero() {
		return
	}
	when := max(int64(next.Sub(timeOrigin)), s.now)
	if e.nextTick > s.now && e.nextTick <= when {
		return
	}
	e.nextTick = when
	s.schedule(when, event{kind: tickDue, index: i})
}

// runTick runs a scheduled tick. It ignores a tick that has been rescheduled.
func (s *simulator) runTick(ev event) {
	e := &s.entries[ev.index]
	if e.nextTick != ev.at {
		return
	}
	e.nextTick = 0
	s.execute(ev.index, e.pool.Tick(s.time(), e.actions[:0]))
}

// receiveResponse processes the response to a dispatch or a probe at the entry.
func (s *simulator) receiveResponse(j job) {
	e := &s.entries[j.entry]
	load := pool.Load{InFlight: j.result.inFlight, HasInFlight: !s.sc.noReports, Leaving: j.result.leaving}
	if s.sc.zeroReports {
		load.InFlight = 0
	}
	if j.request < 0 {
		load.InFlight--
		r := pool.ProbeResult{Target: strconv.Itoa(int(j.worker)), OK: j.result.outcome != pool.ConnectFailed, Load: load}
		s.execute(j.entry, e.pool.ProbeDone(s.time(), r, e.actions[:0]))
		return
	}
	if j.result.outcome != pool.ConnectFailed && j.result.outcome != pool.ConnectionLost {
		e.idleConns[j.worker]++
	}
	s.respondToCaller(j)
	s.execute(j.entry, e.pool.Done(s.time(), pool.Completion{ID: dispatchID(j.request, j.dispatchIndex), Outcome: j.result.outcome, Load: load}, e.actions[:0]))
	s.retryOrFail(j)
}

// respondToCaller ends the request if the target processed it. It counts any
// other outcome as a lost dispatch, which may be retried.
func (s *simulator) respondToCaller(j job) {
	r := &s.requests[j.request]
	switch j.result.outcome {
	case pool.Served:
		s.stats.addServed(s.now-r.arrival+2*int64(s.sc.shape.CallerDelay), r.write)
		s.endRequest(j.request)
	case pool.Failed:
		s.stats.failed++
		s.endRequest(j.request)
	default:
		s.stats.lostDispatches++
	}
}

// retryOrFail retries a request that is idempotent or has not been executed, as
// long as the limit of dispatches and the retry budget of the entry allow it. Any other
// request fails.
func (s *simulator) retryOrFail(j job) {
	r := &s.requests[j.request]
	if r.ended {
		return
	}
	e := &s.entries[r.entry]
	notExecuted := j.result.outcome == pool.Shed || j.result.outcome == pool.ConnectFailed
	if !s.sc.retries || r.write && !notExecuted || r.dispatchIndex+1 >= maxDispatches || e.retryTokens < 1 {
		s.stats.failed++
		s.endRequest(j.request)
		return
	}
	e.retryTokens--
	s.stats.retries++
	r.dispatchIndex++
	s.submit(j.request, strconv.Itoa(int(j.worker)))
}

// endRequest marks a request as ended.
func (s *simulator) endRequest(i int32) {
	if s.requests[i].ended {
		return
	}
	s.requests[i].ended = true
	s.stats.lastEnd = s.now
	s.openRequests--
}
