package member

import (
	"iter"
	"math/rand/v2"
	"time"
)

// Table is one entry's view of all entries. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	rand      *rand.Rand
	self      *record
	records   map[string]*record
	sorted    []*record // by name; nil after a change of the names
	sendQueue []*record // changes that still have to be sent
	groups    *groups   // nil after any change of a record
	digests   digests
	suspects  int // number of suspects
	byDigest  map[uint32]*record
	seeds     []string
	revisions Revisions

	exchanges        map[uint64]exchange
	lastExchange     uint64 // last exchange ID assigned
	checks           map[ID]*indirectCheck
	unverified       []Entry  // suspicions to verify, oldest first
	missingAddresses []string // names to request from the sender of the current message

	leavingNotices *rumours[leavingNoticeKey, LeavingNotice]
	crashReports   *rumours[crashReportKey, CrashReport]

	lastEvent        time.Time // time of the last event
	nextRound        time.Time // time of the next round
	roundCount       int
	joined           bool
	followedUp       bool // a follow-up was sent in this round
	deadReturning    bool // the last dead entry that was retried has responded
	superseded       bool
	pushBudget       tokenBucket
	pushPending      bool      // changes or rumours wait to be pushed
	viewChanged      bool      // by the current event
	revisionsChanged bool      // by the current event
	lastReceived     time.Time // time of the last message
	actions          []Action
}

// record is an entry with the state of sending it to others.
type record struct {
	Entry
	digest        uint64 // of the entry; XORed into the table's digests
	hash          uint64 // of the name
	bucket        int
	sendsLeft     int       // messages that will still include the entry
	suspectDigest uint32    // digest of the entry before it was suspected
	suspectSends  int       // messages that will still include suspectDigest
	queued        bool      // the record is in the send queue
	withAddresses bool      // messages include the addresses
	deadline      time.Time // of a suspicion
}

// retryRounds is the number of rounds between attempts to contact a dead entry or an
// unknown seed.
const retryRounds = 10

// pausePeriods is the gap between events, in periods, above which this process itself
// must have been paused.
const pausePeriods = 3

// New returns a table that holds only the entry itself.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:            cfg,
		rand:           cfg.Rand,
		records:        make(map[string]*record),
		byDigest:       make(map[uint32]*record),
		seeds:          cfg.Seeds,
		exchanges:      make(map[uint64]exchange),
		checks:         make(map[ID]*indirectCheck),
		leavingNotices: newLeavingNotices(),
		crashReports:   newCrashReports(),
		pushBudget:     tokenBucket{tokens: pushBurst},
	}
	t.self = t.add(cfg.Self)
	t.announce(t.self)
	return t
}

// Next returns the time of the next Tick.
func (t *Table) Next() time.Time {
	next := t.nextRound
	for _, r := range t.records {
		if r.State == Suspect && r.deadline.Before(next) {
			next = r.deadline
		}
	}
	return next
}

// Handle processes an event and returns the resulting actions.
func (t *Table) Handle(now time.Time, ev Event) []Action {
	t.actions = nil
	t.viewChanged, t.revisionsChanged = false, false
	t.missingAddresses = nil
	t.detectPause(now)
	t.dispatch(now, ev)
	t.pushChanges(now)
	if t.viewChanged {
		t.emit(ViewChanged{})
	} else if t.revisionsChanged {
		t.emit(RevisionsChanged{})
	}
	return t.actions
}

// Self returns this entry's incarnation.
func (t *Table) Self() ID { return t.self.ID }

// Entries returns all entries ordered by name, including this one.
func (t *Table) Entries() iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for _, r := range t.byName() {
			if !yield(r.Entry) {
				return
			}
		}
	}
}

// LastReceived returns the time of the last message from another entry.
func (t *Table) LastReceived() time.Time { return t.lastReceived }

func (t *Table) dispatch(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Tick:
		t.tick(now)
	case Request:
		t.handleRequest(now, ev.Message)
	case Response:
		t.handleResponse(now, ev)
	case ExchangeFailed:
		t.handleFailure(now, ev.ExchangeID)
	case IndirectAck:
		t.handleIndirectAck(now, ev)
	case SetSeeds:
		t.seeds = ev.Addresses
		t.nextRound = now
	case SetRevisions:
		t.setRevisions(ev.Revisions)
	case Ready:
		t.updateSelf(now, func(e *Entry) { e.Ready = true })
	case SetCondition:
		if !ev.Condition.Equal(t.self.Condition) {
			t.updateSelf(now, func(e *Entry) { e.Condition = ev.Condition })
		}
	case Fetched:
		for _, e := range ev.Entries {
			t.merge(now, e, true)
		}
	case PushTo:
		t.pushTo(now, ev.Names)
	case PushNow:
		t.pushPending = true
	case SpreadRumours:
		t.startRumours(now, ev.Rumours)
	case Leave:
		t.updateSelf(now, func(e *Entry) { e.State = Leaving })
	case Depart:
		t.depart(now)
	}
}

// detectPause detects that this process was paused. Timeouts of that time don't show
// that other entries failed: counting them would declare half of the entries dead after
// each pause. It therefore ends all exchanges and restarts the suspicion timeouts.
func (t *Table) detectPause(now time.Time) {
	gap := now.Sub(t.lastEvent)
	paused := !t.lastEvent.IsZero() && gap > pausePeriods*t.cfg.Period
	t.lastEvent = now
	if !paused {
		return
	}
	clear(t.exchanges)
	clear(t.checks)
	for _, r := range t.records {
		if r.State == Suspect {
			r.deadline = now.Add(t.suspicionTimeout())
		}
	}
}

// updateSelf changes this entry's own state and pushes it.
func (t *Table) updateSelf(now time.Time, change func(*Entry)) {
	e := t.self.Entry
	change(&e)
	e.Sequence++
	e.Since = now
	t.setEntry(t.self, e)
	t.enqueue(t.self, false)
	t.pushPending = true
}

func (t *Table) depart(now time.Time) {
	t.updateSelf(now, func(e *Entry) { e.State = Left })
	t.pushBudget.tokens = pushBurst
}

func (t *Table) setRevisions(revisions Revisions) {
	if revisions == t.revisions {
		return
	}
	t.revisions = revisions
	t.setEntryRevisions(t.self, revisions)
	t.pushPending = true
}

func (t *Table) setEntryRevisions(r *record, revisions Revisions) {
	t.revisionsChanged = t.revisionsChanged || revisions != r.Revisions
	r.Revisions = revisions
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }
