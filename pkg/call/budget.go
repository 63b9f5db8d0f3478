package call

import "sync/atomic"

const (
	defaultShare  = 0.1
	defaultRerun  = 0.5
	defaultLevels = 1
	defaultBurst  = 10
	tokenUnit     = 1_000_000
)

// BudgetConfig of a Budget. Zero fields take the defaults.
type BudgetConfig struct {
	Share  float64 // second dispatches for each first one; default 0.1
	Rerun  float64 // part of Share for dispatches after one that may have run; default 0.5
	Levels int     // levels of a call tree that may use that part; default 1
	Burst  int     // second dispatches that can be saved up, per bucket; default 10
}

// Budget bounds the retries and hedges of one service to a share of its first
// dispatches, over the whole call tree. It is safe for concurrent use.
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
	clean    atomic.Int64
	levels   []atomic.Int64
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
	b := &Budget{cfg: cfg, levels: make([]atomic.Int64, cfg.Levels)}
	b.SetShare(cfg.Share)
	b.most.Store(int64(cfg.Burst) * tokenUnit)
	return b
}

// SetShare changes how many second dispatches there may be for each first one from now on; 0
// allows none but those that were saved up.
func (b *Budget) SetShare(share float64) {
	rerun := share * min(b.cfg.Rerun, 1)
	b.addClean.Store(int64((share - rerun) * tokenUnit))
	b.addRerun.Store(int64(rerun / float64(len(b.levels)) * tokenUnit))
}

// SetBurst changes how many second dispatches can be saved up, per bucket. What
// was saved beyond that is lost.
func (b *Budget) SetBurst(n int) {
	most := int64(max(n, 1)) * tokenUnit
	if b.most.Swap(most) <= most {
		return
	}
	trim(&b.clean, most)
	for i := range b.levels {
		trim(&b.levels[i], most)
	}
}

func trim(bucket *atomic.Int64, most int64) {
	for {
		old := bucket.Load()
		if old <= most || bucket.CompareAndSwap(old, most) {
			return
		}
	}
}

// Saved returns how many second dispatches are saved up in all buckets.
func (b *Budget) Saved() float64 {
	sum := b.clean.Load()
	for i := range b.levels {
		sum += b.levels[i].Load()
	}
	return float64(sum) / tokenUnit
}

// First counts a first dispatch. One that repeats an earlier run adds nothing.
func (b *Budget) First(depth, attempt int) {
	if attempt > 0 {
		return
	}
	b.fill(&b.clean, b.addClean.Load())
	if depth < len(b.levels) {
		b.fill(&b.levels[depth], b.addRerun.Load())
	}
}

// Take asks leave for a second dispatch; clean says that no earlier one can
// have run.
func (b *Budget) Take(depth, attempt int, clean bool) (t Token, ok bool) {
	if clean && drain(&b.clean) {
		return Token{bucket: cleanBucket}, true
	}
	if attempt > 0 || depth >= len(b.levels) || !drain(&b.levels[depth]) {
		return Token{}, false
	}
	return Token{bucket: cleanBucket + 1 + depth}, true
}

// Return gives back a token that was not used.
func (b *Budget) Return(t Token) {
	switch {
	case t.bucket == 0:
	case t.bucket == cleanBucket:
		b.fill(&b.clean, tokenUnit)
	default:
		b.fill(&b.levels[t.bucket-cleanBucket-1], tokenUnit)
	}
}

func (b *Budget) fill(bucket *atomic.Int64, n int64) {
	most := b.most.Load()
	for {
		old := bucket.Load()
		if old >= most {
			return
		}
		if bucket.CompareAndSwap(old, min(old+n, most)) {
			return
		}
	}
}

func drain(bucket *atomic.Int64) bool {
	for {
		old := bucket.Load()
		if old < tokenUnit {
			return false
		}
		if bucket.CompareAndSwap(old, old-tokenUnit) {
			return true
		}
	}
}
