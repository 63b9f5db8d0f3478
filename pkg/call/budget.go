package call

import (
	"math/rand/v2"
	"sync/atomic"
)

const (
	defaultRetryShare      = 0.1
	defaultMayHaveRunShare = 0.5
	defaultLevels          = 1
	defaultBurst           = 10.0
	// tokenParts is the number of parts of a token, the unit of a bucket.
	tokenParts = 1_000_000
	// maxBurst is the largest capacity in tokens: a bucket stores its parts in 32 bits.
	maxBurst = 4000
)

// BudgetConfig configures a Budget. Zero fields take the defaults.
type BudgetConfig struct {
	RetryShare      float64 // extra dispatches per first dispatch; default 0.1
	MayHaveRunShare float64 // part of RetryShare for extra dispatches after one that may have run; default 0.5
	Levels          int     // levels of a call tree that may use MayHaveRunShare; default 1
	Burst           float64 // capacity of each bucket, in extra dispatches; default 10
	// Rand returns a random number from 0 to 1, excluding 1. It decides about parts of a
	// token, see Budget. It must be safe for concurrent use; default rand.Float64.
	Rand func() float64
}

// Budget limits the extra dispatches (retries and hedges) of one service to a share of
// its first dispatches, over the whole call tree. Unused tokens expire after the period
// that follows the one they were added in; the user of a Budget starts the periods. It is
// safe for concurrent use.
//
// A hedge, or a retry of a request that may have run, executes the call tree below it
// again. If each level could do so, the load would multiply with the depth. Therefore
// such an extra dispatch takes a token from the bucket of its own level, only the first
// Levels levels have a bucket, and a request that is itself such an extra dispatch gets
// no token. All levels together stay within MayHaveRunShare of RetryShare. A retry of a
// request that did not run adds no load below it, so it uses the rest of RetryShare, at
// any level. Only first dispatches fill the buckets, and the buckets start empty, so the
// limit holds from the first request on.
//
// A bucket with a capacity below one token can't save up a whole one. It gives a token
// with a probability equal to its content, and is empty after that. So many entries with
// little capacity each stay within the capacity of all together.
type Budget struct {
	cfg              BudgetConfig
	notRun           bucket       // for retries after dispatches that did not run
	mayHaveRun       []bucket     // per level, for extra dispatches after one that may have run
	notRunRefill     atomic.Int64 // parts added to notRun per first dispatch
	mayHaveRunRefill atomic.Int64 // parts added to each of mayHaveRun per first dispatch
	capacity         atomic.Int64 // of each bucket, in parts
}

// Token is the permission for one extra dispatch.
type Token struct {
	bucket int // 0: none; 1: notRun; 2 and above: mayHaveRun by level
}

const notRunBucket = 1

// NewBudget returns an empty budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.RetryShare <= 0 {
		cfg.RetryShare = defaultRetryShare
	}
	if cfg.MayHaveRunShare <= 0 {
		cfg.MayHaveRunShare = defaultMayHaveRunShare
	}
	if cfg.Levels <= 0 {
		cfg.Levels = defaultLevels
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	b := &Budget{cfg: cfg, mayHaveRun: make([]bucket, cfg.Levels)}
	b.SetRetryShare(cfg.RetryShare)
	b.capacity.Store(bucketCapacity(cfg.Burst))
	return b
}

// SetRetryShare sets how many extra dispatches each later first dispatch allows. With 0, only
// the tokens that are left can be used.
func (b *Budget) SetRetryShare(share float64) {
	mayHaveRun := share * min(b.cfg.MayHaveRunShare, 1)
	b.notRunRefill.Store(int64((share - mayHaveRun) * tokenParts))
	b.mayHaveRunRefill.Store(int64(mayHaveRun / float64(len(b.mayHaveRun)) * tokenParts))
}

// bucketCapacity returns the capacity of a bucket for n tokens, in parts of tokens.
func bucketCapacity(n float64) int64 { return int64(min(max(n, 0), maxBurst) * tokenParts) }

// SetBurst sets the capacity of each bucket, in extra dispatches, also below one. Tokens
// beyond it are dropped.
func (b *Budget) SetBurst(n float64) {
	capacity := bucketCapacity(n)
	if b.capacity.Swap(capacity) <= capacity {
		return
	}
	b.notRun.limit(capacity)
	for i := range b.mayHaveRun {
		b.mayHaveRun[i].limit(capacity)
	}
}

// StartPeriod ends the current period and starts the next one. Tokens that are older than
// the period that has ended expire. Otherwise an entry could spend tokens from requests of
// long ago on extra dispatches that its current requests don't warrant.
func (b *Budget) StartPeriod() {
	b.notRun.startPeriod()
	for i := range b.mayHaveRun {
		b.mayHaveRun[i].startPeriod()
	}
}

// Available returns the number of tokens in all buckets.
func (b *Budget) Available() float64 {
	sum := b.notRun.total()
	for i := range b.mayHaveRun {
		sum += b.mayHaveRun[i].total()
	}
	return float64(sum) / tokenParts
}

// CountFirst counts a first dispatch. It adds no tokens when attempt shows that the request
// may have run before.
func (b *Budget) CountFirst(depth, attempt int) {
	if attempt > 0 {
		return
	}
	b.notRun.add(b.notRunRefill.Load(), b.capacity.Load())
	if depth < len(b.mayHaveRun) {
		b.mayHaveRun[depth].add(b.mayHaveRunRefill.Load(), b.capacity.Load())
	}
}

// Take takes a token for an extra dispatch. notRun means that no earlier dispatch can have
// run.
func (b *Budget) Take(depth, attempt int, notRun bool) (t Token, ok bool) {
	capacity := b.capacity.Load()
	if notRun && b.notRun.take(capacity, b.cfg.Rand) {
		return Token{bucket: notRunBucket}, true
	}
	if attempt > 0 || depth >= len(b.mayHaveRun) || !b.mayHaveRun[depth].take(capacity, b.cfg.Rand) {
		return Token{}, false
	}
	return Token{bucket: notRunBucket + 1 + depth}, true
}

// Return puts back an unused token.
func (b *Budget) Return(t Token) {
	switch {
	case t.bucket == 0:
	case t.bucket == notRunBucket:
		b.notRun.add(tokenParts, b.capacity.Load())
	default:
		b.mayHaveRun[t.bucket-notRunBucket-1].add(tokenParts, b.capacity.Load())
	}
}
