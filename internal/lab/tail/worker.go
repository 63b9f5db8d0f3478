package tail

import "plumpitch.example/plumpitch/pkg/pool"

// end is what comes back from a worker.
type end struct {
	kind    pool.Kind
	load    int
	leaving bool
}

// worker is the fake of one target: slots, a backlog, and what is wrong with it.
type worker struct {
	running []job
	waiting []job
	factor  float64
	stalled int64 // until then
	dead    bool
	failing bool
	leaving bool
	refuses bool
	silent  bool // leaves without a word
	boot    uint64
	cold    int   // requests until it is warm
	told    int64 // when it was told to leave
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
		s.reply(j, pool.RefusedConn)
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
	took := float64(s.sc.shape.Probe)
	if j.request >= 0 {
		took = s.requests[j.request].demand
		if w.cold > 0 {
			w.cold--
			took *= coldFactor
		}
	}
	took *= w.factor
	j.finish = max(s.now, w.stalled) + int64(took)
	if j.request < 0 {
		s.stat.probeRan(s.now, j.finish)
	}
	w.running = append(w.running, j)
	s.at(j.finish, event{kind: finished, where: j.worker, job: j})
}

// finish ends a job, unless a stall or a crash has moved it meanwhile.
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

// reply sends the answer on its way with the load of this moment.
func (s *site) reply(j job, kind pool.Kind) {
	w := &s.workers[j.worker]
	j.end = end{kind: kind, load: len(w.running) + len(w.waiting) + 1, leaving: w.leaving && !w.silent && !w.refuses}
	s.at(s.now+int64(s.sc.shape.Target), event{kind: answered, where: j.entry, job: j})
}

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
		s.reply(j, pool.Broken)
	}
	w.running, w.waiting, w.dead = nil, nil, true
}

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
