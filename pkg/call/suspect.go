package call

import (
	"container/list"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultCrashLimit      = 2
	defaultCrashWindow     = time.Minute
	defaultQuarantine      = 5 * time.Minute
	defaultMaxFingerprints = 1024
	maxPeers               = 16 // peers whose crash counts are kept per fingerprint
	maxBreaks              = 8  // broken connections that are kept per fingerprint until they are resolved
)

// SuspectsConfig configures Suspects. Zero fields take the defaults.
type SuspectsConfig struct {
	CrashLimit      int           // crashed targets that start a quarantine; default 2
	CrashWindow     time.Duration // time after which crashes expire; default 1 min
	Quarantine      time.Duration // duration of a quarantine after the last crash; default 5 min
	MaxFingerprints int           // limit of fingerprints in quarantine, and of the others; default 1024
}

// Suspect is the record of a fingerprint that entries exchange. Zero crashes mean
// that a target responded to the request, which clears it, unless dispatches were unanswered since.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
	Age         time.Duration // time since the last crash, or since it was cleared
	Unanswered  int           // unanswered dispatches in a row; CrashLimit if the request is held
	Trials      int           // unanswered trials since the request is held
	// Since and Last are the times since the first and the last of the unanswered dispatches.
	Since, Last time.Duration
	Answered    bool // targets had answered the request before
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
//
// Where nothing shows that targets have ended, dispatches without a response count in a row, and
// hold the request between trials (streak).
type Suspects struct {
	cfg           SuspectsConfig
	answers       answers
	size          atomic.Int64
	mu            sync.Mutex
	byFingerprint map[uint64]*list.Element
	watched       *list.List // of *suspect, neither in quarantine nor held, most recently changed first
	quarantined   *list.List // of *suspect, in quarantine or held, most recently changed first
}

type suspect struct {
	fingerprint uint64
	targets     []uint64 // hashes of the targets whose crash this entry observed
	breaks      []connectionBreak
	lastOwn     time.Time // of the last crash that this entry observed
	lastEvent   time.Time // of the last crash or clearing
	proven      bool      // CrashLimit targets have ended
	quarantined bool      // proven or held
	cleared     bool
	exported    bool // other entries may know of it
	peers       [maxPeers]peerCount
	streak      streak
}

// connectionBreak is a connection that a target broke, until it is known whether it crashed.
type connectionBreak struct {
	target    uint64
	began, at time.Time // of the dispatch, of the break
	trial     bool      // the request was held and sent as a trial, and the target was alive just before
}

type peerCount struct {
	peer    uint64
	crashes int
	last    time.Time // of the last of them
}

// simultaneous is the time within which the last crashes that different entries observed count
// as one. When all targets of a domain end, or entries are cut off from targets, a request that
// many callers send breaks at several entries at once.
const simultaneous = 150 * time.Millisecond

// NewSuspects returns an empty table.
func NewSuspects(cfg SuspectsConfig) *Suspects {
	if cfg.CrashLimit <= 0 {
		cfg.CrashLimit = defaultCrashLimit
	}
	if cfg.CrashWindow <= 0 {
		cfg.CrashWindow = defaultCrashWindow
	}
	if cfg.Quarantine <= 0 {
		cfg.Quarantine = defaultQuarantine
	}
	if cfg.MaxFingerprints <= 0 {
		cfg.MaxFingerprints = defaultMaxFingerprints
	}
	return &Suspects{cfg: cfg, byFingerprint: make(map[uint64]*list.Element), watched: list.New(), quarantined: list.New()}
}

// MayBeCrash reports whether a failure at this stage may be caused by the request.
func (s Stage) MayBeCrash() bool {
	return s == StageSent || s == StageCut
}

// RecordCrash records that target crashed under a request that was dispatched at began,
// and reports whether the request is in quarantine.
func (s *Suspects) RecordCrash(now time.Time, fp uint64, target string, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.detach(now, fp)
	x.countCrash(connectionBreak{target: xxhash.Sum64String(target), began: began, at: now}, s.cfg.CrashLimit)
	s.insert(x)
	return x.quarantined
}

