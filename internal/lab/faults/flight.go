package faults

import (
	"fmt"
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

const (
	service  = "deposit-ledger"
	patience = time.Second
	again    = 20 * time.Millisecond
	tells    = 9
	firstGap = 50 * time.Millisecond
)

// try is one request of a caller, first or resent.
type try struct {
	key     string
	print   uint64
	node    *node
	result  claim.Result
	over    bool
	denied  bool // its caller was told that nothing ran
	began   time.Duration
	granted time.Duration // when it was allowed to run; 0 when it was not
}

// flight is the attempt of a try in its entry.
type flight struct {
	n        *node
	t        *try
	a        *claim.Attempt
	deadline time.Time
	call     *lifecycle
}

// request has an entry run a try.
func (n *node) request(t *try, limit time.Duration) {
	n.attempts++
	t.began = n.w.now
	id := claim.ID(t.print, n.self.Ident, n.attempts)
	f := &flight{n: n, t: t, deadline: n.now().Add(limit)}
	a, out := claim.Begin(n.now(), claim.Bid{
		Claim:    claim.Claim{Service: service, Key: t.key, Print: t.print, ID: id, By: n.self.Ident},
		Ring:     n.ring,
		Bounds:   n.w.bounds,
		Deadline: f.deadline,
		Patience: patience,
	})
	f.a = a
	n.flights = append(n.flights, f)
	f.do(out)
	n.w.after(n, again, f.tick)
}

func (f *flight) tick() {
	if f.a.Done() {
		return
	}
	f.step(claim.Tick{})
	f.n.w.after(f.n, again, f.tick)
}

func (f *flight) step(e claim.Event) {
	f.do(f.a.Step(f.n.now(), e))
	if f.a.Done() {
		f.n.flights = slices.DeleteFunc(slices.Clone(f.n.flights), func(o *flight) bool { return o == f })
	}
}

func (f *flight) do(out []claim.Action) {
	for _, action := range out {
		switch action := action.(type) {
		case claim.Send:
			f.ask(action)
		case claim.Run:
			f.t.granted = f.n.w.now
			f.n.w.after(f.n, f.n.w.between(0, time.Millisecond), f.dispatch)
		case claim.Tell:
			f.n.tell(action, firstGap, tells)
		case claim.Finish:
			f.finish(action.Result)
		}
	}
}

func (f *flight) ask(s claim.Send) {
	n := f.n
	serve := func(m *node) claim.Reply { return m.vote(s.Ask) }
	if s.To.Ident == n.self.Ident {
		reply := serve(n)
		n.w.after(n, 0, func() { f.step(claim.Replied{From: s.To.Ident, Ring: s.Ask.Ring, Reply: reply}) })
		return
	}
	rpc(n.w, n, s.To, serve, func(reply claim.Reply, ok bool) {
		if !ok {
			f.step(claim.Unreachable{From: s.To.Ident, Ring: s.Ask.Ring})
			return
		}
		if reply.Ring > n.ring.Revision {
			n.fetch(s.To)
		}
		f.step(claim.Replied{From: s.To.Ident, Ring: s.Ask.Ring, Reply: reply})
	})
}

func (n *node) tell(t claim.Tell, gap time.Duration, left int) {
	serve := func(m *node) bool {
		m.table.Settle(m.now(), t.Settlement)
		return true
	}
	if t.To.Ident == n.self.Ident {
		serve(n)
		return
	}
	rpc(n.w, n, t.To, serve, func(_, ok bool) {
		if !ok && left > 1 && n.ring.Has(t.To.Ident) {
			n.w.after(n, gap, func() { n.tell(t, 2*gap, left-1) })
		}
	})
}

// finish checks what the caller is told against what the targets know.
func (f *flight) finish(r claim.Result) {
	w, t := f.n.w, f.t
	if t.over {
		panic("a second result")
	}
	t.over = true
	t.result = r
	w.counts.results[r.Kind]++
	switch r.Kind {
	case claim.NotRun, claim.Conflict:
		t.denied = true
		if w.target.ran(t) {
			w.counts.False++
		}
	case claim.Fresh, claim.Replay:
		if r.Reason == "" && string(r.Answer.Body) != t.body() {
			w.counts.Crossed++
		}
	}
}

func (t *try) body() string {
	return fmt.Sprintf("%s/%d", t.key, t.print)
}

// ended maps the end of the lifecycle to the outcome of the run.
func ended(outcome call.Outcome, reason call.Reason, retry time.Duration, body string) claim.Ended {
	e := claim.Ended{Outcome: outcome, Reason: claim.Reason(reason), RetryAfter: retry}
	if outcome == call.Ran {
		e.Answer = claim.Answer{Status: 201, Body: []byte(body), Whole: body != ""}
	}
	return e
}

// pick gives one of the members, for use by faults and callers.
func pick[T any](w *world, from []T) T {
	return from[w.rand.IntN(len(from))]
}

func (w *world) replicas(key string) []ring.Member {
	return ring.Replicas(w.newest().Members, service, key)
}
