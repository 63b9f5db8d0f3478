package claims

import (
	"context"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

// mailbox is the number of events that an attempt can have waiting. It is more
// than the replicas of a joint ring.
const mailbox = 16

// Request is what is to run at most once.
type Request struct {
	Service  string
	Key      string
	Print    uint64    // fingerprint of method, path and body
	Deadline time.Time // after it nothing is dispatched
}

// Run dispatches the request and tells its outcome. It ends with ctx.
type Run func(ctx context.Context) claim.Ended

type flightKey struct {
	service string
	key     string
	print   uint64
}

// flight is an attempt of this entry that is not over.
type flight struct {
	done   chan struct{}
	result claim.Result // once done is closed
}

// Do runs the request unless its key has run or may be running, and gives what
// its caller is told. A resend that meets its first try here waits for it.
func (c *Claims) Do(ctx context.Context, r Request, run Run) claim.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	key := flightKey{r.Service, r.Key, r.Print}
	for {
		f, first := c.join(key)
		if first {
			return c.fly(ctx, key, f, r, run)
		}
		select {
		case <-ctx.Done():
			return claim.Result{Kind: claim.Uncertain, Reason: claim.ReasonInProgress, RetryAfter: time.Second}
		case <-f.done:
		}
		if f.result.Kind == claim.Fresh {
			return claim.Result{Kind: claim.Replay, Answer: f.result.Answer}
		}
	}
}

func (c *Claims) join(key flightKey) (f *flight, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.flights[key]; ok {
		return f, false
	}
	f = &flight{done: make(chan struct{})}
	c.flights[key] = f
	return f, true
}

func (c *Claims) fly(ctx context.Context, key flightKey, f *flight, r Request, run Run) claim.Result {
	defer func() {
		c.mu.Lock()
		delete(c.flights, key)
		c.mu.Unlock()
		close(f.done)
	}()
	p := &pilot{c: c, ctx: ctx, run: run, events: make(chan claim.Event, mailbox)}
	f.result = p.fly(r)
	return f.result
}

// pilot drives one attempt in the goroutine of its request.
type pilot struct {
	c      *Claims
	ctx    context.Context
	run    Run
	events chan claim.Event
	local  []claim.Event // replies of this entry itself
	a      *claim.Attempt
	result claim.Result
}

func (p *pilot) fly(r Request) claim.Result {
	now := p.c.cfg.Now()
	cur, changed := p.c.current()
	a, out := claim.Begin(now, claim.Bid{
		Claim:    p.c.claim(r),
		Ring:     cur,
		Bounds:   p.c.cfg.Bounds,
		Deadline: r.Deadline,
		Patience: p.c.cfg.Patience,
	})
	p.a = a
	p.do(out)
	tick := time.NewTicker(p.c.cfg.Again)
	defer tick.Stop()
	for p.drain(); !a.Done(); p.drain() {
		select {
		case e := <-p.events:
			p.step(e)
		case <-changed:
			cur, changed = p.c.current()
			p.step(claim.Changed{Ring: cur})
		case <-tick.C:
			p.step(claim.Tick{})
		case <-p.ctx.Done():
			p.step(claim.Cancelled{})
		}
	}
	return p.result
}

func (p *pilot) drain() {
	for len(p.local) > 0 {
		e := p.local[0]
		p.local = p.local[1:]
		p.step(e)
	}
}

func (c *Claims) claim(r Request) claim.Claim {
	self := c.cfg.Self.Ident
	id := claim.ID(r.Print, self, c.attempt.Add(1))
	return claim.Claim{Service: r.Service, Key: r.Key, Print: r.Print, ID: id, By: self}
}

func (p *pilot) step(e claim.Event) {
	p.do(p.a.Step(p.c.cfg.Now(), e))
}

func (p *pilot) do(out []claim.Action) {
	for _, action := range out {
		switch action := action.(type) {
		case claim.Send:
			p.send(action)
		case claim.Run:
			p.dispatch()
		case claim.Tell:
			p.c.tell(action)
		case claim.Finish:
			p.result = action.Result
		}
	}
}

// dispatch runs the request. The replicas of a ring that has come meanwhile
// hear of the outcome as well.
func (p *pilot) dispatch() {
	ended := claim.Ended{Outcome: call.NotRun, Reason: claim.ReasonDeadline, RetryAfter: time.Second}
	if p.ctx.Err() == nil {
		ended = p.run(p.ctx)
	}
	p.step(claim.Changed{Ring: p.c.Ring()})
	p.step(ended)
}

// send asks one replica, this entry itself without a detour.
func (p *pilot) send(s claim.Send) {
	if s.To.Ident == p.c.cfg.Self.Ident {
		reply := claim.Replied{From: s.To.Ident, Ring: s.Ask.Ring, Reply: p.c.Claim(s.Ask)}
		p.local = append(p.local, reply)
		return
	}
	go func() {
		select {
		case p.events <- p.c.ask(p.ctx, s):
		case <-p.ctx.Done():
		}
	}()
}

func (c *Claims) ask(ctx context.Context, s claim.Send) claim.Event {
	reply, err := c.cfg.Peers.Claim(ctx, s.To, s.Ask)
	if err != nil {
		return claim.Unreachable{From: s.To.Ident, Ring: s.Ask.Ring}
	}
	if reply.Ring > s.Ask.Ring {
		c.fetch(ctx, s.To)
	}
	return claim.Replied{From: s.To.Ident, Ring: s.Ask.Ring, Reply: reply}
}

// fetch takes a newer ring from a peer.
func (c *Claims) fetch(ctx context.Context, from ring.Member) {
	have := c.Ring().Revision
	document, err := c.cfg.Peers.Ring(ctx, from, have)
	if err != nil || len(document) == 0 {
		return
	}
	if err := c.Offer(document); err != nil {
		c.cfg.Log("ring from "+from.Name, err)
	}
}
