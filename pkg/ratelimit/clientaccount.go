package ratelimit

import (
	"math"
	"time"
)

const (
	// askTimeout is the time after which an ask without an answer is given up. A caller can
	// return at another entry in less time than the failure of an issuer is undetected.
	askTimeout = 150 * time.Millisecond
	// silentTimeout applies while the issuer doesn't answer, so that callers return at another
	// entry sooner. It covers one retransmission and its answer through a third entry.
	silentTimeout = 60 * time.Millisecond
	// notIssuerDelay is the time between asks that are answered NotIssuer. Without it, asks
	// would follow each other at the round-trip time of about 1 ms.
	notIssuerDelay = 20 * time.Millisecond
	// probeTime is how long after its last request an account's silent issuer is still asked.
	probeTime = time.Second
	// idleAskDelay is the time between reports of a debt to a silent issuer when there are no
	// requests.
	idleAskDelay = 500 * time.Millisecond
	// debtDelay is the time after which a debt is reported without another reason for an ask.
	debtDelay = 100 * time.Millisecond
	// returnLead is how long before their expiry unused tokens are returned. It covers the
	// way to the issuer with one retransmission.
	returnLead = 50 * time.Millisecond
	// maxLocalRefusal is the time after which a refused account's issuer is asked again.
	maxLocalRefusal = 100 * time.Millisecond
	// minLocalRefusal and requestsRefused set how long requests on time are refused without
	// asking: while the entry expects so many of them. Few entries may have nearly all requests
	// of an account; if each of them refused for maxLocalRefusal, tokens would be left over.
	minLocalRefusal = 20 * time.Millisecond
	requestsRefused = 8
	// rateSpan is the time constant of an entry's own rate for an account.
	rateSpan = time.Second
	// extraSpan is how much of its own rate an entry asks for in advance. Half of
	// TokenLifetime leaves few tokens unused.
	extraSpan = TokenLifetime / 2
)

// resendAfter holds the times after an ask at which it is sent again. The first exceeds the
// round-trip time between failure domains with some queueing.
var resendAfter = [...]time.Duration{20 * time.Millisecond, 60 * time.Millisecond}

// clientAccount is the state of one account at this entry. Tokens and waiting requests
// exclude each other, and there are no tokens while an ask is in flight.
type clientAccount struct {
	name      string
	limit     Limit
	tokens    int
	expiresAt time.Time // of all tokens
	onTime    waitQueue
	late      waitQueue // of requests that can't meet their objective
	starts    clientStarts

	asking  bool
	ask     Ask // the last one
	askedAt time.Time
	attempt int
	// ignoresLate means that the issuer ignores late requests. They are asked for as requests on
	// time then; askedLate are those of the last ask.
	ignoresLate bool
	askedLate   int
	askAfter    time.Time // no ask is sent before
	silent      bool      // the last ask was not answered, or by NotIssuer

	debt   int
	debtAt time.Time // when the first of the debt was charged

	settling   bool      // the issuer refused while it was settling
	nextReturn time.Time // when the next refused caller is to return
	interval   time.Duration

	recent   float64 // requests, each weighted by its age over rateSpan
	recentAt time.Time
	usedAt   time.Time
	due      time.Time
	index    int // in the timers

	admittedCount, admittedLateCount uint64
	refusedCount, refusedLateCount   uint64
	givenUpCount                     uint64

	answeredAt time.Time
}

// recordUse updates the account's own rate and limit.
func (a *clientAccount) recordUse(now time.Time, l Limit) {
	if l.Version >= a.limit.Version {
		a.limit = l
	}
	a.recent = a.recent*math.Exp(-now.Sub(a.recentAt).Seconds()/rateSpan.Seconds()) + 1
	a.recentAt, a.usedAt = now, now
}

// refusalTime returns how long requests on time are refused without asking.
func (a *clientAccount) refusalTime() time.Duration {
	perSecond := max(a.recent, 1) / rateSpan.Seconds()
	t := time.Duration(requestsRefused / perSecond * float64(time.Second))
	return min(max(t, minLocalRefusal), maxLocalRefusal)
}

// takeToken spends a token if there is one.
func (a *clientAccount) takeToken(now time.Time) bool {
	if a.tokens > 0 && !now.Before(a.expiresAt) {
		a.tokens = 0
	}
	if a.tokens == 0 {
		return false
	}
	a.tokens--
	return true
}

// owe records a debt.
func (a *clientAccount) owe(now time.Time, n int) {
	if a.debt == 0 {
		a.debtAt = now
	}
	a.debt += n
}

// newAsk moves all that is to be reported into an ask and returns it.
func (a *clientAccount) newAsk(now time.Time, sequence uint64) Ask {
	if a.tokens > 0 && !now.Before(a.expiresAt) {
		a.tokens = 0
	}
	a.ask = Ask{
		Account: a.name, Sequence: sequence, Wanted: len(a.onTime.ids), Late: len(a.late.ids), Debt: a.debt,
		Returned: a.tokens, Refused: a.onTime.refused, RefusedLate: a.late.refused, Limit: a.limit, Starts: a.starts.report(),
	}
	if a.waitingCount() > 0 {
		a.ask.Extra = int(a.recent * extraSpan.Seconds() / rateSpan.Seconds())
	}
	a.askedLate = 0
	if a.ignoresLate {
		a.askedLate = a.ask.Late
		a.ask.Wanted, a.ask.Late = a.ask.Wanted+a.ask.Late, 0
		a.ask.Refused, a.ask.RefusedLate = a.ask.Refused+a.ask.RefusedLate, 0
	}
	a.asking, a.askedAt, a.attempt = true, now, 0
	a.tokens, a.debt, a.onTime.refused, a.late.refused = 0, 0, 0, 0
	return a.ask
}

// failAsk ends an ask that was not answered. Its debt is reported again, which may count it
// twice but never too little.
func (a *clientAccount) failAsk(now time.Time, delay time.Duration) {
	a.asking, a.silent, a.askAfter = false, true, now.Add(delay)
	if a.ask.Debt > 0 {
		a.owe(now, a.ask.Debt)
	}
	a.onTime.refused += a.ask.Refused
	a.late.refused += a.ask.RefusedLate
	if now.Sub(a.usedAt) >= probeTime {
		a.askAfter = now.Add(idleAskDelay)
	}
}

// timeout returns how long the ask in flight may stay without an answer.
func (a *clientAccount) timeout() time.Duration {
	if a.silent {
		return silentTimeout
	}
	return askTimeout
}

// askDue returns when the account needs an ask, and whether it needs one at all.
func (a *clientAccount) askDue() (at time.Time, needed bool) {
	needBy := func(t time.Time) {
		if !needed || t.Before(at) {
			at, needed = t, true
		}
	}
	if a.waitingCount() > 0 || a.silent && a.askAfter.Before(a.usedAt.Add(probeTime)) {
		needBy(a.askAfter)
	}
	if a.debt > 0 {
		needBy(later(a.debtAt.Add(debtDelay), a.askAfter))
	}
	if a.tokens > 0 {
		needBy(later(a.expiresAt.Add(-returnLead), a.askAfter))
	}
	return at, needed
}

// nextDue returns when the account has to be looked at next.
func (a *clientAccount) nextDue() time.Time {
	if a.asking {
		due := a.askedAt.Add(a.timeout())
		if a.attempt < len(resendAfter) {
			due = earlier(due, a.askedAt.Add(resendAfter[a.attempt]))
		}
		return due
	}
	due := a.usedAt.Add(forgetTime)
	if at, needed := a.askDue(); needed {
		due = earlier(due, at)
	}
	return due
}
