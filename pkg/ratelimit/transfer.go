package ratelimit

import (
	"math"
	"time"
)

const (
	// holdTime is how long a transfer waits for its receiver to become the issuer in its own
	// view. Views of the live entries differ for up to a second.
	holdTime = time.Second
	// maxTaken bounds the senders and accounts whose last sequence numbers are remembered, and
	// with them the transfers that wait. It is several times the accounts of an installation.
	maxTaken = 1 << 12
)

// Reception is what became of a received transfer.
type Reception uint8

// Kinds of receptions.
const (
	Applied   Reception = iota + 1 // the bucket goes on at the full rate
	Lowered                        // the bucket was in use already; the lower level counts
	Held                           // this entry isn't the issuer yet
	Duplicate                      // the second copy, older than the last one, or too many
	Ignored                        // invalid or of a reduced share
)

var receptionNames = [...]string{"", "applied", "lowered", "held", "duplicate", "ignored"}

func (r Reception) String() string { return receptionNames[r] }

// transfers is the state of an Issuer that concerns transfers.
type transfers struct {
	// sequence is that of the last one that was sent. It is at least the time in ns, so that it
	// exceeds those of earlier processes with the entry's name.
	sequence uint64
	held     map[string]heldTransfer
	taken    map[transferKey]takenTransfer
	// applied and lowered count the held ones that were applied since the last call of
	// TakeHeldCounts.
	applied, lowered int
}

// heldTransfer is a transfer that was received before this entry became the issuer.
type heldTransfer struct {
	transfer Transfer
	at       time.Time
}

type transferKey struct{ from, account string }

type takenTransfer struct {
	sequence uint64
	at       time.Time
}

func newTransfers() transfers {
	return transfers{held: make(map[string]heldTransfer), taken: make(map[transferKey]takenTransfer)}
}

// Release ends the bucket of an account that this entry no longer issues. since is when it
// became the issuer. ok is false if the state isn't worth passing on: the bucket doesn't fill at
// the full rate, or other issuers may have granted tokens that it doesn't know of.
func (i *Issuer) Release(now time.Time, account string, l Limit, since time.Time) (t Transfer, ok bool) {
	i.advance(now)
	if i.share < 1 || i.tolerance.Window <= 0 || l.Unlimited() {
		return t, false
	}
	b := i.bucket(now, since, Ask{Account: account, Limit: l})
	b.level = max(b.level, b.lowest()) // the limit may be a new one
	if now.Before(b.fillFrom) || b.limit.Unlimited() {
		return t, false
	}
	i.transfers.sequence = max(i.transfers.sequence+1, uint64(now.UnixNano()))
	t = Transfer{
		Account: account, Limit: b.limit, Level: max(b.level-b.borrowed, b.lowest()), Pace: i.boundedTime(b.paceAt.Sub(now)), Return: i.boundedTime(b.nextReturn.Sub(now)),
		Share: i.share, Sequence: i.transfers.sequence,
	}
	// The bucket stays until it is swept, so that this entry gains no tokens if it becomes the
	// issuer again.
	b.level, b.borrowed, b.releasedAt = min(b.level, 0), 0, now // the receiver pays back
	return t, true
}

// lowest returns the level of a bucket with the largest debt.
func (b *bucket) lowest() float64 { return -b.limit.Rate*maxDebtTime.Seconds() - b.limit.Burst }

// boundedTime bounds a time of a transfer. None that matters is longer: buckets that aren't used for
// keepTime are dropped.
func (i *Issuer) boundedTime(d time.Duration) time.Duration {
	longest := i.tolerance.keepTime()
	return min(max(d, -longest), longest)
}

// Accept takes the bucket of an account from the entry that issued before. since is when this
// entry became the issuer in its own view; zero if it isn't the issuer. The transfer is then
// kept for holdTime, also while this entry may not grant.
func (i *Issuer) Accept(now, since time.Time, from string, t Transfer) Reception {
	// An issuer that isn't in use yet isn't called regularly, which would count as a stop.
	if !i.calledAt.IsZero() {
		i.advance(now)
	}
	switch {
	case i.tolerance.Window <= 0 || !t.usable():
		return Ignored
	case !i.transfers.take(now, from, t):
		return Duplicate
	case since.IsZero() || i.share <= 0: // without a share the bucket would hold one token
		return i.transfers.hold(now, t)
	}
	return i.apply(now, now, i.bucket(now, since, Ask{Account: t.Account, Limit: t.Limit}), t)
}

