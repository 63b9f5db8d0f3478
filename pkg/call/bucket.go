package call

import "sync/atomic"

// bucket is a token bucket that counts the current and the previous period separately, in
// parts of tokens. Both counts share one word, so that each update is atomic.
type bucket struct {
	state atomic.Uint64
}

// balance is the content of a bucket, in parts of tokens.
type balance struct {
	previous int64 // added in the previous period
	current  int64 // added in the current period
}

const currentBits = 32

func (s balance) total() int64 { return s.previous + s.current }

func (s balance) pack() uint64 { return uint64(s.previous)<<currentBits | uint64(s.current) }

func unpack(state uint64) balance {
	return balance{previous: int64(state >> currentBits), current: int64(state & (1<<currentBits - 1))}
}

// update atomically replaces the balance by the result of step. It leaves the balance
// unchanged and returns false when step does.
func (b *bucket) update(step func(s balance) (balance, bool)) bool {
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

func (b *bucket) total() int64 { return unpack(b.state.Load()).total() }

// add adds n parts to the current period, up to capacity in total. At the limit, parts of the
// previous period are dropped first.
func (b *bucket) add(n, capacity int64) {
	b.update(func(s balance) (balance, bool) {
		s.current = min(s.current+n, capacity)
		s.previous = min(s.previous, capacity-s.current)
		return s, true
	})
}

// limit drops the parts above capacity, those of the previous period first.
func (b *bucket) limit(capacity int64) {
	b.update(func(s balance) (balance, bool) {
		s.previous = min(s.previous, max(capacity-s.current, 0))
		s.current = min(s.current, capacity)
		return s, true
	})
}

// take removes one token, from the previous period first. It returns false when the bucket
// holds less than one token. If its capacity is less than that, take empties it and returns
// true with a probability equal to the content.
func (b *bucket) take(capacity int64, rand func() float64) bool {
	if capacity < tokenParts {
		content := b.empty()
		return content > 0 && rand()*tokenParts < float64(content)
	}
	return b.update(func(s balance) (balance, bool) {
		if s.total() < tokenParts {
			return s, false
		}
		fromPrevious := min(s.previous, tokenParts)
		s.previous -= fromPrevious
		s.current -= tokenParts - fromPrevious
		return s, true
	})
}

// empty removes all parts and returns their number.
func (b *bucket) empty() int64 { return unpack(b.state.Swap(0)).total() }

// startPeriod starts a period. The current one becomes the previous one, and what is left
// of the one before it expires.
func (b *bucket) startPeriod() {
	b.update(func(s balance) (balance, bool) { return balance{previous: s.current}, true })
}
