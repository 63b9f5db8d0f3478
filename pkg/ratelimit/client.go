package ratelimit

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minGiveUpRetry and giveUpSpread set the time after which callers without an answer of
	// the issuer return, at another entry. The spread keeps them from returning together.
	minGiveUpRetry = 25 * time.Millisecond
	giveUpSpread   = 75 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Sequence is where the sequence numbers of asks start. It has to exceed those of earlier
	// processes with the entry's name (the start time in ns will do), or differ
	// from them by a million, or an issuer takes asks for old ones for up to 10 s.
	Sequence uint64
	Rand     *rand.Rand // a fixed seed if nil
}

// Client holds the tokens of one entry and asks for more. It is not safe for concurrent use.
type Client struct {
	sequence uint64
	rng      *rand.Rand
	accounts map[string]*clientAccount
	waiting  map[uint64]*clientAccount // by request
	timers   timers
}

// NewClient returns a client without tokens.
func NewClient(c ClientConfig) *Client {
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(c.Sequence, 0))
	}
	return &Client{
		sequence: c.Sequence, rng: c.Rand,
		accounts: make(map[string]*clientAccount), waiting: make(map[uint64]*clientAccount),
	}
}

// Acquire admits a request, refuses it, or lets it wait for a token.
func (c *Client) Acquire(now time.Time, r Request, out []Action) []Action {
	if r.Limit.Unlimited() {
		return append(out, Action{Kind: Admit, ID: r.ID})
	}
	a := c.accounts[r.Account]
	if a == nil {
		a = &clientAccount{name: r.Account, recentAt: now}
		c.accounts[r.Account] = a
		heap.Push(&c.timers, a)
	}
	a.recordUse(now, r.Limit)
	r.Late = a.starts.rank(now, r)
	switch {
	case a.takeToken(now):
		out = a.admit(r.ID, r.Late, out)
	case now.Before(a.queue(r.Late).refusedUntil):
		a.queue(r.Late).refused++
		out = c.refuse(now, a, r.ID, r.Late, out)
	default:
		a.queue(r.Late).add(r.ID)
		c.waiting[r.ID] = a
		out = c.askIfDue(now, a, out)
	}
	c.timers.set(a, a.nextDue())
	return out
}

// Cancel withdraws a request that waits for a token.
func (c *Client) Cancel(_ time.Time, id uint64) {
	a := c.waiting[id]
	if a == nil {
		return
	}
	delete(c.waiting, id)
	a.onTime.remove(id)
	a.late.remove(id)
	c.timers.set(a, a.nextDue())
}

// Charge records a further dispatch of a request that was admitted. It spends a token, or
// records a debt if there is none.
func (c *Client) Charge(now time.Time, account string) {
	a := c.accounts[account]
	if a == nil {
		return // not limited
	}
	if !a.takeToken(now) {
		a.owe(now, 1)
	}
	c.timers.set(a, a.nextDue())
}

// GiveBack returns the token of a request that no target has run, for another request of this
// entry. A token that was admitted longer than TokenLifetime ago is lost: otherwise requests
// that wait for a target would collect the tokens of more than one window.
func (c *Client) GiveBack(now time.Time, account string, admitted time.Time) {
	a := c.accounts[account]
	if a == nil || now.Sub(admitted) >= TokenLifetime {
		return
	}
	switch {
	case a.debt > 0:
		a.debt--
	case !a.asking && now.Before(a.expiresAt):
		a.tokens++
	}
	c.timers.set(a, a.nextDue())
}

// Receive applies the response of an issuer. A refusal to issue is ignored after a retransmission,
// since it may come from an intermediary whose view lags; the response of the issuer or the
// timeout follows.
func (c *Client) Receive(now time.Time, g Grant, out []Action) []Action {
	a := c.accounts[g.Account]
	if a == nil {
		return out
	}
	if !g.NotIssuer {
		a.silent, a.answeredAt = false, now
	}
	if a.asking && g.Sequence == a.ask.Sequence {
		switch {
		case g.NotIssuer && a.attempt > 0:
		case g.NotIssuer:
			out = c.giveUp(now, a, notIssuerDelay, out)
		default:
			out = c.apply(now, a, g, out)
		}
	}
	c.timers.set(a, a.nextDue())
	return out
}

