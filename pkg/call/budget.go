package call

import "sync/atomic"

const (
	defaultShare  = 0.1
	defaultRerun  = 0.5
	defaultLevels = 1
	defaultBurst  = 10
	tokenUnit     = 1_000_000
	// mostBurst is what fits into a bucket.
	mostBurst = 4000
)

// BudgetConfig of a Budget. Zero fields take the defaults.
type BudgetConfig struct {
	Share  float64 // second dispatches for each first one; default 0.1
	Rerun  float64 // part of Share for dispatches after one that may have run; default 0.5
	Levels int     // levels of a call tree that may use that part; default 1
	Burst  int     // second dispatches that can be saved up, per bucket; default 10
}

// Budget bounds the retries and hedges of one service to a share of its first
// dispatches, over the whole call tree. What is saved up ages by periods, which its user
// begins. It is safe for concurrent use.
//
// A retry of a request that may have run, and a hedge, runs the tree below it
// again, and each level could do so. So these draw on a bucket of their own
// level, only the first Levels levels have one, and a request that is itself
// such a retry gets none: all levels together stay within Rerun of Share. A
// retry of what surely did not run adds nothing below and draws on the rest of
// Share at any level. First dispatches alone fill the buckets, which start
// empty, so the share holds from the first request on.
type Budget struct {
	cfg      BudgetConfig
	clean    bucket
	levels   []bucket
	addClean atomic.Int64
	addRerun atomic.Int64
	most     atomic.Int64
}

// Token is leave for one second dispatch.
type Token struct {
	bucket int // 0 none, 1 clean, then the levels
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

// SetShare changes how many second dispatches there may be for each first one from now on; 0
// allows none but those that were saved up.
func (b *Budget) SetShare(share float64) {
	rerun := share * min(b.cfg.Rerun, 1)
	b.addClean.Store(int64((share - rerun) * tokenUnit))
	b.addRerun.Store(int64(rerun / float64(len(b.levels)) * tokenUnit))
}

// burst is what a bucket may hold, in parts of tokens.
func burst(n int) int64 { return int64(min(max(n, 1), mostBurst)) * tokenUnit }

// SetBurst changes how many second dispatches can be saved up, per bucket. What
// was saved beyond that is lost.
func (b *Budget) SetBurst(n int) {
	most := burst(n)
	if b.most.Swap(most) <= most {
		return
	}
	b.clean.trim(most)
	for i := range b.levels {
		b.levels[i].trim(most)
	}
}

// Age begins a period. What was saved up before the one that ends is lost: an entry that
// had requests long ago would else keep leave for repeats that no requests of now warrant.
func (b *Budget) Age() {
	b.clean.age()
	for i := range b.levels {
		b.levels[i].age()
	}
}

// Saved returns how many second dispatches are saved up in all buckets.
func (b *Budget) Saved() float64 {
	sum := b.clean.sum()
	for i := range b.levels {
		sum += b.levels[i].sum()
	}
	return float64(sum) / tokenUnit
}

// First counts a first dispatch. One that repeats an earlier run adds nothing.
func (b *Budget) First(depth, attempt int) {
	if attempt > 0 {
		return
	}
	b.clean.fill(b.addClean.Load(), b.most.Load())
	if depth < len(b.levels) {
		b.levels[depth].fill(b.addRerun.Load(), b.most.Load())
	}
}

// Take asks leave for a second dispatch; clean says that no earlier one can
// have run.
func (b *Budget) Take(depth, attempt int, clean bool) (t Token, ok bool) {
	if clean && b.clean.drain() {
		return Token{bucket: cleanBucket}, true
	}
	if attempt > 0 || depth >= len(b.levels) || !b.levels[depth].drain() {
		return Token{}, false
	}
	return Token{bucket: cleanBucket + 1 + depth}, true
}

// Return gives back a token that was not used.
func (b *Budget) Return(t Token) {
	switch {
	case t.bucket == 0:
	case t.bucket == cleanBucket:
		b.clean.fill(tokenUnit, b.most.Load())
	default:
		b.levels[t.bucket-cleanBucket-1].fill(tokenUnit, b.most.Load())
	}
}