// RecordBreak records that target broke the connection of a request that was dispatched at
// began. It counts as a crash once ConfirmCrash is called, unless a target responds to the
// request in the meantime.
func (s *Suspects) RecordBreak(now time.Time, fp uint64, target string, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.detach(now, fp)
	x.addBreak(connectionBreak{target: xxhash.Sum64String(target), began: began, at: now})
	if x.lastEvent.IsZero() {
		x.lastEvent = now
	}
	s.insert(x)
}

func (x *suspect) addBreak(b connectionBreak) {
	if len(x.breaks) < maxBreaks {
		x.breaks = append(x.breaks, b)
	}
}

// ConfirmCrash counts the connections that target broke as a crash, at the time of the break. It
// reports whether the request is in quarantine.
func (s *Suspects) ConfirmCrash(now time.Time, fp uint64, target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirm(now, fp, target, false)
}

// ConfirmTrial is like ConfirmCrash, for a target that has ended as only a trial has shown
// (FailedDispatch.Crashed). Then only trials count, and only for the fingerprint that was held: other
// requests with the same content may be sound.
func (s *Suspects) ConfirmTrial(now time.Time, fp uint64, target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirm(now, fp, target, true)
}

func (s *Suspects) confirm(now time.Time, fp uint64, target string, trialsOnly bool) bool {
	if s.byFingerprint[fp] == nil {
		return false
	}
	x := s.detach(now, fp)
	for _, b := range x.takeBreaks(xxhash.Sum64String(target)) {
		if b.trial || !trialsOnly {
			x.countCrash(b, s.cfg.CrashLimit)
		}
	}
	s.insert(x)
	return x.quarantined
}

// DismissCrash forgets the connections that target broke: it didn't crash.
func (s *Suspects) DismissCrash(fp uint64, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byFingerprint[fp]
	if e == nil {
		return
	}
	x := e.Value.(*suspect)
	x.takeBreaks(xxhash.Sum64String(target))
	if len(x.breaks) == 0 && x.crashCount() == 0 && x.streak.count() == 0 && !x.cleared {
		s.remove(e)
	}
}

// takeBreaks removes and returns the broken connections of a target.
func (x *suspect) takeBreaks(target uint64) (taken []connectionBreak) {
	x.breaks = slices.DeleteFunc(x.breaks, func(b connectionBreak) bool {
		if b.target == target {
			taken = append(taken, b)
		}
		return b.target == target
	})
	return taken
}

// countCrash counts a crash, unless the dispatch was in flight when an earlier one happened. A trial is
// the only dispatch of its entry.
func (x *suspect) countCrash(b connectionBreak, limit int) {
	if !b.trial && x.crashCount() > 0 && b.began.Before(x.lastEvent) {
		return
	}
	x.addTarget(b.target, limit)
	x.cleared = false
	x.lastOwn = latest(x.lastOwn, b.at)
	x.lastEvent = latest(x.lastEvent, b.at)
}

// addTarget adds a crashed target, up to limit different targets.
func (x *suspect) addTarget(target uint64, limit int) {
	for _, t := range x.targets {
		if t == target {
			return
		}
	}
	if len(x.targets) < limit {
		x.targets = append(x.targets, target)
	}
}

// LastEvent returns the time since the last crash, clearing or unanswered dispatch.
func (s Suspect) LastEvent() time.Duration {
	if s.Unanswered > 0 {
		return min(s.Age, s.Last)
	}
	return s.Age
}

// Empty reports whether no request is suspected.
func (s *Suspects) Empty() bool { return s.size.Load() == 0 }

// CrashCount returns the number of target crashes known for a request.
func (s *Suspects) CrashCount(fp uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byFingerprint[fp]; e != nil {
		return e.Value.(*suspect).crashCount()
	}
	return 0
}

// QuarantineRemaining returns the remaining quarantine of a request, or 0 if it isn't in
// quarantine. A held request is in none.
func (s *Suspects) QuarantineRemaining(now time.Time, fp uint64) time.Duration {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byFingerprint[fp]
	if e == nil {
		return 0
	}
	x := e.Value.(*suspect)
	if !x.proven {
		return 0
	}
	return max(s.cfg.Quarantine-now.Sub(x.lastEvent), 0)
}

