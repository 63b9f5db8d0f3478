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
	maxPeers       = 4 // peers whose counts are kept for one fingerprint
)

// SuspectsConfig of Suspects. Zero fields take the defaults.
type SuspectsConfig struct {
	Crashes int           // crashed targets that lead to quarantine; default 2
	Window  time.Duration // a crash is forgotten after it; default 1 min
	Hold    time.Duration // length of a quarantine after its last crash; default 5 min
	Kept    int           // fingerprints kept, of each kind; default 1024
}

// Suspect is what one entry tells another of a fingerprint. Zero crashes say
// that the request was answered and is cleared.
type Suspect struct {
	Print   uint64
	Crashes int
	Age     time.Duration // since the last crash, or since it was cleared
}

// Suspects counts the targets that broke their connection under a request, by
// its fingerprint. A request that crashes whatever runs it would otherwise go,
// by retries and by its caller's resends under any key, from target to target
// until the service is gone. It is safe for concurrent use.
//
// Only crashes that follow on one another count: a dispatch that was under way
// when an earlier crash was noted counts with that one. So a place that fails
// with all its targets doesn't quarantine what many callers ask for, and a
// whole answer clears its fingerprint.
type Suspects struct {
	cfg   SuspectsConfig
	size  atomic.Int64
	mu    sync.Mutex
	known map[uint64]*list.Element
	loose *list.List // of *suspect, latest first, not in quarantine
	held  *list.List // of *suspect, latest first, in quarantine
}

type suspect struct {
	print   uint64
	targets []uint64 // hashes of the targets that crashed here
	last    time.Time
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

// Crash reports whether a failure in this stage may be the request's doing.
func (s Stage) Crash() bool {
	return s == StageSent || s == StageCut
}

// Crashed notes that target broke the connection under a request that was
// dispatched at began, and reports whether the request is in quarantine.
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

func (x *suspect) crash(target uint64, most int) {
	for _, t := range x.targets {
		if t == target {
			return
		}
	}
	if len(x.targets) < most {
		x.targets = append(x.targets, target)
	}
}

// Crashes returns how many targets a request has crashed, as far as is known here.
func (s *Suspects) Crashes(fp uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.known[fp]; e != nil {
		return e.Value.(*suspect).count()
	}
	return 0
}

// Quarantined returns how long a request stays in quarantine, 0 if it isn't.
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

// Answered clears a fingerprint: a target ran the request and lives. It reports whether
// anything was known of it.
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

func (x *suspect) count() int {
	n := len(x.targets)
	for _, p := range x.peers {
		n += p.crashes
	}
	return n
}

// take removes a fingerprint from the lists, or starts a new one when it is
// unknown or out of time.
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

// put files a fingerprint. Each list is bounded by itself, so that a storm of
// single crashes can't push a request out of its quarantine.
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
