package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCallGap is the longest time between two calls of an Issuer in ordinary operation. A
	// process that is stopped for longer may be considered dead, which takes the other entries
	// 450 ms or more, and another entry may have issued tokens meanwhile. Busy small VMs often
	// delay a timer by 100 ms.
	maxCallGap = 400 * time.Millisecond
	// forgetTime is how long unused accounts and askers are kept, at least. It is longer than any
	// datagram takes.
	forgetTime = 10 * time.Second
	// sweepInterval is the time between searches for unused buckets and askers.
	sweepInterval = 5 * time.Second
)

// IssuerConfig configures an Issuer.
type IssuerConfig struct {
	Tolerance Tolerance
}

// Issuer holds the token buckets of the accounts that this entry issues tokens for. It is not
// safe for concurrent use.
type Issuer struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	calledAt  time.Time
	sweptAt   time.Time

	share       float64
	shareSince  time.Time // when a share was first set
	latestShare float64   // as last set
	raisedShare float64   // the lowest one set while a raise waits
	raiseAt     time.Time
	steadySince time.Time // since when buckets fill at share
	restarted   bool      // all entries have just started
	resumedAt   time.Time // end of the last stop of the process

	transfers transfers
}

// NewIssuer returns an issuer that may grant nothing until SetShare is called.
func NewIssuer(c IssuerConfig) *Issuer {
	return &Issuer{tolerance: c.Tolerance, buckets: make(map[string]*bucket), transfers: newTransfers()}
}

// SetShare sets the share of each rate at which the buckets fill, from 0 to 1. At 0 the
// issuer grants nothing. A lower share takes effect at once. A higher one takes effect after
// settleTime, because the other part of a healed partition may still use its share. An entry that
// has just started meets the others one after the other, and its buckets settle by themselves.
func (i *Issuer) SetShare(now time.Time, share float64) {
	i.advance(now)
	i.latestShare = share
	switch {
	case i.shareSince.IsZero() || share < i.share:
		if i.shareSince.IsZero() {
			i.shareSince = now
		}
		i.applyShare(now, share)
	case share > i.share && (i.restarted || now.Sub(i.shareSince) < settleTime):
		i.applyShare(now, share)
	case share > i.share && i.raiseAt.IsZero():
		i.raisedShare, i.raiseAt = share, now.Add(settleTime)
	case share > i.share:
		i.raisedShare = min(i.raisedShare, share)
	default:
		i.raiseAt = time.Time{}
	}
}

// SetRestarted sets whether all live entries have just started, as after a loss of power. No
// issuer from before is left then, and nobody has issued tokens meanwhile. So buckets fill at
// restartShare while the views settle, and a higher share takes effect at once.
func (i *Issuer) SetRestarted(now time.Time, restarted bool) {
	i.advance(now)
	if restarted == i.restarted {
		return
	}
	i.fillAll(now)
	i.restarted = restarted
}

func (i *Issuer) applyShare(now time.Time, share float64) {
	i.fillAll(now)
	i.share, i.steadySince, i.raiseAt = share, later(i.steadySince, now), time.Time{}
	i.fillAll(now)
	i.restartPaces(now)
	if i.latestShare > share {
		i.raisedShare, i.raiseAt = i.latestShare, now.Add(settleTime)
	}
}

// SetTolerance sets the tolerance from changed settings.
func (i *Issuer) SetTolerance(now time.Time, t Tolerance) {
	i.advance(now)
	if t == i.tolerance {
		return
	}
	i.fillAll(now)
	i.tolerance = t
	i.fillAll(now)
	i.restartPaces(now)
}

// advance handles the time since the last call.
func (i *Issuer) advance(now time.Time) {
	if stopped := now.Sub(i.calledAt) - maxCallGap; stopped > 0 && !i.calledAt.IsZero() {
		i.resume(now, stopped)
	}
	i.calledAt = later(i.calledAt, now)
	if !i.raiseAt.IsZero() && !now.Before(i.raiseAt) {
		i.applyShare(now, i.raisedShare)
	}
}

// resume handles the end of a time in which the process was stopped. The buckets don't fill
// in that time and lose what another issuer may have granted, as far as they hold more than a
// new issuer would.
//
// Views agree after settleTime that this entry is back, or that another one is the issuer. The
// successor may have been replaced by this entry again within that time, without this entry
// learning of either change, and then grants for another settleTime. So the buckets settle for
// twice that time.
func (i *Issuer) resume(now time.Time, stopped time.Duration) {
	i.fillAll(i.calledAt)
	i.resumedAt = now
	settled := now.Add(2 * settleTime)
	for _, b := range i.buckets {
		start := min(b.level, i.tolerance.start(b.limit))
		b.level = max(start, b.level-b.limit.Rate*stopped.Seconds())
		b.filledAt, b.fillFrom = now, settled
		b.borrowed = 0 // the bucket didn't fill for maxCallGap or longer, which is as much
	}
	i.restartPaces(now.Add(settleTime))
	i.steadySince = settled
	clear(i.transfers.held)
	if !i.raiseAt.IsZero() {
		i.raiseAt = now.Add(settleTime)
	}
}

