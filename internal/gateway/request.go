package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// request is one caller's attempt on its way.
type request struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	body    []byte
	digest  uint64 // fingerprint
	route   *route.Entry
	service *service
	version route.Version // of the configuration that the request is served by
	// objective is until when an answer counts in full, from the caller's first
	// attempt on.
	objective time.Time

	call    call.Call
	tries   [call.MaxTries]try
	sought  uint64 // id in the book while a target is sought
	slots   chan slot.Action
	results chan result
	flying  int
	hedge   *time.Timer
	refused slot.Action // why no target was had
}

// try is one dispatch.
type try struct {
	id     uint64 // in the book
	target slot.Target
	why    slot.Why // of the choice
	began  time.Time
	left   time.Duration // that its target was given
	cancel context.CancelFunc
	answer *forward.Answer
}

// result is how a dispatch ended.
type result struct {
	try    int
	answer *forward.Answer
	fail   *forward.Failure
}

// endMargin is how long before the end of its time a request is given up, so
// that the answer is back by then.
const endMargin = 2 * time.Millisecond

// run seeks a target, sends the request there and passes the answer on.
func (q *request) run(v *view) {
	q.service = v.services[q.route.Split.Next()]
	if q.service == nil {
		q.refuse("noservice", noConfigRetry)
		return
	}
	now := time.Now()
	end := q.end()
	expiry := time.NewTimer(end.Sub(now))
	defer expiry.Stop()
	q.hedge = time.NewTimer(end.Sub(now)) // until DoTimer sets it
	defer q.hedge.Stop()
	defer q.release()
	acts := q.arrive(now, end)
	for !q.do(acts.All()) {
		select {
		case a := <-q.slots:
			acts = q.chosen(time.Now(), a)
		case res := <-q.results:
			q.flying--
			acts = q.ended(time.Now(), res)
		case <-q.hedge.C:
			acts = q.call.Hedge(time.Now())
		case <-expiry.C:
			acts = q.call.Expire(time.Now())
		case <-q.gateway.ending:
			acts = q.call.Expire(time.Now())
		case <-q.r.Context().Done():
			acts = q.call.Leave(time.Now())
		}
	}
}

// arrive begins the request's life.
func (q *request) arrive(now, end time.Time) call.Actions {
	q.slots = make(chan slot.Action, 1)
	q.results = make(chan result, call.MaxTries)
	q.digest = q.fingerprint()
	q.objective = q.arrived.Add(q.route.Objective)
	if left, ok := platform.RequestTime(q.r.Header); ok {
		q.objective = q.objective.Add(-q.route.Patience.Elapsed(left))
	}
	q.call = call.New(call.Config{
		Tries: min(q.route.Attempts, call.MaxTries), Margin: endMargin, Budget: q.service.budget,
	})
	return q.call.Arrive(now, call.Arrival{
		Deadline: end, Idempotent: q.route.Idempotent, Hedge: q.service.hedge(q.route.Name, q.objective.Sub(now)),
		Quarantined: q.gateway.suspects.Quarantined(now, q.digest),
	})
}

// end is when the request gets its final answer at the latest: the caller's
// deadline, or the route's timeout if that comes first.
func (q *request) end() time.Time {
	limit := q.route.Timeout
	if left, ok := platform.RequestTime(q.r.Header); ok {
		limit = min(limit, left)
	}
	return q.arrived.Add(limit)
}

