package faults

import (
	"fmt"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

const (
	workers  = 4
	service1 = 2 * time.Millisecond  // shortest time of service
	service2 = 40 * time.Millisecond // longest
)

// targets log what they run.
type targets struct {
	runs   map[string]int // by key, whatever the fingerprint
	bodies []string       // what ran
	cut    float64        // of answers
	shed   float64        // of requests
	budget *call.Budget
}

// ran tells whether the request of a try has run, be it for another try.
func (t *targets) ran(of *try) bool {
	for _, b := range t.bodies {
		if b == of.body() {
			return true
		}
	}
	return false
}

// lifecycle drives pkg/call for the one run of a flight.
type lifecycle struct {
	f    *flight
	call call.Call
	body string // of the answer that is passed on
	over bool
}

// dispatch begins the run, unless the time for it has passed while the process
// stood still.
func (f *flight) dispatch() {
	n := f.n
	if !n.now().Before(f.deadline) {
		f.step(ended(call.NotRun, call.ReasonDeadline, time.Second, ""))
		return
	}
	l := &lifecycle{f: f, call: call.New(call.Config{Budget: n.w.target.budget})}
	n.w.after(n, f.deadline.Sub(n.now()), func() { l.do(l.call.Expire(n.now())) })
	l.do(l.call.Arrive(n.now(), call.Arrival{Deadline: f.deadline}))
}

func (l *lifecycle) do(acts call.Actions) {
	for _, a := range acts.All() {
		switch a.Do {
		case call.DoSeek:
			l.seek()
		case call.DoDispatch:
			l.send(a.Try)
		case call.DoRefuse:
			final := l.call.Final()
			l.end(final.Outcome, final.Reason, final.Retry)
		}
	}
}

func (l *lifecycle) seek() {
	n := l.f.n
	n.w.after(n, oneWay, func() {
		if n.w.chance(n.w.target.shed / 2) {
			l.do(l.call.Decline(n.now(), call.Decline{Reason: call.ReasonDeadline, Retry: time.Second}))
			return
		}
		target := fmt.Sprint(n.w.rand.IntN(workers))
		l.do(l.call.Choose(n.now(), call.Choice{Target: target}))
	})
}

// send is one dispatch on its way to a target and back.
func (l *lifecycle) send(i int) {
	w, n := l.f.n.w, l.f.n
	switch {
	case w.chance(w.target.shed):
		w.after(n, 2*oneWay, func() { l.head(call.Head{Try: i, Status: 503, Shed: true, Replay: true}) })
		return
	case w.chance(w.target.shed):
		l.fail(2*oneWay, call.Failed{Try: i, Stage: call.StageRefused, Ran: call.DidNotRun, Replay: true})
		return
	case w.chance(w.target.cut / 2):
		l.fail(2*oneWay, call.Failed{Try: i, Stage: call.StageSent, Replay: true})
		return
	}
	took := w.between(service1, service2)
	w.after(nil, oneWay+took, func() { w.target.run(w, l.f.t) })
	if w.chance(w.target.cut) {
		l.fail(2*oneWay+took, call.Failed{Try: i, Stage: call.StageSent, Replay: true})
		return
	}
	w.after(n, 2*oneWay+took, func() { l.head(call.Head{Try: i, Status: 201}) })
}

// run logs a run.
func (t *targets) run(w *world, of *try) {
	t.runs[of.key]++
	t.bodies = append(t.bodies, of.body())
	w.counts.Runs++
	if t.runs[of.key] > 1 {
		w.counts.Doubled++
	}
	if of.denied {
		w.counts.False++
	}
}

func (l *lifecycle) fail(d time.Duration, e call.Failed) {
	n := l.f.n
	n.w.after(n, d, func() { l.do(l.call.Fail(n.now(), e)) })
}

func (l *lifecycle) head(h call.Head) {
	n := l.f.n
	acts := l.call.Head(n.now(), h)
	for _, a := range acts.All() {
		if a.Do == call.DoAnswer {
			l.answer(a.Try)
		}
	}
	l.do(acts)
}

// answer passes an answer on; its body may be cut.
func (l *lifecycle) answer(i int) {
	n := l.f.n
	whole := !n.w.chance(n.w.target.cut)
	n.w.after(n, oneWay, func() {
		l.call.End(n.now(), call.End{Try: i, Whole: whole})
		if l.call.Cut() {
			l.end(call.Unknown, call.ReasonCut, 0)
			return
		}
		l.body = l.f.t.body()
		l.end(call.Ran, "", 0)
	})
}

func (l *lifecycle) end(outcome call.Outcome, reason call.Reason, retry time.Duration) {
	if l.over {
		return
	}
	l.over = true
	if outcome == call.Ran && l.body == "" {
		outcome = call.Unknown
	}
	l.f.step(ended(outcome, reason, retry, l.body))
}
