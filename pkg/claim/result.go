package claim

import "plumpitch.example/plumpitch/pkg/call"

// refuse ends the attempt without a run. The result comes before the
// withdrawal: once that is out, another attempt may run the key.
func (a *Attempt) refuse(r Result) []Action {
	a.state = done
	out := []Action{Finish{r}}
	for _, p := range a.peers {
		out = append(out, a.withdraw(p))
	}
	return out
}

func (a *Attempt) withdraw(p *asked) Action {
	s := a.settlement(p)
	s.Withdraw = true
	return Tell{To: p.member, Settlement: s}
}

func (a *Attempt) settlement(p *asked) Settlement {
	return Settlement{To: p.member.Ident, Service: a.bid.Service, Key: a.bid.Key, ID: a.bid.ID}
}

// undecided says why no majority was found. It never says that the key has not
// run: without a majority a run under another claim can't be ruled out.
func (a *Attempt) undecided() Result {
	if a.reused() {
		return Result{Kind: Conflict, Reason: ReasonKeyReused}
	}
	r := Result{Kind: Uncertain, Reason: ReasonUnreachable, RetryAfter: retrySoon}
	for _, p := range a.peers {
		switch {
		case p.reply == OtherPrint:
			return Result{Kind: Uncertain, Reason: ReasonKeyReused}
		case p.reply == Held && a.bid.Ring.Has(p.by):
			r.Reason = ReasonInProgress
		case p.reply == Held && r.Reason != ReasonInProgress:
			r.Reason = ReasonHolderGone
		case p.reply == Full && r.Reason == ReasonUnreachable:
			r.Reason = ReasonFull
		}
	}
	return r
}

// replay gives the recorded outcome. One that is unknown stays so for as long
// as the key is remembered.
func (a *Attempt) replay(reply Reply) []Action {
	r := Result{Kind: Uncertain, Reason: ReasonRanUnknown}
	if reply.Answer != nil && reply.Answer.Outcome == call.Ran {
		r = Result{Kind: Replay, Answer: *reply.Answer}
		if !reply.Answer.Whole {
			r.Reason = ReasonNotKept
		}
	}
	return a.refuse(r)
}

// ended records the outcome of the run, or frees the key when the request
// surely did not run.
func (a *Attempt) ended(e Ended) []Action {
	if a.state != running {
		return nil
	}
	if e.Outcome == call.NotRun {
		return a.refuse(Result{Kind: NotRun, Reason: e.Reason, RetryAfter: e.RetryAfter})
	}
	a.state = done
	answer := e.Answer
	answer.Outcome = e.Outcome
	r := Result{Kind: Fresh, Answer: answer}
	if e.Outcome == call.Unknown {
		r = Result{Kind: Uncertain, Reason: e.Reason, RetryAfter: e.RetryAfter}
		answer = Answer{Outcome: call.Unknown}
	}
	out := []Action{Finish{r}}
	for _, p := range a.peers {
		s := a.settlement(p)
		s.Answer = &answer
		out = append(out, Tell{To: p.member, Settlement: s})
	}
	return out
}

func (a *Attempt) count(group int, match func(Verdict) bool) (n int) {
	for _, p := range a.peers {
		if !match(p.reply) {
			continue
		}
		for _, g := range p.groups {
			if g == group {
				n++
			}
		}
	}
	return n
}