// usable reports whether a transfer is valid and of a bucket that filled at the full rate.
func (t Transfer) usable() bool {
	for _, x := range []float64{t.Limit.Rate, t.Limit.Burst, t.Level, t.Share} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
	}
	return t.Account != "" && t.Share >= 1 && !t.Limit.Unlimited() && t.Limit.Burst >= 0
}

// take records a transfer. It returns false if this one or a later one of the same sender and
// account was taken before. The numbers are compared by account, since datagrams overtake each
// other.
func (x *transfers) take(now time.Time, from string, t Transfer) bool {
	key := transferKey{from, t.Account}
	last, known := x.taken[key]
	if known && t.Sequence <= last.sequence || !known && len(x.taken) >= maxTaken {
		return false
	}
	x.taken[key] = takenTransfer{t.Sequence, now}
	return true
}

// hold keeps a transfer. Of transfers from two entries the lower level counts.
func (x *transfers) hold(now time.Time, t Transfer) Reception {
	h, ok := x.held[t.Account]
	if ok && now.Sub(h.at) <= holdTime {
		t.Level = min(t.Level, h.transfer.Level)
		t.Pace, t.Return = max(t.Pace, h.transfer.Pace), max(t.Return, h.transfer.Return)
	}
	x.held[t.Account] = heldTransfer{t, now}
	return Held
}

// applyHeld applies the transfer that waits for this entry to be the issuer, if there is one.
func (i *Issuer) applyHeld(now time.Time, account string, b *bucket) {
	h, ok := i.transfers.held[account]
	if !ok {
		return
	}
	delete(i.transfers.held, account)
	if h.transfer.Limit.Version > b.limit.Version {
		b.limit = h.transfer.Limit
	}
	if i.apply(now, h.at, b, h.transfer) == Applied {
		i.transfers.applied++
	} else {
		i.transfers.lowered++
	}
}

// apply applies a transfer that was received at a time. The bucket is filled up to now.
//
// While the receiver settles, the sender was the only other issuer: the bucket continues with the
// level of the sender less what the receiver has spent, and the time since the reception fills it.
// Otherwise the level isn't raised, since the transfer may be older than tokens that a third
// entry has granted: the process was stopped with the datagram in its socket, or the datagram
// was late. For the same reason the bucket goes on settling then.
func (i *Issuer) apply(now, receivedAt time.Time, b *bucket, t Transfer) Reception {
	pace := receivedAt.Add(i.boundedTime(t.Pace))
	b.nextReturn = later(b.nextReturn, earlier(receivedAt.Add(i.boundedTime(t.Return)), now.Add(maxRetryAfter)))
	settles := receivedAt.Before(b.since.Add(settleTime)) && b.since.Sub(receivedAt) <= holdTime && !now.Before(i.steadySince)
	if !settles || b.accepted {
		b.paceAt = later(b.paceAt, pace)
		b.level = max(min(b.level, t.Level), b.lowest())
		return Lowered
	}
	b.accepted = true
	b.paceAt = pace // it tells all grants of the sender, so the receiver need not assume any
	b.movePace(receivedAt, b.spent, i.tolerance.pacedRate(b.limit))
	b.level, b.borrowed = max(t.Level-b.spent, b.lowest()), 0
	b.filledAt, b.fillFrom = receivedAt, receivedAt
	i.fill(now, b)
	return Applied
}

// LastTransfer returns when a transfer of an account that this entry doesn't issue was sent, or
// was received and kept. ok is false if there was none lately.
func (i *Issuer) LastTransfer(account string) (at time.Time, ok bool) {
	if h, held := i.transfers.held[account]; held {
		return h.at, true
	}
	if b := i.buckets[account]; b != nil && !b.releasedAt.IsZero() {
		return b.releasedAt, true
	}
	return at, false
}

// TakeHeldCounts returns how many held transfers were applied, and how many have lowered a
// bucket, since the last call.
func (i *Issuer) TakeHeldCounts() (applied, lowered int) {
	applied, lowered = i.transfers.applied, i.transfers.lowered
	i.transfers.applied, i.transfers.lowered = 0, 0
	return applied, lowered
}

// sweep forgets transfers that are too old to be applied or repeated.
func (x *transfers) sweep(now time.Time) {
	for account, h := range x.held {
		if now.Sub(h.at) >= forgetTime {
			delete(x.held, account)
		}
	}
	for key, last := range x.taken {
		if now.Sub(last.at) >= forgetTime {
			delete(x.taken, key)
		}
	}
}
