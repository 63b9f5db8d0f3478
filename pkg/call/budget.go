package call

import "sync/atomic"

const (
	defaultShare  = 0.1
	defaultRerun  = 0.5
	defaultLevels = 1
	defaultBurst  = 10
	// tokenParts is the number of parts of a token, the unit of a bucket.
	tokenUnit = 1_000_000
	// maxBurst is the largest capacity in tokens: a bucket stores its parts in 32 bits.
	mostBurst = 4000
)

// BudgetConfig configures a Budget. Zero fields take the defaults.
type BudgetConfig struct {
	Share  float64 // extra dispatches per first dispatch; default 0.1
	Rerun  float64 // part of RetryShare for extra dispatches after one that may have run; default 0.5
	Levels int     // levels of a call tree that may use MayHaveRunShare; default 1
	Burst  int     // capacity of each bucket, in extra dispatches; default 10
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
type Budget struct {
	cfg      BudgetConfig
	clean    bucket       // for retries after dispatches that did not run
	levels   []bucket     // per level, for extra dispatches after one that may have run
	addClean atomic.Int64 // parts added to notRun per first dispatch
	addRerun atomic.Int64 // parts added to each of mayHaveRun per first dispatch
	most     atomic.Int64 // of each bucket, in parts
}

// Token is the permission for one extra dispatch.
type Token struct {
	bucket int // 0: none; 1: notRun; 2 and above: mayHaveRun by level
}

const cleanBucket = 1

// NewBudget returns an empty budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Share <= 0 {
		cfg.Share = defaultShare
	}
	if cfg.Rerun <= 0 {
		cfg.Rerun = defaultRerun
	}
	if cfg.Levels <= 0 {
		cfg.Levels = defaultLevels
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	b := &Budget{cfg: cfg, levels: make([]bucket, cfg.Levels)}
	b.SetShare(cfg.Share)
	b.most.Store(burst(cfg.Burst))
	return b
}

// SetRetryShare sets how many extra dispatches each later first dispatch allows. With 0, only
// the available tokens can be used.
func (b *Budget) SetShare(share float64) {
	mayHaveRun := share * min(b.cfg.Rerun, 1)
	b.addClean.Store(int64((share - mayHaveRun) * tokenUnit))
	b.addRerun.Store(int64(mayHaveRun / float64(len(b.levels)) * tokenUnit))
}

// bucketCapacity returns the capacity of a bucket for n tokens, in parts of tokens.
func burst(n int) int64 { return int64(min(max(n, 1), mostBurst)) * tokenUnit }

// SetBurst sets the capacity of each bucket, in extra dispatches. Tokens beyond it
// are dropped.
func (b *Budget) SetBurst(n int) {
	capacity := burst(n)
	if b.most.Swap(capacity) <= capacity {
		return
	}
	b.clean.trim(capacity)
	for i := range b.levels {
		b.levels[i].trim(capacity)
	}
}

// StartPeriod starts a period. Tokens added before the period that ends expire. Otherwise an
// entry could spend tokens from requests of long ago on extra dispatches that its current
// requests don't warrant.
func (b *Budget) Age() {
	b.clean.age()
	for i := range b.levels {
		b.levels[i].age()
	}
}

// Available returns the number of tokens in all buckets.
func (b *Budget) Saved() float64 {
	sum := b.clean.sum()
	for i := range b.levels {
		sum += b.levels[i].sum()
	}
	return float64(sum) / tokenUnit
}

// CountFirst counts a first dispatch. It adds no tokens when attempt shows that the request
// may have run before.
func (b *Budget) First(depth, attempt int) {
	if attempt > 0 {
		return
	}
	b.clean.fill(b.addClean.Load(), b.most.Load())
	if depth < len(b.levels) {
		b.levels[depth].fill(b.addRerun.Load(), b.most.Load())
	}
}

// Take takes a token for an extra dispatch. notRun means that no earlier dispatch can have
// run.
func (b *Budget) Take(depth, attempt int, notRun bool) (t Token, ok bool) {
	if notRun && b.clean.drain() {
		return Token{bucket: cleanBucket}, true
	}
	if attempt > 0 || depth >= len(b.levels) || !b.levels[depth].drain() {
		return Token{}, false
	}
	return Token{bucket: cleanBucket + 1 + depth}, true
}

// Return puts back an unused token.
func (b *Budget) Return(t Token) {
	switch {
	case t.bucket == 0:
	case t.bucket == cleanBucket:
		b.clean.fill(tokenUnit, b.most.Load())
	default:
		b.levels[t.bucket-cleanBucket-1].fill(tokenUnit, b.most.Load())
	}
}