// NoteAnswer remembers that a request was answered, by the fingerprint of its content. Requests that have
// been are held for shorter times.
func (s *Suspects) NoteAnswer(now time.Time, fp uint64) { s.answers.note(now, fp) }

// RecordResponse clears a fingerprint because a target ran the request and is still alive.
// It reports whether the fingerprint had crashes.
func (s *Suspects) RecordResponse(now time.Time, fp uint64) bool {
	if s.size.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byFingerprint[fp]
	if e == nil {
		return false
	}
	if x := e.Value.(*suspect); x.cleared && x.streak.count() == 0 {
		x.breaks = nil
		return false
	}
	x := s.detach(now, fp)
	if x.crashCount() == 0 && !x.exported {
		return false // only failed dispatches, which other entries don't know of
	}
	s.clear(x, now, streak{})
	return true
}

// clear forgets the crashes of a fingerprint; k is what remains of its streak.
func (s *Suspects) clear(x *suspect, at time.Time, k streak) {
	*x = suspect{fingerprint: x.fingerprint, cleared: true, exported: x.exported, lastEvent: at, streak: k}
	s.insert(x)
}

// crashCount returns the crashes that this entry observed plus those that peers reported. The
// last ones of several entries count once if they were simultaneous.
func (x *suspect) crashCount() (n int) {
	var last [maxPeers + 1]time.Time
	entries := 0
	count := func(crashes int, at time.Time) {
		if crashes == 0 {
			return
		}
		n += crashes
		last[entries] = at
		entries++
	}
	count(len(x.targets), x.lastOwn)
	for _, p := range x.peers {
		count(p.crashes, p.last)
	}
	return n - repeated(last[:entries])
}

// repeated returns how many of the times don't count, because an earlier one within simultaneous
// does. It sorts them.
func repeated(times []time.Time) (n int) {
	slices.SortFunc(times, time.Time.Compare)
	var first time.Time
	for _, t := range times {
		if t.Sub(first) < simultaneous {
			n++
			continue
		}
		first = t
	}
	return n
}

// detach removes a fingerprint from the table and returns it. It returns a new one when
// the fingerprint is unknown or expired.
func (s *Suspects) detach(now time.Time, fp uint64) *suspect {
	e := s.byFingerprint[fp]
	if e == nil {
		return &suspect{fingerprint: fp}
	}
	x := e.Value.(*suspect)
	s.remove(e)
	if s.expired(now, x) {
		return &suspect{fingerprint: fp}
	}
	return x
}

func (s *Suspects) expired(now time.Time, x *suspect) bool {
	if x.streak.held && now.Sub(x.streak.last) < s.holdTime(x.streak.trials) {
		return false
	}
	if x.proven {
		return now.Sub(x.lastEvent) >= s.cfg.Quarantine
	}
	return now.Sub(latest(x.lastEvent, x.streak.last)) >= s.cfg.CrashWindow
}

func (s *Suspects) remove(e *list.Element) {
	x := e.Value.(*suspect)
	if x.quarantined {
		s.quarantined.Remove(e)
	} else {
		s.watched.Remove(e)
	}
	delete(s.byFingerprint, x.fingerprint)
	s.size.Store(int64(len(s.byFingerprint)))
}

// insert adds a fingerprint to the list that matches its crash count, and removes the
// oldest one beyond MaxFingerprints. Each list has its own limit, so that many single
// crashes can't evict a request from quarantine.
func (s *Suspects) insert(x *suspect) {
	x.proven = x.crashCount() >= s.cfg.CrashLimit
	x.quarantined = x.proven || x.streak.held
	l := s.watched
	if x.quarantined {
		l = s.quarantined
	}
	if old := s.byFingerprint[x.fingerprint]; old != nil {
		s.remove(old)
	}
	s.byFingerprint[x.fingerprint] = l.PushFront(x)
	if l.Len() > s.cfg.MaxFingerprints {
		s.remove(l.Back())
	}
	s.size.Store(int64(len(s.byFingerprint)))
}
