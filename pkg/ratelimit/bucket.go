package ratelimit

import (
	"math"
	"time"
)

const (
	// settleTime is how long a bucket fills slowly after its entry became the issuer. Views
	// of the live entries differ for up to a second, in which the previous issuer may still grant.
	settleTime = time.Second
	// maxSettleShare is the largest share of the rate at which a bucket fills in settleTime.
	// Most accounts use less than two thirds of their limit, so that few callers are refused
	// after the loss of an issuer.
	maxSettleShare = 0.4
	// restartShare is that share after a restart of all entries. The tokens of the 0.6 s or more
	// that a restart takes cover several issuers at once while the views differ.
	restartShare = 0.8
	// maxRetryAfter bounds the time after which a refused caller returns. Under a constant
	// overload the schedule of returning callers would grow without limit.
	maxRetryAfter = 3 * time.Second
	// slackParts is the number of parts of the slack. A bucket may hold one part beyond the
	// burst, and a new issuer starts with one part. The rest is for debts that are not
	// reported yet.
	slackParts = 4
	// maxDebtTime bounds a negative bucket: entries whose answers are lost report a debt
	// more than once, and the account must recover from that soon.
	maxDebtTime = time.Second
	// restartGap is the distance of sequence numbers from which on a lower one is of another
	// process with the asker's name, whose clock was set back. Numbers start at the start time
	// in ns, and a process sends far fewer asks while an issuer remembers it.
	restartGap = 1_000_000
)

// bucket is the token bucket of one account. Grants never exceed its capacity plus its rate
// times the elapsed time.
type bucket struct {
	limit      Limit
	level      float64
	filledAt   time.Time
	since      time.Time // when the entry became the issuer
	fillFrom   time.Time // it fills slowly before
	borrowed   float64   // tokens filled before fillFrom that are still to be paid back
	nextReturn time.Time // when the next refused caller is to return
	paceAt     time.Time // pacing time: when the grants so far are paid for at the paced rate
	demand     demand    // of requests on time
	usedAt     time.Time
	spent      float64   // tokens taken since the entry became the issuer
	releasedAt time.Time // when it was last passed on
	accepted   bool      // a transfer was applied since then
	askers     map[string]*asker
	starts     issuerStarts
	extras     []extra // by expiry
	extraTotal int     // tokens granted in advance that may be unspent
}

// asker is an entry that has asked for tokens of an account.
type asker struct {
	grant      Grant // the last one
	askedAt    time.Time
	extra      int // tokens granted in advance that may be unspent
	extraUntil time.Time
	// extraOnTime are the tokens in advance of the last grant that count as demand on time.
	extraOnTime int
}

// extra is a grant in advance.
type extra struct {
	asker *asker
	until time.Time
}

// capacity returns the number of tokens that a bucket holds at most.
//
// Tokens are dispatched within TokenLifetime of their grant, so a window sees at most
// capacity + Rate × (Window + TokenLifetime) of one issuer. What the tolerance leaves beyond
// that bounds the capacity, less two parts of the slack for new issuers in the window. Buckets
// of two parts of a partition together hold no more than one bucket would, unless that is less
// than a token: a bucket that never holds a whole token would refuse all requests.
func (t Tolerance) capacity(l Limit, share float64) float64 {
	part := t.Slack / slackParts
	full := l.Burst + min(part, t.spare(l)-2*part)
	return max(share*full, 1)
}

// keepTime returns how long an unused bucket is kept. A bucket that is created later may be full, so
// the tokens of the former one must no longer be in the same window. Pacing times lie no further ahead.
func (t Tolerance) keepTime() time.Duration {
	return max(forgetTime, t.Window+settleTime+TokenLifetime)
}

// spare returns what the tolerance of a window leaves beyond the tokens of TokenLifetime.
func (t Tolerance) spare(l Limit) float64 {
	return t.Factor*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack - l.Rate*TokenLifetime.Seconds()
}

// settleShare returns the share of the rate at which the bucket of a new issuer fills for
// settleTime. The previous issuer may still grant at the full rate, so it is what the tolerance
// leaves beside the other parts of the slack.
func (t Tolerance) settleShare(l Limit) float64 {
	spare := t.spare(l) - (slackParts-1)*t.Slack/slackParts
	return min(max(spare/(l.Rate*settleTime.Seconds()), 0), maxSettleShare)
}

// resumeShare returns the share of the rate at which a bucket fills in the first settleTime after a
// stop of its process. A successor may still grant at the full rate and be replaced in the same
// window, so it is what the tolerance leaves beside the tokens of a new issuer.
func (t Tolerance) resumeShare(l Limit) float64 {
	spare := t.spare(l) - (slackParts-1)*t.Slack/slackParts
	return min(max(spare/(l.Rate*settleTime.Seconds())-t.settleShare(l), 0), maxSettleShare)
}

