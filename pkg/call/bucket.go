package call

import "sync/atomic"

// bucket is a token bucket that counts the current and the previous period separately, in
// parts of tokens. Both counts share one word, so that each update is atomic.
type bucket struct {
	state atomic.Uint64
}

// balance is the content of a bucket, in parts of tokens.
type saved struct {
	old   int64 // added in the previous period
	fresh int64 // added in the current period
}

const freshBits = 32

func (s saved) sum() int64 { return s.old + s.fresh }

func (s saved) pack() uint64 { return uint64(s.old)<<freshBits | uint64(s.fresh) }

func unpack(state uint64) saved {
	return saved{old: int64(state >> freshBits), fresh: int64(state & (1<<freshBits - 1))}
}

// update atomically replaces the balance by the result of step. It leaves the balance
// unchanged and returns false when step does.
func (b *bucket) change(step func(s saved) (saved, bool)) bool {
	for {
		state := b.state.Load()
		next, ok := step(unpack(state))
		if !ok {
			return false
		}
		if b.state.CompareAndSwap(state, next.pack()) {
			return true
		}
	}
}

func (b *bucket) sum() int64 { return unpack(b.state.Load()).sum() }

// add adds n parts to the current period, up to capacity in total. At the limit, parts of the
// previous period are dropped first.
func (b *bucket) fill(n, capacity int64) {
	b.change(func(s saved) (saved, bool) {
		s.fresh = min(s.fresh+n, capacity)
		s.old = min(s.old, capacity-s.fresh)
		return s, true
	})
}

// limit drops the parts above capacity, those of the previous period first.
func (b *bucket) trim(capacity int64) {
	b.change(func(s saved) (saved, bool) {
		s.old = min(s.old, max(capacity-s.fresh, 0))
		s.fresh = min(s.fresh, capacity)
		return s, true
	})
}

// take removes one token, from the previous period first. It returns false when the bucket
// holds less than one token.
func (b *bucket) drain() bool {
	return b.change(func(s saved) (saved, bool) {
		if s.sum() < tokenUnit {
			return s, false
		}
		fromPrevious := min(s.old, tokenUnit)
		s.old -= fromPrevious
		s.fresh -= tokenUnit - fromPrevious
		return s, true
	})
}

// startPeriod starts a period. What is left of the previous one expires.
func (b *bucket) age() {
	b.change(func(s saved) (saved, bool) { return saved{old: s.fresh}, true })
}