func (i *Issuer) fillAll(now time.Time) {
	for _, b := range i.buckets {
		i.fill(now, b)
	}
}

func (i *Issuer) fill(now time.Time, b *bucket) {
	slow := slowFill{share: i.tolerance.settleShare(b.limit), resumeShare: i.tolerance.resumeShare(b.limit), resumeUntil: i.resumedAt.Add(settleTime), lent: true}
	if i.restarted {
		slow = slowFill{share: restartShare}
	}
	b.fill(now, i.share, i.capacity(b), slow)
}

func (i *Issuer) capacity(b *bucket) float64 { return i.tolerance.capacity(b.limit, i.share) }

// restartPaces restarts the pacing of all buckets after a time in which grants are unknown.
func (i *Issuer) restartPaces(now time.Time) {
	for _, b := range i.buckets {
		i.restartPace(now, b)
	}
}

func (i *Issuer) restartPace(from time.Time, b *bucket) {
	b.restartPace(from, i.tolerance.capacity(b.limit, 1), i.tolerance.pacedRate(b.limit))
}

// Grant answers an ask. since is when this entry became the issuer of the account in its own
// view.
func (i *Issuer) Grant(now time.Time, asker string, since time.Time, a Ask) Grant {
	i.advance(now)
	g := Grant{Account: a.Account, Sequence: a.Sequence}
	if i.share <= 0 {
		g.NotIssuer = true
		return g
	}
	g.KnowsLate = true
	b := i.bucket(now, since, a)
	filled := b.level
	s, repeated := b.asker(asker, a.Sequence)
	if repeated {
		if s.grant.Sequence == a.Sequence {
			g = s.grant
		}
		return g
	}
	b.usedAt, s.askedAt = now, now
	g.Starts = b.starts.exchange(now, a.Starts)
	if b.limit.Unlimited() {
		g.Tokens, g.Late = a.Wanted+a.Extra, a.Late
	} else {
		returned := min(i.settle(now, b, s, a), s.extraOnTime)
		s.extraOnTime = 0
		i.grant(now, b, s, a, &g)
		// Only now, since the requests of this ask tell nothing of when those of them that are
		// refused may return.
		b.demand.record(now, a.Wanted+a.Refused-returned, demandSpan(b.limit))
	}
	b.spent += filled - b.level
	s.grant = g
	return g
}

// grant grants tokens: for requests on time first, then for late ones what the bucket holds
// beyond the reserve, then in advance. There is no reserve while no entry asks on time. Only requests
// on time are granted by the pacing time. With a share under 1 there is no pacing, because the other
// part of a partition would pace too.
func (i *Issuer) grant(now time.Time, b *bucket, s *asker, a Ask, g *Grant) {
	capacity, paced := i.capacity(b), i.tolerance.pacedRate(b.limit)
	g.Tokens = b.take(a.Wanted, 0)
	b.movePace(now, float64(g.Tokens), paced)
	if i.share >= 1 {
		g.Tokens += b.takePaced(now, a.Wanted-g.Tokens, paced)
	}
	kept := 0.0
	if a.Wanted+a.Refused > 0 || b.demand.present(now, demandSpan(b.limit)) {
		kept = i.tolerance.reserve(b.limit, capacity)
	}
	g.Late = b.take(a.Late, kept)
	b.movePace(now, float64(g.Late), paced)
	missing, missingLate := max(a.Wanted-g.Tokens, 0), max(a.Late-g.Late, 0)
	if missing+missingLate > 0 {
		if missing > 0 {
			kept = 0 // requests on time may use the reserve
		}
		g.RetryAfter, g.Interval = b.refuse(now, missing+missingLate+a.Refused+a.RefusedLate, i.returnRate(now, b), kept)
		g.Settling = now.Before(b.fillFrom) || b.borrowed > 0 || i.share < 1
		return
	}
	extra := b.grantExtra(now, s, a.Extra, capacity)
	b.movePace(now, float64(extra), paced)
	if a.Wanted > 0 { // tokens in advance of an entry with late requests only are for such ones
		b.demand.record(now, extra, demandSpan(b.limit))
		s.extraOnTime = extra
	}
	g.Tokens += extra
}

// returnRate returns the rate of the tokens that refused requests can expect: what requests on time
// leave, as those that return are late.
func (i *Issuer) returnRate(now time.Time, b *bucket) float64 {
	rate := b.limit.Rate * i.share
	if i.tolerance.Window <= 0 {
		return rate
	}
	return b.demand.lateRate(now, rate, demandSpan(b.limit))
}

