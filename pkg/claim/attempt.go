package claim

import (
	"time"

	"plumpitch.example/plumpitch/pkg/ring"
)

// Bid is one request that is to run under a key.
type Bid struct {
	Claim
	Ring     ring.Ring
	Bounds   ring.Config
	Deadline time.Time     // after it the request may not be dispatched
	Patience time.Duration // longest wait for the replicas
}

// Attempt decides for one request, in one incarnation, whether it may run. It
// emits Run at most once.
//
// No lease is needed. A claim ends only by its own holder's withdrawal, by an
// outcome, or by the retention of its key, which is far longer than any
// deadline. A holder that is paused between its majority and its dispatch is
// still the only one that may run the key.
type Attempt struct {
	bid   Bid
	began time.Time
	state state
	peers []*asked
}

type state uint8

const (
	asking state = iota
	running
	done
)

// asked is what is known of one replica under the ring in force.
type asked struct {
	member ring.Member
	groups []int   // of the ring in force; none when the replica has fallen out
	reply  Verdict // 0 while there is none
	by     ring.Ident
	retry  bool // no usable reply yet: ask again
}

// Begin starts an attempt.
func Begin(now time.Time, b Bid) (a *Attempt, out []Action) {
	a = &Attempt{bid: b, began: now}
	return a, a.ask(now)
}

// Done tells that the attempt has given its result.
func (a *Attempt) Done() bool {
	return a.state == done
}

// Step takes one event and gives what is to be done, in this order.
func (a *Attempt) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Replied:
		return a.replied(now, e)
	case Unreachable:
		return a.unreachable(e)
	case Changed:
		return a.changed(now, e)
	case Tick:
		return a.tick(now)
	case Cancelled:
		return a.cancelled()
	case Ended:
		return a.ended(e)
	}
	return nil
}

// ask sends the claim to all replicas of the ring in force, unless these can't
// know the key.
func (a *Attempt) ask(now time.Time) []Action {
	switch {
	case a.bid.Bounds.Premature(now, a.bid.Key):
		return a.refuse(Result{Kind: Uncertain, Reason: ReasonKeyTime, RetryAfter: a.bid.Bounds.Skew})
	case !a.bid.Bounds.Knowable(now, a.bid.Ring, a.bid.Service, a.bid.Key):
		return a.refuse(Result{Kind: Uncertain, Reason: ReasonRecordsLost, RetryAfter: retryLost})
	}
	for _, p := range a.peers {
		*p = asked{member: p.member}
	}
	for g, set := range a.bid.Ring.Groups(a.bid.Service, a.bid.Key) {
		for _, m := range set {
			p := a.join(m)
			p.groups = append(p.groups, g)
		}
	}
	var out []Action
	for _, p := range a.peers {
		if len(p.groups) > 0 {
			out = append(out, a.request(p))
		}
	}
	return out
}

func (a *Attempt) request(p *asked) Action {
	p.retry = false
	return Send{To: p.member, Ask: Ask{Claim: a.bid.Claim, To: p.member.Ident, Ring: a.bid.Ring.Revision}}
}

func (a *Attempt) find(id ring.Ident) *asked {
	for _, p := range a.peers {
		if p.member.Ident == id {
			return p
		}
	}
	return nil
}

func (a *Attempt) replied(now time.Time, e Replied) []Action {
	p := a.find(e.From)
	if a.state != asking || p == nil || e.Ring != a.bid.Ring.Revision {
		return nil
	}
	switch {
	case e.Reply.Verdict == Settled:
		return a.replay(e.Reply)
	case a.early(e.Reply):
		p.retry = p.reply == 0
		return nil
	}
	p.reply = e.Reply.Verdict
	p.by = e.Reply.By
	return a.judge(now)
}

// early tells that a reply says nothing yet: one of the two sides has to take a
// newer ring first.
func (a *Attempt) early(r Reply) bool {
	return r.Verdict == WrongRing || (r.Verdict == WrongIncarnation && r.Ring > a.bid.Ring.Revision)
}

func (a *Attempt) unreachable(e Unreachable) []Action {
	p := a.find(e.From)
	if a.state == asking && p != nil && e.Ring == a.bid.Ring.Revision && p.reply == 0 {
		p.retry = true
	}
	return nil
}

// changed starts over under a newer ring with the same ID: replicas that have
// accepted it before do so again, and replies under the former ring no longer
// count. Replicas that fall out keep the claim until the attempt ends. To
// withdraw it there would be a promise never to run it, and they would drop the
// record of its run when they become replicas again.
func (a *Attempt) changed(now time.Time, e Changed) []Action {
	if a.state == done || !e.Ring.Newer(a.bid.Ring) {
		return nil
	}
	a.bid.Ring = e.Ring
	if a.state == running {
		a.widen()
		return nil
	}
	return a.ask(now)
}

// widen adds the replicas of the ring in force to those that hear of the
// outcome.
func (a *Attempt) widen() {
	for _, set := range a.bid.Ring.Groups(a.bid.Service, a.bid.Key) {
		for _, m := range set {
			a.join(m)
		}
	}
}

func (a *Attempt) join(m ring.Member) *asked {
	p := a.find(m.Ident)
	if p == nil {
		p = &asked{member: m}
		a.peers = append(a.peers, p)
	}
	return p
}

func (a *Attempt) tick(now time.Time) []Action {
	if a.state != asking {
		return nil
	}
	if !now.Before(a.bid.Deadline) || now.Sub(a.began) >= a.bid.Patience {
		return a.refuse(a.undecided())
	}
	var out []Action
	for _, p := range a.peers {
		if p.retry {
			out = append(out, a.request(p))
		}
	}
	return out
}

func (a *Attempt) cancelled() []Action {
	if a.state != asking {
		return nil
	}
	return a.refuse(a.undecided())
}

// judge counts the votes.
//
// The deadline is looked at here, right before Run: a process that was paused
// between its claim and this step must not dispatch a request whose caller has
// given up long ago.
func (a *Attempt) judge(now time.Time) []Action {
	if a.wins() {
		if !now.Before(a.bid.Deadline) {
			return a.refuse(Result{Kind: NotRun, Reason: ReasonDeadline, RetryAfter: retrySoon})
		}
		a.state = running
		return []Action{Run{}}
	}
	if a.loses() {
		return a.refuse(a.undecided())
	}
	return nil
}

func (a *Attempt) wins() bool {
	return a.all(Accepted)
}

// loses tells whether a majority of some group is out of reach.
func (a *Attempt) loses() bool {
	for g, size := range a.sizes() {
		against := a.count(g, func(v Verdict) bool { return v != 0 && v != Accepted })
		if size > 0 && against > size-ring.Majority(size) {
			return true
		}
	}
	return false
}

// reused tells whether a majority of each group knows the key only from another
// request. Had this one run, one of them would know of it. The new list of a
// joint ring alone proves nothing: it may not have the records yet.
func (a *Attempt) reused() bool {
	return a.all(OtherPrint)
}

// all tells whether a majority of each group gave a verdict.
func (a *Attempt) all(v Verdict) bool {
	if len(a.peers) == 0 {
		return false
	}
	for g, size := range a.sizes() {
		if size > 0 && a.count(g, func(o Verdict) bool { return o == v }) < ring.Majority(size) {
			return false
		}
	}
	return true
}

func (a *Attempt) sizes() (sizes [2]int) {
	for _, p := range a.peers {
		for _, g := range p.groups {
			sizes[g]++
		}
	}
	return sizes
}
