package ratelimit

import "time"

const (
	// paceLag is how far a pacing time may lie in the past. It lets asks that come some
	// milliseconds apart use the whole rate, and an idle account saves up no more than that.
	paceLag = 20 * time.Millisecond
	// paceRounding covers two tokens: the fraction of one that the bucket holds when it counts as
	// empty, and the last paced one, which moves the pacing time beyond the present.
	paceRounding = 2
	// maxPaceTime keeps pacing times of tiny rates within the range of a duration.
	maxPaceTime = time.Hour
)

// pacedRate returns the rate at which an account that always asks for more gets tokens, so that
// a window holds Rate × Window + Burst of them. It is 0 if there is no pacing.
//
// Beside the tokens of a window at this rate, the tolerance has to cover those of TokenLifetime
// and paceLag, and what a new issuer grants while its predecessor still paces. If it leaves less,
// the rate is lower. At a rate of at most Limit.Rate, pacing grants nothing.
func (t Tolerance) pacedRate(l Limit) float64 {
	if l.Unlimited() || t.Window <= 0 {
		return 0
	}
	window := t.Window.Seconds()
	allowed := (l.Rate*window+l.Burst)*(1+t.Factor) + t.Slack
	settling := t.settleShare(l) * l.Rate * settleTime.Seconds()
	others := settling + (slackParts-1)*t.Slack/slackParts + paceRounding
	rate := min(l.Rate+l.Burst/window, (allowed-others)/(t.Window+TokenLifetime+paceLag).Seconds())
	if rate <= l.Rate {
		return 0
	}
	return rate
}

// movePace moves the pacing time on by granted tokens, or back by tokens given back.
func (b *bucket) movePace(now time.Time, tokens, rate float64) {
	if rate > 0 && tokens != 0 {
		b.raisePace(now)
		b.paceAt = b.paceAt.Add(paceTime(tokens, rate))
	}
}

func (b *bucket) raisePace(now time.Time) { b.paceAt = later(b.paceAt, now.Add(-paceLag)) }

// restartPace sets the pacing time as if the whole capacity had been granted at the end of the
// settle time that begins at from. Other issuers may have granted tokens until then. Since the
// last paced grant an issuer has granted at most capacity + Rate × time, so the pacing time of
// all grants together is not later.
func (b *bucket) restartPace(from time.Time, capacity, rate float64) {
	if rate > 0 {
		b.paceAt = later(b.paceAt, from.Add(settleTime+paceTime(capacity, rate)))
	}
}

// takePaced returns how many of the wanted tokens the pacing time allows, and moves it on. The
// caller has taken all whole tokens of the bucket: what it grants after the last paced token of a
// window is then at most its rate.
func (b *bucket) takePaced(now time.Time, wanted int, rate float64) (n int) {
	if wanted <= 0 || rate <= 0 || b.level < 0 {
		return 0
	}
	b.raisePace(now)
	if b.paceAt.After(now) {
		return 0
	}
	n = min(wanted, wholeTokens(now.Sub(b.paceAt).Seconds()*rate)+1)
	b.movePace(now, float64(n), rate)
	return n
}

func paceTime(tokens, rate float64) time.Duration {
	return time.Duration(min(tokens/rate, maxPaceTime.Seconds()) * float64(time.Second))
}
