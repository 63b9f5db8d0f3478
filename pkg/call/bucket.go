package call

import "sync/atomic"

// bucket holds the parts of tokens that were saved up, those of the present period apart
// from those of the one before. Both stand in one word, so that all steps are atomic.
type bucket struct {
	state atomic.Uint64
}

// saved is what a bucket holds, in parts of tokens.
type saved struct {
	old   int64
	fresh int64
}

const freshBits = 32

func (s saved) sum() int64 { return s.old + s.fresh }

func (s saved) pack() uint64 { return uint64(s.old)<<freshBits | uint64(s.fresh) }

func unpack(state uint64) saved {
	return saved{old: int64(state >> freshBits), fresh: int64(state & (1<<freshBits - 1))}
}

// change replaces what the bucket holds by what step makes of it; step reports false
// to leave it.
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

// fill adds to the bucket, which holds so much at the most. What is older makes room.
func (b *bucket) fill(n, most int64) {
	b.change(func(s saved) (saved, bool) {
		s.fresh = min(s.fresh+n, most)
		s.old = min(s.old, most-s.fresh)
		return s, true
	})
}

// trim takes away what is more than that, the older first.
func (b *bucket) trim(most int64) {
	b.change(func(s saved) (saved, bool) {
		s.old = min(s.old, max(most-s.fresh, 0))
		s.fresh = min(s.fresh, most)
		return s, true
	})
}

// drain takes one token, of the older ones first.
func (b *bucket) drain() bool {
	return b.change(func(s saved) (saved, bool) {
		if s.sum() < tokenUnit {
			return s, false
		}
		fromOld := min(s.old, tokenUnit)
		s.old -= fromOld
		s.fresh -= tokenUnit - fromOld
		return s, true
	})
}

// age begins a period: what was left of the one before the last is lost.
func (b *bucket) age() {
	b.change(func(s saved) (saved, bool) { return saved{old: s.fresh}, true })
}