// start returns the number of tokens of a new issuer. It is no more than the bucket doesn't
// get in settleTime, so that a series of new issuers adds nothing.
func (t Tolerance) start(l Limit) float64 {
	return min(l.Burst, t.Slack/slackParts, max(l.Rate*settleTime.Seconds(), 1))
}

// slowFill is how a bucket fills before fillFrom.
type slowFill struct {
	share       float64   // of the rate
	resumeShare float64   // before resumeUntil
	resumeUntil time.Time // settleTime after the end of a stop of the process
	lent        bool      // the tokens have to be paid back
}

// fill adds the tokens of the time that has passed.
//
// Tokens of the time before fillFrom are lent: the bucket gets no more than those of a new issuer
// in settleTime, and fills by maxSettleShare of the rate less afterwards until they are paid back.
// So two settle times after its begin, an issuer has granted no more than one that grants nothing
// in settleTime. Apart from their start tokens, such issuers never exceed the rate together, however often they change, as
// each one starts to fill when its predecessor has ended. Only the last issuer of a window can owe
// tokens, which the tolerance covers.
func (b *bucket) fill(now time.Time, share, capacity float64, slow slowFill) {
	b.fillSlowly(now, share, slow)
	rate := share * b.limit.Rate
	settled := max(now.Sub(later(b.filledAt, b.fillFrom)), 0).Seconds()
	paid := min(b.borrowed, maxSettleShare*rate*settled)
	b.borrowed -= paid
	b.level += rate*settled - paid
	b.filledAt = later(b.filledAt, now)
	for len(b.extras) > 0 && !now.Before(b.extras[0].until) {
		if x := b.extras[0]; x.asker.extraUntil.Equal(x.until) {
			b.settleExtra(x.asker)
		}
		b.extras = b.extras[1:]
	}
	b.level = min(b.level, capacity-float64(b.extraTotal))
}

// fillSlowly adds the tokens of the time before fillFrom.
func (b *bucket) fillSlowly(now time.Time, share float64, slow slowFill) {
	until := earlier(now, b.fillFrom)
	resuming := max(earlier(until, slow.resumeUntil).Sub(b.filledAt), 0).Seconds()
	settling := max(until.Sub(later(b.filledAt, slow.resumeUntil)), 0).Seconds()
	rate := share * b.limit.Rate
	tokens := rate * (slow.resumeShare*resuming + slow.share*settling)
	if slow.lent {
		tokens = min(tokens, max(slow.share*b.limit.Rate*settleTime.Seconds()-b.borrowed, 0))
		b.borrowed += tokens
	}
	b.level += tokens
}

// settleExtra ends the count of an asker's tokens in advance.
func (b *bucket) settleExtra(s *asker) {
	b.extraTotal -= s.extra
	s.extra, s.extraUntil = 0, time.Time{}
}

// grantExtra grants tokens in advance, at most an eighth of a bucket that is half full.
func (b *bucket) grantExtra(now time.Time, s *asker, wanted int, capacity float64) int {
	if wanted <= 0 || b.level < capacity/2 {
		return 0
	}
	n := min(wanted, wholeTokens(b.level/8))
	if n > 0 {
		s.extra, s.extraUntil = n, now.Add(TokenLifetime)
		b.extras = append(b.extras, extra{asker: s, until: s.extraUntil})
		b.extraTotal += n
		b.level -= float64(n)
	}
	return n
}

// refuse reserves times to return for refused requests, one token for a late request apart.
// refused includes the requests that the entry is expected to refuse by itself before it asks
// again. reserve is what late requests leave in the bucket.
func (b *bucket) refuse(now time.Time, refused int, rate, reserve float64) (retryAfter, interval time.Duration) {
	ready := later(now, b.fillFrom).Add(tokenTime(reserve+1-b.level, rate))
	latest := now.Add(maxRetryAfter)
	first := earlier(later(ready, b.nextReturn), latest)
	b.nextReturn = earlier(first.Add(tokenTime(float64(refused), rate)), latest)
	return first.Sub(now), tokenTime(1, rate)
}

// take takes whole tokens down to a level.
func (b *bucket) take(wanted int, level float64) int {
	n := max(min(wanted, wholeTokens(b.level-level)), 0)
	b.level -= float64(n)
	return n
}

// wholeTokens returns the number of whole tokens of a level. A limit may be larger than an
// integer.
func wholeTokens(level float64) int { return int(min(max(level, 0), math.MaxInt32)) }

// tokenTime returns the time in which tokens are filled in, at most maxRetryAfter.
func tokenTime(tokens, rate float64) time.Duration {
	return time.Duration(min(max(tokens, 0)/rate*float64(time.Second), float64(maxRetryAfter)))
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}
