package member

import (
	"iter"
	"math/rand/v2"
	"time"
)

// Table is what one entry knows of all entries. It is not safe for use by
// several goroutines.
type Table struct {
	cfg      Config
	rand     *rand.Rand
	self     *record
	records  map[string]*record
	sorted   []*record // by name; nil after a change of the names
	hot      []*record // whose spread goes on
	groups   *groups   // nil after a change of who can be asked
	sums     sums
	suspects int // entries in that state
	bySum    map[uint32]*record
	seeds    []string
	marks    Marks

	exchanges map[uint64]exchange
	exchange  uint64 // last number given out
	checks    map[ID]*check
	doubts    []Entry // accusations to verify, oldest first
	wants     []string

	stopping *rumours[stoppingKey, Stopping]
	crashers *rumours[crasherKey, Crasher]

	handled    time.Time // time of the last event
	round      time.Time // time of the next round
	rounds     int
	joined     bool
	followed   bool // a follow-up was sent in this round
	returning  bool // the last dead entry that was retried answered
	superseded bool
	push       budget
	news       bool // something to push
	changed    bool
	marked     bool
	heard      time.Time // time of the last message
	actions    []Action
}

// record is an entry with the state of its spread.
type record struct {
	Entry
	sum      uint64 // its part in the digests
	hash     uint64 // of the name
	bucket   int
	sends    int       // messages that will still carry it
	was      uint32    // digest of the statement by which it was accused
	accuses  int       // messages that will still carry that
	hot      bool      // it is among those whose spread goes on
	full     bool      // messages carry its addresses too
	deadline time.Time // of a suspicion
}

// Rounds between tries of a dead entry or of an unknown seed.
const retryRounds = 10

// A gap between events that is this many periods long means that the process
// itself was paused.
const stalledPeriods = 3

// New gives a table that knows the entry itself.
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

// Next gives the time of the next Tick.
func (t *Table) Next() time.Time {
	next := t.round
	for _, r := range t.records {
		if r.State == Suspect && r.deadline.Before(next) {
			next = r.deadline
		}
	}
	return next
}

// Handle takes an event and gives the actions that follow from it.
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

// Self gives this entry's incarnation.
func (t *Table) Self() ID { return t.self.ID }

// Entries gives what is known of each entry, by name, this one among them.
func (t *Table) Entries() iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for _, r := range t.byName() {
			if !yield(r.Entry) {
				return
			}
		}
	}
}

// Heard is when the last message came from any other entry.
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

// resume notices that this process was paused. Its timers and the missing
// answers of that time say nothing about the others: blaming them would declare
// half of the system dead at each pause.
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

// revise changes what this entry says of itself.
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

func (t *Table) revised(m Marks) {
	if m == t.marks {
		return
	}
	t.marks = m
	t.hearMarks(t.self, m)
	t.news = true
}

func (t *Table) hearMarks(from *record, m Marks) {
	t.marked = t.marked || m != from.Marks
	from.Marks = m
}

func (t *Table) act(a Action) { t.actions = append(t.actions, a) }