// apply applies the response to the ask in flight. Tokens expire by the time of the ask and
// not of the response, so that a late response doesn't prolong them.
func (c *Client) apply(now time.Time, a *clientAccount, g Grant, out []Action) []Action {
	a.asking, a.expiresAt = false, a.askedAt.Add(TokenLifetime)
	a.ignoresLate = !g.KnowsLate
	a.starts.learn(g.Starts)
	if now.Before(a.expiresAt) {
		a.tokens = min(max(g.Tokens, 0), a.ask.Wanted+a.ask.Extra) + min(max(g.Late, 0), a.ask.Late)
	}
	out = c.admitWaiting(now, a, false, out)
	out = c.admitWaiting(now, a, true, out)
	for a.debt > 0 && a.takeToken(now) {
		a.debt--
	}
	return c.askIfDue(now, a, c.refuseMissing(now, a, g, out))
}

// refuseMissing refuses the requests that wait if the last ask was not granted in full: all of
// them if requests on time got no token, else the late ones. An issuer of an earlier version
// grants late requests nothing and gives no time. Requests on time get the tokens first, so late ones
// that were asked for as such are the first that miss one.
func (c *Client) refuseMissing(now time.Time, a *clientAccount, g Grant, out []Action) []Action {
	missing, missingLate := max(a.ask.Wanted-g.Tokens, 0), max(a.ask.Late-g.Late, 0)
	if missing+missingLate == 0 {
		return out
	}
	if n := min(missing, a.askedLate); n > 0 {
		missing, missingLate = missing-n, n
	}
	after := g.RetryAfter
	if after <= 0 {
		after = maxLocalRefusal
	}
	until := now.Add(min(after, maxLocalRefusal))
	a.nextReturn, a.interval, a.settling = now.Add(after), g.Interval, g.Settling
	if missing > 0 {
		untilOnTime := now.Add(min(after, a.refusalTime()))
		out = c.refuseWaiting(now, a, false, untilOnTime, missing, out)
	}
	return c.refuseWaiting(now, a, true, until, missingLate, out)
}

// admitWaiting admits requests while there are tokens.
func (c *Client) admitWaiting(now time.Time, a *clientAccount, late bool, out []Action) []Action {
	q, admitted := a.queue(late), 0
	for admitted < len(q.ids) && a.takeToken(now) {
		out = a.admit(q.ids[admitted], late, out)
		delete(c.waiting, q.ids[admitted])
		admitted++
	}
	q.ids = slices.Delete(q.ids, 0, admitted)
	return out
}

func (a *clientAccount) admit(id uint64, late bool, out []Action) []Action {
	a.admittedCount++
	if late {
		a.admittedLateCount++
	}
	return append(out, Action{Kind: Admit, ID: id, Late: late})
}

// refuseWaiting refuses the requests of a queue, and those that follow until a time. missing of
// them were in the last ask, so the issuer knows of them.
func (c *Client) refuseWaiting(now time.Time, a *clientAccount, late bool, until time.Time, missing int, out []Action) []Action {
	q := a.queue(late)
	q.refusedUntil = until
	q.refused += max(len(q.ids)-missing, 0)
	for _, id := range q.ids {
		delete(c.waiting, id)
		out = c.refuse(now, a, id, late, out)
	}
	q.ids = q.ids[:0]
	return out
}

