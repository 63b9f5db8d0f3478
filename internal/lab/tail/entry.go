package tail

import (
	"strconv"
	"time"

	"plumpitch.example/plumpitch/pkg/pool"
)

// entry runs the balancer of one simulated entry.
type entry struct {
	pool   pool.Balancer
	idle   []int // idle connections to each worker
	tick   int64 // virtual time of the scheduled tick, in nanoseconds; 0 for none
	tokens float64
	out    []pool.Action // buffer, reused between calls
}

const (
	retryShare = 0.1 // retry tokens that each new request adds
	retryBurst = 10  // greatest number of retry tokens
	maxTries   = 3   // dispatches per request, including the first
	tryBits    = 3   // low bits of a dispatch ID that hold the attempt
)

// dispatchID combines the index of a request and its attempt.
func attempt(request, attempt int32) uint64 { return uint64(request)<<tryBits | uint64(attempt) }

// handleArrival processes a new request at its entry.
func (s *site) arrive(j job) {
	r := &s.requests[j.request]
	s.stat.offered++
	if r.write {
		s.stat.writes++
	}
	e := &s.entries[r.entry]
	e.tokens = min(e.tokens+retryShare, retryBurst)
	s.offer(j.request, "")
}

// submit passes a request to the balancer of its entry, to be sent to a target
// other than avoid if there is one.
func (s *site) offer(i int32, avoid string) {
	r := &s.requests[i]
	e := &s.entries[r.entry]
	a := pool.Arrival{ID: attempt(i, r.try), Deadline: epoch.Add(time.Duration(r.at) + s.sc.deadline), Idempotent: !r.write, Avoid: avoid}
	s.do(r.entry, e.pool.Submit(s.time(), a, e.out[:0]))
}

// execute carries out the actions that the balancer of entry i returned.
func (s *site) do(i int32, actions []pool.Action) {
	e := &s.entries[i]
	for _, a := range actions {
		switch a.Kind {
		case pool.Dispatch:
			s.dispatch(i, a)
		case pool.Refuse:
			s.stat.refuse(a.Reason, s.requests[a.ID>>tryBits].write)
			s.close(int32(a.ID >> tryBits))
		case pool.Probe:
			w, _ := strconv.Atoi(a.Target)
			s.probe(i, int32(w))
		case pool.NoteLeaving:
			s.tell(i, a)
		}
	}
	e.out = actions[:0]
	s.plan(i)
}

func (s *site) dispatch(i int32, a pool.Action) {
	e := &s.entries[i]
	w, _ := strconv.Atoi(a.Target)
	s.stat.tries++
	if a.Trial {
		s.stat.trials++
	}
	j := job{request: int32(a.ID >> tryBits), try: int32(a.ID & (1<<tryBits - 1)), entry: i, worker: int32(w)}
	delay := s.sc.shape.Target
	if e.idle[w] > 0 {
		e.idle[w]--
	} else {
		delay += s.sc.shape.Connect
	}
	s.at(s.now+int64(delay), event{kind: atTarget, job: j})
}

func (s *site) probe(i, w int32) {
	s.at(s.now+int64(s.sc.shape.Target), event{kind: atTarget, job: job{request: -1, entry: i, worker: w}})
}

// announceLeaving forwards a target's report that it is leaving to the other
// entries.
func (s *site) tell(from int32, a pool.Action) {
	for i := range s.entries {
		if int32(i) == from {
			continue
		}
		s.do(int32(i), s.entries[i].pool.MarkLeaving(s.time(), a.Target, a.Boot, nil))
	}
}

// scheduleTick schedules the tick that the balancer of entry i asks for, unless an
// earlier tick is already scheduled.
func (s *site) plan(i int32) {
	e := &s.entries[i]
	next := e.pool.NextTick()
	if next.IsZero() {
		return
	}
	when := max(int64(next.Sub(epoch)), s.now)
	if e.tick > s.now && e.tick <= when {
		return
	}
	e.tick = when
	s.at(when, event{kind: ticked, where: i})
}

// runTick runs a scheduled tick. It ignores a tick that has been rescheduled.
func (s *site) tick(ev event) {
	e := &s.entries[ev.where]
	if e.tick != ev.at {
		return
	}
	e.tick = 0
	s.do(ev.where, e.pool.Tick(s.time(), e.out[:0]))
}

// receiveResponse processes the response to a dispatch or a probe at the entry.
func (s *site) answer(j job) {
	e := &s.entries[j.entry]
	load := pool.Load{InFlight: j.end.load, HasInFlight: !s.sc.deaf, Leaving: j.end.leaving}
	if s.sc.mislead {
		load.InFlight = 0
	}
	if j.request < 0 {
		load.InFlight--
		r := pool.ProbeResult{Target: strconv.Itoa(int(j.worker)), OK: j.end.kind != pool.ConnectFailed, Load: load}
		s.do(j.entry, e.pool.ProbeDone(s.time(), r, e.out[:0]))
		return
	}
	if j.end.kind != pool.ConnectFailed && j.end.kind != pool.ConnectionLost {
		e.idle[j.worker]++
	}
	s.settle(j)
	s.do(j.entry, e.pool.Done(s.time(), pool.Completion{ID: attempt(j.request, j.try), Outcome: j.end.kind, Load: load}, e.out[:0]))
	s.again(j)
}

// respondToCaller ends the request if the target processed it. It counts any
// other outcome as a lost dispatch, which may be retried.
func (s *site) settle(j job) {
	r := &s.requests[j.request]
	switch j.end.kind {
	case pool.Served:
		s.stat.answer(s.now-r.at+2*int64(s.sc.shape.Caller), r.write)
		s.close(j.request)
	case pool.Failed:
		s.stat.failed++
		s.close(j.request)
	default:
		s.stat.lost++
	}
}

// retryOrFail retries a request that is idempotent or has not been executed, as
// long as the attempt limit and the retry budget of the entry allow it. Any other
// request fails.
func (s *site) again(j job) {
	r := &s.requests[j.request]
	if r.over {
		return
	}
	e := &s.entries[r.entry]
	notExecuted := j.end.kind == pool.Shed || j.end.kind == pool.ConnectFailed
	if !s.sc.retries || r.write && !notExecuted || r.try+1 >= maxTries || e.tokens < 1 {
		s.stat.failed++
		s.close(j.request)
		return
	}
	e.tokens--
	s.stat.retries++
	r.try++
	s.offer(j.request, strconv.Itoa(int(j.worker)))
}

// endRequest marks a request as ended.
func (s *site) close(i int32) {
	if s.requests[i].over {
		return
	}
	s.requests[i].over = true
	s.stat.ended = s.now
	s.open--
}