// fingerprint names what a request asks for, so that one that crashes targets
// is known when it comes again: path, caller and body.
func (q *request) fingerprint() uint64 {
	var h xxhash.Digest
	h.Reset()
	host, _, err := net.SplitHostPort(q.r.RemoteAddr)
	if err != nil {
		host = q.r.RemoteAddr
	}
	_, _ = h.WriteString(host + "\x00" + q.r.Method + "\x00" + q.r.URL.RequestURI() + "\x00")
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// do does what the call decided, and reports whether the request has ended.
func (q *request) do(acts []call.Action) (ended bool) {
	for _, a := range acts {
		switch a.Do {
		case call.DoSeek:
			q.seek(false)
		case call.DoHedge:
			q.seek(true)
		case call.DoWithdraw, call.DoRelease:
			q.service.cancel(time.Now(), q.sought)
			q.sought = 0
		case call.DoDispatch:
			q.dispatch(a)
		case call.DoCancel:
			q.tries[a.Try].cancel()
		case call.DoAnswer:
			q.pass(a.Try)
			return true
		case call.DoRefuse:
			q.giveUp()
			return true
		case call.DoTimer:
			q.hedge.Reset(a.After)
		}
	}
	return false
}

func (q *request) seek(hedge bool) {
	now := time.Now()
	r := slot.Request{
		Arrived: q.arrived, Objective: q.objective, Deadline: q.end(),
		Priority: q.route.Priority, Hedge: hedge, Class: q.route.Name, Homes: q.route.Homes,
	}
	q.call.Tried(func(target string) { r.Tried = append(r.Tried, target) })
	q.sought = q.service.arrive(now, r, q.slots)
}

// chosen takes the book's decision.
func (q *request) chosen(now time.Time, a slot.Action) call.Actions {
	if a.Do == slot.Refuse {
		q.refused = a
		q.sought = 0
		return q.call.Decline(now, call.Decline{Reason: call.ReasonOverload, Retry: a.Retry})
	}
	q.refused = slot.Action{}
	if gone(q.r) {
		return q.call.Leave(now)
	}
	t := &q.tries[min(q.next(), call.MaxTries-1)]
	t.target, t.why = a.Target, a.Why
	return q.call.Choose(now, call.Choice{Target: a.Target.ID})
}

// next is the number of the dispatch that comes next.
func (q *request) next() (n int) {
	q.call.Tried(func(string) { n++ })
	return n
}

func (q *request) dispatch(a call.Action) {
	t := &q.tries[a.Try]
	t.id, q.sought = q.sought, 0
	t.began = time.Now()
	ctx, cancel := context.WithCancel(context.WithoutCancel(q.r.Context()))
	t.cancel = cancel
	q.flying++
	q.service.counts.sent.Inc(1)
	left := q.end().Sub(t.began)
	t.left = left
	if a.Try > 0 {
		q.service.counts.again(string(a.Why)).Inc(1)
		q.logRepeat(t, a.Why)
	}
	send := forward.Try{
		Target: t.target.Address, Request: q.r, Path: q.r.URL.EscapedPath(), Body: q.body,
		Timeout: left, Header: platform.Dispatch(t.target.ID), Timed: platform.TimeLeft,
	}
	go func() {
		answer, fail := q.gateway.forward.Dispatch(ctx, send)
		q.results <- result{a.Try, answer, fail}
	}()
}

// ended takes the end of a dispatch.
func (q *request) ended(now time.Time, res result) call.Actions {
	t := &q.tries[res.try]
	e := slot.End{ID: t.id, Report: q.gateway.reported(t.target.ID, res)}
	if res.fail == nil && !q.proper(res.answer) {
		res.fail = &forward.Failure{Target: t.target.Address, Stage: call.StageInvalid, Status: res.answer.Status, Cause: errImproper, Replay: true}
		res.answer.Close()
	}
	if f := res.fail; f != nil {
		e.Kind = kindOf(f.Stage)
		q.service.done(now, e)
		q.service.counts.failures.Inc(1)
		crash := false
		if f.Stage.Crash() {
			q.service.counts.crashes.Inc(1)
			crash = q.gateway.suspects.Crashed(now, q.digest, t.target.Run(), t.began)
		}
		q.logFailure(t, f)
		return q.call.Fail(now, call.Failed{Try: res.try, Stage: f.Stage, Ran: f.Ran, Replay: true, Quarantined: crash})
	}
	a := res.answer
	t.answer = a
	shed := platform.NotRun(a.Status, a.Header)
	e.Moved = platform.Misdirected(a.Status)
	switch {
	case shed:
		e.Kind = slot.Shed
	case a.Status >= http.StatusInternalServerError:
		e.Kind = slot.Failed
	}
	q.service.done(now, e)
	if whole := a.Body == nil; whole && !shed {
		q.clear(now, t, a.Status)
	}
	return q.call.Head(now, call.Head{
		Try: res.try, Status: a.Status, Shed: shed, Replay: true, Unwell: a.Status >= http.StatusInternalServerError,
	})
}

// clear notes that a target has run the request and has given its whole answer.
func (q *request) clear(now time.Time, t *try, status int) {
	if q.gateway.suspects.Answered(now, q.digest) {
		q.logCleared(t, status)
	}
}

// kindOf says what a failed dispatch says of its target.
func kindOf(s call.Stage) slot.Kind {
	switch s {
	case call.StageCancelled, call.StageCaller:
		return slot.Cancelled
	case call.StageTimeout:
		return slot.TimedOut
	}
	return slot.Lost
}

// release gives back what the request holds. Dispatches that are still under
// way are cancelled; their ends are awaited apart.
func (q *request) release() {
	if q.call.Spent() {
		q.service.counts.denied.Inc(1)
	}
	if q.sought != 0 {
		q.service.cancel(time.Now(), q.sought)
	}
	for i := range q.tries {
		if q.tries[i].cancel != nil {
			q.tries[i].cancel()
		}
	}
	if q.flying > 0 {
		go q.reap()
	}
}

func (q *request) reap() {
	for ; q.flying > 0; q.flying-- {
		res := <-q.results
		t := &q.tries[res.try]
		e := slot.End{ID: t.id, Kind: slot.Cancelled, Report: q.gateway.reported(t.target.ID, res)}
		if res.answer != nil {
			res.answer.Close()
		}
		if res.fail != nil && res.fail.Stage == call.StageTimeout {
			e.Kind = slot.TimedOut
		}
		q.service.done(time.Now(), e)
	}
}