// bucket returns the bucket of an account, filled, with the newest limit.
func (i *Issuer) bucket(now, since time.Time, a Ask) *bucket {
	b := i.buckets[a.Account]
	if b == nil {
		b = i.newBucket(now, since, a.Limit)
		i.buckets[a.Account] = b
	}
	i.fill(now, b)
	if l := a.Limit; l.Version > b.limit.Version {
		changed := l.Rate != b.limit.Rate || l.Burst != b.limit.Burst
		b.limit = l
		if changed {
			b.borrowed = min(b.borrowed, i.tolerance.settleShare(l)*l.Rate*settleTime.Seconds())
			i.restartPace(now, b)
		}
	}
	if since.After(b.since) {
		b.since, b.fillFrom = since, later(b.fillFrom, since.Add(settleTime))
		b.level = min(b.level, i.tolerance.start(b.limit))
		i.restartPace(since, b)
		b.spent, b.accepted = 0, false
	}
	i.applyHeld(now, a.Account, b)
	return b
}

// newBucket returns the bucket of an account as if it had been in use since this entry became
// the issuer or last changed its share.
func (i *Issuer) newBucket(now, since time.Time, l Limit) *bucket {
	steady := later(since.Add(settleTime), i.steadySince)
	b := &bucket{
		limit: l, level: i.tolerance.start(l), since: since, fillFrom: steady,
		filledAt: earlier(later(since, i.steadySince), now), usedAt: now, askers: make(map[string]*asker),
	}
	i.restartPace(later(since, i.steadySince), b)
	return b
}

// asker returns the state of an entry, and whether its ask is a retransmission or older than
// its last one. An old ask of an earlier process may be granted, which costs the account tokens
// but never exceeds its bucket.
func (b *bucket) asker(name string, sequence uint64) (s *asker, repeated bool) {
	s = b.askers[name]
	if s == nil {
		s = &asker{}
		b.askers[name] = s
		return s, false
	}
	return s, sequence <= s.grant.Sequence && s.grant.Sequence-sequence < restartGap
}

// settle applies what an ask says of earlier tokens. Tokens are given back only if this issuer
// granted them, as an ask may reach two issuers. The capacity may be that of a new, lower limit.
func (i *Issuer) settle(now time.Time, b *bucket, s *asker, a Ask) (returned int) {
	returned = min(max(a.Returned, 0), s.extra)
	b.settleExtra(s)
	lowest := -b.limit.Rate*maxDebtTime.Seconds() - b.limit.Burst
	level := max(b.level+float64(returned-max(a.Debt, 0)), lowest)
	b.movePace(now, b.level-level, i.tolerance.pacedRate(b.limit))
	b.level = min(level, i.capacity(b)-float64(b.extraTotal))
	return returned
}

// Tick forgets accounts and askers that are no longer used. It has to be called every 100 ms
// or more often: an Issuer that isn't called for maxCallGap assumes that the process was
// stopped.
func (i *Issuer) Tick(now time.Time) {
	i.advance(now)
	if now.Sub(i.sweptAt) < sweepInterval {
		return
	}
	i.sweptAt = now
	i.transfers.sweep(now)
	for name, b := range i.buckets {
		if now.Sub(b.usedAt) >= i.tolerance.keepTime() {
			delete(i.buckets, name)
			continue
		}
		for entry, s := range b.askers {
			if now.Sub(s.askedAt) >= forgetTime {
				delete(b.askers, entry)
			}
		}
	}
}

// IssuerStatus is the state of the bucket of one account.
type IssuerStatus struct {
	Account string
	Limit   Limit
	Tokens  float64 // negative if dispatches without a token exceed it
	Demand  float64 // requests on time per second, at all entries
	// PacedRate is the rate at which requests on time get tokens from PacedIn on, while the bucket
	// is empty; 0 if there is no pacing.
	PacedRate float64
	PacedIn   time.Duration
	Since     time.Time
	Askers    int // entries that have asked lately
}

// Status returns the buckets in use, by account.
func (i *Issuer) Status(now time.Time) (list []IssuerStatus) {
	i.advance(now)
	i.fillAll(now)
	for name, b := range i.buckets {
		s := IssuerStatus{Account: name, Limit: b.limit, Tokens: b.level, Demand: b.demand.rate(now, demandSpan(b.limit)), Since: b.since, Askers: len(b.askers)}
		if i.share >= 1 {
			s.PacedRate, s.PacedIn = i.tolerance.pacedRate(b.limit), max(b.paceAt.Sub(now), 0)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y IssuerStatus) int { return cmp.Compare(x.Account, y.Account) })
	return list
}