// refuse refuses a request until the next free time of the schedule. Times beyond its end are
// spread over its last quarter.
func (c *Client) refuse(now time.Time, a *clientAccount, id uint64, late bool, out []Action) []Action {
	after := max(a.nextReturn.Sub(now), 0)
	if after >= maxRetryAfter {
		after = maxRetryAfter - time.Duration(c.rng.Int64N(int64(maxRetryAfter/4)))
	} else {
		a.nextReturn = a.nextReturn.Add(a.interval)
	}
	if a.settling {
		a.givenUpCount++
		return append(out, Action{Kind: GiveUp, ID: id, RetryAfter: max(after, minGiveUpRetry)})
	}
	a.refusedCount++
	if late {
		a.refusedLateCount++
	}
	return append(out, Action{Kind: Refuse, ID: id, RetryAfter: after, Late: late})
}

// giveUp ends an ask without tokens, and the requests that wait for it. delay is the time
// until the next ask.
func (c *Client) giveUp(now time.Time, a *clientAccount, delay time.Duration, out []Action) []Action {
	for _, q := range [...]*waitQueue{&a.onTime, &a.late} {
		for _, id := range q.ids {
			delete(c.waiting, id)
			a.givenUpCount++
			after := minGiveUpRetry + time.Duration(c.rng.Int64N(int64(giveUpSpread)))
			out = append(out, Action{Kind: GiveUp, ID: id, RetryAfter: after})
		}
		q.ids = q.ids[:0]
	}
	a.failAsk(now, delay)
	return out
}

// askIfDue sends an ask if the account needs one and none is in flight.
func (c *Client) askIfDue(now time.Time, a *clientAccount, out []Action) []Action {
	if at, needed := a.askDue(); a.asking || !needed || now.Before(at) {
		return out
	}
	c.sequence++
	return append(out, Action{Kind: SendAsk, Ask: a.newAsk(now, c.sequence)})
}

// Tick handles the timers that are due.
func (c *Client) Tick(now time.Time, out []Action) []Action {
	for len(c.timers) > 0 && !now.Before(c.timers[0].due) {
		a := c.timers[0]
		if !a.asking && now.Sub(a.usedAt) >= forgetTime {
			heap.Pop(&c.timers)
			delete(c.accounts, a.name)
			continue
		}
		out = c.tickAccount(now, a, out)
		c.timers.set(a, a.nextDue())
	}
	return out
}

func (c *Client) tickAccount(now time.Time, a *clientAccount, out []Action) []Action {
	elapsed := now.Sub(a.askedAt)
	switch {
	case a.asking && elapsed >= a.timeout():
		out = c.giveUp(now, a, 0, out)
	case a.asking && a.attempt < len(resendAfter) && elapsed >= resendAfter[a.attempt]:
		a.attempt++
		return append(out, Action{Kind: SendAsk, Ask: a.ask, Attempt: a.attempt})
	}
	return c.askIfDue(now, a, out)
}

// NextTick returns when Tick has to be called next, or the zero time if no call is needed.
func (c *Client) NextTick() time.Time { return c.timers.next() }

// ClientStatus is the state of one account at this entry.
type ClientStatus struct {
	Account      string
	Tokens       int           // unspent
	Waiting      int           // requests that wait for a token
	Debt         int           // dispatches without a token that the issuer doesn't know yet
	RefusedFor   time.Duration // how much longer requests on time are refused without asking
	Admitted     uint64        // requests since the start
	AdmittedLate uint64        // of these, late ones
	Refused      uint64
	RefusedLate  uint64
	GivenUp      uint64
	LastAnswered time.Time // when the issuer last answered; zero if never
}

// Status returns the state of all accounts that this entry has used lately, by name.
func (c *Client) Status(now time.Time) (list []ClientStatus) {
	for _, a := range c.accounts {
		s := ClientStatus{
			Account: a.name, Waiting: a.waitingCount(), Debt: a.debt, RefusedFor: max(a.onTime.refusedUntil.Sub(now), 0),
			Admitted: a.admittedCount, AdmittedLate: a.admittedLateCount, Refused: a.refusedCount, RefusedLate: a.refusedLateCount,
			GivenUp: a.givenUpCount, LastAnswered: a.answeredAt,
		}
		if now.Before(a.expiresAt) {
			s.Tokens = a.tokens
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y ClientStatus) int { return cmp.Compare(x.Account, y.Account) })
	return list
}
