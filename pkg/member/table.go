package member

import (
	"iter"
	"math/rand/v2"
	"time"
)

// Table is one entry's view of all entries. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	rand     *rand.Rand
	self     *record
	records  map[string]*record
	sorted   []*record // by name; nil after a change of the names
	hot      []*record // changes that still have to be sent
	groups   *groups   // nil after any change of a record
	sums     sums
	suspects int // number of suspects
	bySum    map[uint32]*record
	seeds    []string
	marks    Marks

	exchanges map[uint64]exchange
	exchange  uint64 // last exchange ID assigned
	checks    map[ID]*check
	doubts    []Entry  // suspicions to verify, oldest first
	wants     []string // names to request from the sender of the current message

	stopping *rumours[stoppingKey, Stopping]
	crashers *rumours[crasherKey, Crasher]

	handled    time.Time // time of the last event
	round      time.Time // time of the next round
	rounds     int
	joined     bool
	followed   bool // a follow-up was sent in this round
	returning  bool // the last dead entry that was retried has responded
	superseded bool
	push       budget
	news       bool      // changes or rumours wait to be pushed
	changed    bool      // by the current event
	marked     bool      // by the current event
	heard      time.Time // time of the last message
	actions    []Action
}

// record is an entry with the state of sending it to others.
type record struct {
	Entry
	sum      uint64 // of the entry; XORed into the table's digests
	hash     uint64 // of the name
	bucket   int
	sends    int       // messages that will still include the entry
	was      uint32    // digest of the entry before it was suspected
	accuses  int       // messages that will still include suspectDigest
	hot      bool      // the record is in the send queue
	full     bool      // messages include the addresses
	deadline time.Time // of a suspicion
}

// retryRounds is the number of rounds between attempts to contact a dead entry or an
// unknown seed.
const retryRounds = 10

// pausePeriods is the gap between events, in periods, above which this process itself
// must have been paused.
const stalledPeriods = 3

// New returns a table that holds only the entry itself.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:       cfg,
		rand:      cfg.Rand,
		records:   make(map[string]*record),
		bySum:     make(map[uint32]*record),
		seeds:     cfg.Seeds,
		exchanges: make(map[uint64]exchange),
		checks:    make(map[ID]*check),
		stopping:  newStopping(),
		crashers:  newCrashers(),
		push:      budget{tokens: pushBurst},
	}
	t.self = t.add(cfg.Self)
	t.announce(t.self)
	return t
}

// Next returns the time of the next Tick.
func (t *Table) Next() time.Time {
	next := t.round
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
	t.changed, t.marked = false, false
	t.wants = nil
	t.resume(now)
	t.dispatch(now, ev)
	t.pushNews(now)
	if t.changed {
		t.act(Changed{})
	} else if t.marked {
		t.act(Marked{})
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
func (t *Table) Heard() time.Time { return t.heard }

func (t *Table) dispatch(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Tick:
		t.tick(now)
	case Request:
		t.request(now, ev.Message)
	case Answer:
		t.answer(now, ev)
	case NoAnswer:
		t.noAnswer(now, ev.Exchange)
	case Reached:
		t.reached(now, ev)
	case Seeds:
		t.seeds = ev.Addresses
		t.round = now
	case Revised:
		t.revised(ev.Marks)
	case Ready:
		t.revise(now, func(e *Entry) { e.Ready = true })
	case Feel:
		if ev.Condition != t.self.Condition {
			t.revise(now, func(e *Entry) { e.Condition = ev.Condition })
		}
	case Fetched:
		for _, e := range ev.Entries {
			t.learn(now, e, true)
		}
	case News:
		t.news = true
	case Tell:
		t.tell(now, ev.Rumours)
	case Leave:
		t.revise(now, func(e *Entry) { e.State = Leaving })
	case Depart:
		t.depart(now)
	}
}

// detectPause detects that this process was paused. Timeouts of that time don't show
// that other entries failed: counting them would declare half of the entries dead after
// each pause. It therefore ends all exchanges and restarts the suspicion timeouts.
func (t *Table) resume(now time.Time) {
	gap := now.Sub(t.handled)
	paused := !t.handled.IsZero() && gap > stalledPeriods*t.cfg.Period
	t.handled = now
	if !paused {
		return
	}
	clear(t.exchanges)
	clear(t.checks)
	for _, r := range t.records {
		if r.State == Suspect {
			r.deadline = now.Add(t.suspicion())
		}
	}
}

// updateSelf changes this entry's own state and pushes it.
func (t *Table) revise(now time.Time, change func(*Entry)) {
	e := t.self.Entry
	change(&e)
	e.Sequence++
	e.Since = now
	t.put(t.self, e)
	t.carry(t.self, false)
	t.news = true
}

func (t *Table) depart(now time.Time) {
	t.revise(now, func(e *Entry) { e.State = Left })
	t.push.tokens = pushBurst
}

func (t *Table) revised(revisions Marks) {
	if revisions == t.marks {
		return
	}
	t.marks = revisions
	t.hearMarks(t.self, revisions)
	t.news = true
}

func (t *Table) hearMarks(r *record, revisions Marks) {
	t.marked = t.marked || revisions != r.Marks
	r.Marks = revisions
}

func (t *Table) act(a Action) { t.actions = append(t.actions, a) }
