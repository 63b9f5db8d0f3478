package call

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultCrashes = 2
	defaultWindow  = time.Minute
	defaultHold    = 5 * time.Minute
	defaultKept    = 1024
	maxPeers       = 4 // peers whose crash counts are kept per fingerprint
)

// SuspectsConfig configures Suspects. Zero fields take the defaults.
type SuspectsConfig struct {
	Crashes int           // crashed targets that start a quarantine; default 2
	Window  time.Duration // time after which crashes expire; default 1 min
	Hold    time.Duration // duration of a quarantine after the last crash; default 5 min
	Kept    int           // limit of fingerprints in quarantine, and of the others; default 1024
}

// Suspect is the record of a fingerprint that entries exchange. Zero crashes mean
// that a target responded to the request, which clears it.
type Suspect struct {
	Print   uint64
	Crashes int
	Age     time.Duration // time since the last crash, or since it was cleared
}

// Suspects counts, by request fingerprint, the targets that broke their connection
// while they handled the request. Without it, a request that crashes every target
// would reach one target after the other until the service is down, by retries and by
// the caller sending it again under any idempotency key. It is safe for concurrent use.
//
// Only consecutive crashes count: a dispatch that was in flight when an earlier crash
// was recorded is counted as part of that crash. So a failure domain that fails with
// all its targets doesn't quarantine a popular request. A complete response clears
// the fingerprint.
type Suspects struct {
	cfg   SuspectsConfig
	size  atomic.Int64
	mu    sync.Mutex
	known map[uint64]*list.Element
	loose *list.List // of *suspect, not in quarantine, most recently changed first
	held  *list.List // of *suspect, in quarantine, most recently changed first
}

type suspect struct {
	print   uint64
	targets []uint64  // hashes of the targets whose crash this entry observed
	last    time.Time // of the last crash or clearing
	held    bool
	cleared bool
	peers   [maxPeers]peerCount
}

type peerCount struct {
	peer    uint64
	crashes int
}

// NewSuspects returns an empty table.
func NewSuspects(cfg SuspectsConfig) *Suspects {
	if cfg.Crashes <= 0 {
		cfg.Crashes = defaultCrashes
	}
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	if cfg.Hold <= 0 {
		cfg.Hold = defaultHold
	}
	if cfg.Kept <= 0 {
		cfg.Kept = defaultKept
	}
	return &Suspects{cfg: cfg, known: make(map[uint64]*list.Element), loose: list.New(), held: list.New()}
}

// MayBeCrash reports whether a failure at this stage may be caused by the request.
func (s Stage) Crash() bool {
	return s == StageSent || s == StageCut
}

// RecordCrash records that target broke the connection of a request that was dispatched
// at began, and reports whether the request is in quarantine.
func (s *Suspects) Crashed(now time.Time, fp uint64, target string, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.take(now, fp)
	if x.count() == 0 || !began.Before(x.last) {
		x.crash(xxhash.Sum64String(target), s.cfg.Crashes)
		x.cleared = false
		x.last = now
	}
	s.put(x)
	return x.held
}

// addTarget adds a crashed target, up to limit different targets.
func (x *suspect) crash(target uint64, limit int) {
	for _, t := range x.targets {
		if t == target {
			return
		}
	}
	if len(x.targets) < limit {
		x.targets = append(x.targets, target)
	}
}

// CrashCount returns the number of target crashes known for a request.
func (s *Suspects) Crashes(fp uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.known[fp]; e != nil {
		return e.Value.(*suspect).count()
	}
	return 0
}

// QuarantineRemaining returns the remaining quarantine of a request, or 0 if it isn't in
// quarantine.
func (s *Suspects) Quarantined(now time.Time, fp uint64) time.Duration {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.known[fp]
	if e == nil {
		return 0
	}
	x := e.Value.(*suspect)
	if !x.held {
		return 0
	}
	return max(s.cfg.Hold-now.Sub(x.last), 0)
}

// RecordResponse clears a fingerprint because a target ran the request and is still alive.
// It reports whether the fingerprint had crashes.
func (s *Suspects) Answered(now time.Time, fp uint64) bool {
	if s.size.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.known[fp]
	if e == nil || e.Value.(*suspect).cleared {
		return false
	}
	s.clear(s.take(now, fp), now)
	return true
}

func (s *Suspects) clear(x *suspect, at time.Time) {
	*x = suspect{print: x.print, cleared: true, last: at}
	s.put(x)
}

// crashCount returns the crashes that this entry observed plus those that peers reported.
func (x *suspect) count() int {
	n := len(x.targets)
	for _, p := range x.peers {
		n += p.crashes
	}
	return n
}

// detach removes a fingerprint from the table and returns it. It returns a new one when
// the fingerprint is unknown or expired.
func (s *Suspects) take(now time.Time, fp uint64) *suspect {
	e := s.known[fp]
	if e == nil {
		return &suspect{print: fp}
	}
	x := e.Value.(*suspect)
	s.remove(e)
	if s.expired(now, x) {
		return &suspect{print: fp}
	}
	return x
}

func (s *Suspects) expired(now time.Time, x *suspect) bool {
	if x.held {
		return now.Sub(x.last) >= s.cfg.Hold
	}
	return now.Sub(x.last) >= s.cfg.Window
}

func (s *Suspects) remove(e *list.Element) {
	x := e.Value.(*suspect)
	if x.held {
		s.held.Remove(e)
	} else {
		s.loose.Remove(e)
	}
	delete(s.known, x.print)
	s.size.Store(int64(len(s.known)))
}

// insert adds a fingerprint to the list that matches its crash count, and removes the
// oldest one beyond MaxFingerprints. Each list has its own limit, so that many single
// crashes can't evict a request from quarantine.
func (s *Suspects) put(x *suspect) {
	x.held = x.count() >= s.cfg.Crashes
	l := s.loose
	if x.held {
		l = s.held
	}
	if old := s.known[x.print]; old != nil {
		s.remove(old)
	}
	s.known[x.print] = l.PushFront(x)
	if l.Len() > s.cfg.Kept {
		s.remove(l.Back())
	}
	s.size.Store(int64(len(s.known)))
}
