package claim

import (
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Config bounds a Table.
type Config struct {
	Self      ring.Ident
	Start     time.Time     // when this incarnation started
	Retention time.Duration // how long a key is remembered
	Keys      int           // most keys that are remembered
	Bytes     int           // most bytes of answers that are kept
	Body      int           // most bytes of one answer that is kept
	Late      time.Duration // longest delay of a message between entries
}

// Default gives the bounds of an entry: a million keys and 256 MB of answers.
func Default(self ring.Ident, start time.Time) Config {
	return Config{
		Self:      self,
		Start:     start,
		Retention: 24 * time.Hour,
		Keys:      1_000_000,
		Bytes:     256 << 20,
		Body:      64 << 10,
		Late:      2 * time.Minute,
	}
}

// Table is the state of one replica. It isn't safe for concurrent use.
type Table struct {
	cfg      Config
	ring     uint64
	slots    map[uint64]*slot // by hash of the name
	hash     func(name) uint64
	keys     int
	services map[string]string // one copy of each service's name
	oldest   *slot
	newest   *slot
	bytes    int
	dropped  withdrawals
}

type name struct {
	service string
	key     string
}

// slot holds the claims of a key. There is more than one only after records
// were copied from replicas that had accepted different claims.
type slot struct {
	name
	held
	more  []held
	prev  *slot
	next  *slot
	chain *slot // another key of the same hash
}

type held struct {
	id     string        // tells the fingerprint and the holder too
	at     time.Duration // since the start of the table
	answer *Answer
}

// New makes an empty table that accepts nothing before it has a ring.
func New(cfg Config) *Table {
	return &Table{
		cfg:      cfg,
		hash:     hash,
		slots:    make(map[uint64]*slot),
		services: make(map[string]string),
		dropped:  withdrawals{ids: make(map[string]struct{})},
	}
}

// Adopt sets the ring revision in force. A lower one is not taken.
func (t *Table) Adopt(revision uint64) {
	t.ring = max(t.ring, revision)
}

// Len gives the number of remembered keys.
func (t *Table) Len() int {
	return t.keys
}

// Bytes gives the size of the kept answers.
func (t *Table) Bytes() int {
	return t.bytes
}

// Claim decides on a claim.
//
// One that was made under another ring revision is refused: its majority would
// be counted over other replicas than those of a claim that is made now, the
// two would not meet, and the key would run twice. One that is meant for
// another incarnation is refused because that one's records are gone.
func (t *Table) Claim(now time.Time, a Ask) Reply {
	t.expire(now)
	switch {
	case a.To != t.cfg.Self:
		return Reply{Verdict: WrongIncarnation, Ring: t.ring}
	case a.Ring != t.ring || t.ring == 0:
		return Reply{Verdict: WrongRing, Ring: t.ring}
	case t.dropped.has(a.ID):
		return Reply{Verdict: Held, Ring: t.ring, ID: a.ID, By: a.By}
	}
	if s := t.find(name{a.Service, a.Key}); s != nil {
		return t.judge(s, a)
	}
	if t.keys >= t.cfg.Keys {
		return Reply{Verdict: Full, Ring: t.ring}
	}
	t.add(a.Service, a.Key, held{id: a.ID, at: t.since(now)})
	return Reply{Verdict: Accepted, Ring: t.ring, ID: a.ID, By: a.By}
}

// Recall answers a claim while this replica may accept none, as it is out of
// contact with the ring: it gives the outcome of a run that it knows of. All
// else is no vote, as the others may have gone on without this replica.
func (t *Table) Recall(now time.Time, a Ask) Reply {
	t.expire(now)
	if a.To != t.cfg.Self {
		return Reply{Verdict: WrongIncarnation, Ring: t.ring}
	}
	if s := t.find(name{a.Service, a.Key}); s != nil && a.Ring == t.ring {
		if r := t.judge(s, a); r.Verdict == Settled {
			return r
		}
	}
	return Reply{Verdict: WrongRing, Ring: t.ring}
}

func (t *Table) judge(s *slot, a Ask) Reply {
	mark, by := parseID(s.id)
	r := Reply{Ring: t.ring, ID: s.id, By: by}
	switch {
	case mark != a.Print && len(s.more) == 0:
		r.Verdict = OtherPrint
	case s.answer != nil:
		r.Verdict = Settled
		r.Answer = s.answer
	case s.id == a.ID && len(s.more) == 0:
		r.Verdict = Accepted
	default:
		r.Verdict = Held
	}
	return r
}

// Settle records the outcome of a claim or withdraws it, and tells whether the
// claim was known. An outcome is never withdrawn: a withdrawal that arrives
// after it comes from a message that was late.
func (t *Table) Settle(now time.Time, st Settlement) (known bool) {
	t.expire(now)
	if st.To != t.cfg.Self {
		return false
	}
	s := t.find(name{st.Service, st.Key})
	if st.Withdraw {
		t.dropped.add(t.since(now), st.ID)
		return s != nil && t.withdraw(s, st.ID)
	}
	if st.Answer == nil || st.Answer.Outcome == call.NotRun {
		return false
	}
	if s == nil {
		h := held{id: st.ID, at: t.since(now), answer: t.keep(st.Answer)}
		t.add(st.Service, st.Key, h)
		return false
	}
	return t.settle(s, st.ID, st.Answer)
}

// settle drops the key's other claims: none of them can have a majority.
func (t *Table) settle(s *slot, id string, a *Answer) (known bool) {
	if s.answer != nil {
		return s.id == id
	}
	h := s.held
	for _, m := range s.more {
		if m.id == id {
			h = m
		}
	}
	known = h.id == id
	if !known {
		h.id = id
	}
	h.answer = t.keep(a)
	s.held = h
	s.more = nil
	return known
}

func (t *Table) withdraw(s *slot, id string) (known bool) {
	if s.answer != nil {
		return s.id == id
	}
	if s.id == id {
		if len(s.more) == 0 {
			t.remove(s)
			return true
		}
		s.held = s.more[0]
		s.more = s.more[1:]
		return true
	}
	for i, m := range s.more {
		if m.id == id {
			s.more = append(s.more[:i:i], s.more[i+1:]...)
			return true
		}
	}
	return false
}

// Take adds records that another replica copied. Where both know a claim, the
// outcome counts; where they know different ones, both are held, so that the
// key stays closed until each is withdrawn. Copies come in beyond Keys too: a
// copy that is refused would be a run that is forgotten.
func (t *Table) Take(now time.Time, records []Record) {
	t.expire(now)
	for _, r := range records {
		if r.Age < t.cfg.Retention && !t.dropped.has(r.ID) {
			t.take(now, r)
		}
	}
}

func (t *Table) take(now time.Time, r Record) {
	s := t.find(name{r.Service, r.Key})
	if s == nil {
		h := held{id: r.ID, at: t.since(now) - r.Age}
		if r.Answer != nil {
			h.answer = t.keep(r.Answer)
		}
		t.add(r.Service, r.Key, h)
		return
	}
	if s.answer != nil || (r.Answer == nil && s.knows(r.ID)) {
		return
	}
	if !s.knows(r.ID) {
		s.more = append(s.more, held{id: r.ID, at: t.since(now) - r.Age})
	}
	if r.Answer != nil {
		t.settle(s, r.ID, r.Answer)
	}
}

func (s *slot) knows(id string) bool {
	if s.id == id {
		return true
	}
	for _, m := range s.more {
		if m.id == id {
			return true
		}
	}
	return false
}

// Records gives all that is known, oldest key first.
func (t *Table) Records(now time.Time) (out []Record) {
	t.expire(now)
	out = make([]Record, 0, t.keys)
	for s := t.oldest; s != nil; s = s.next {
		out = append(out, t.record(now, s, s.held))
		for _, m := range s.more {
			out = append(out, t.record(now, s, m))
		}
	}
	return out
}

func (t *Table) record(now time.Time, s *slot, h held) Record {
	mark, by := parseID(h.id)
	return Record{
		Claim:  Claim{Service: s.service, Key: s.key, Print: mark, ID: h.id, By: by},
		Age:    t.since(now) - h.at,
		Answer: h.answer,
	}
}

func (t *Table) since(now time.Time) time.Duration {
	return now.Sub(t.cfg.Start)
}
