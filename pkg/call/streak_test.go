package call

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// holdSim simulates entries that get a request in turn and tell each other of it.
type holdSim struct {
	entries  []*Suspects
	now      time.Time
	answers  func(entry int, now time.Time) bool // whether a dispatch is answered
	duration time.Duration                       // of a dispatch
	gossip   time.Duration                       // time between two exchanges of all entries
	told     time.Time
	pending  []pendingDispatch
	waiting  []arrival
	sent     []time.Time // dispatches
	refused  []time.Time
}

type pendingDispatch struct {
	entry int
	began time.Time
	trial time.Time // its reservation
}

const simPrint = 7

// rank returns a function that returns a rank.
func rank(n int) func() int { return func() int { return n } }

func newHoldSim(entries int, answers func(int, time.Time) bool) *holdSim {
	s := &holdSim{now: start, told: start, answers: answers, duration: 20 * time.Millisecond, gossip: 100 * time.Millisecond}
	for range entries {
		s.entries = append(s.entries, NewSuspects(SuspectsConfig{CrashLimit: 3}))
	}
	return s
}

// send sends the request through an entry. It waits for the result of a trial, where that may free
// it in a moment.
func (s *holdSim) send(entry int) { s.arrive(arrival{entry, s.now}) }

// arrival is a request that waits, or has just arrived.
type arrival struct {
	entry int
	at    time.Time
}

const simMaxWait = time.Second

func (s *holdSim) arrive(a arrival) {
	e := s.entries[a.entry]
	h := e.Hold(s.now, simPrint, rank(a.entry))
	var trial time.Time
	if h.Trial {
		h.Remaining = e.BeginTrial(s.now, simPrint)
		trial = s.now
	}
	switch {
	case h.Wait && s.now.Sub(a.at) < simMaxWait:
		s.waiting = append(s.waiting, a)
	case h.Remaining > 0:
		s.refused = append(s.refused, s.now)
	default:
		s.sent = append(s.sent, s.now)
		s.pending = append(s.pending, pendingDispatch{a.entry, s.now, trial})
	}
}

// advance moves the time on.
func (s *holdSim) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	for until := s.now.Add(d); s.now.Before(until); s.now = s.now.Add(step) {
		var left []pendingDispatch
		for _, p := range s.pending {
			if s.now.Sub(p.began) < s.duration {
				left = append(left, p)
				continue
			}
			s.end(p)
		}
		s.pending = left
		waiting := s.waiting
		s.waiting = nil
		for _, a := range waiting {
			s.arrive(a)
		}
		if s.now.Sub(s.told) >= s.gossip {
			s.told = s.now
			s.exchange()
		}
	}
}

func (s *holdSim) end(p pendingDispatch) {
	e := s.entries[p.entry]
	if s.answers(p.entry, s.now) {
		e.NoteAnswer(s.now, simPrint)
		e.RecordResponse(s.now, simPrint)
	} else {
		e.RecordFailure(s.now, simPrint, FailedDispatch{
			Target: strconv.Itoa(len(s.sent)), Stage: StageSent, Began: p.began, Trial: p.trial, Content: simPrint,
		})
	}
	e.EndTrial(s.now, simPrint, p.trial, true)
}

func (s *holdSim) exchange() {
	for i, from := range s.entries {
		list := from.Export(s.now, 10)
		for _, to := range s.entries {
			if to != from {
				to.Merge(s.now, strconv.Itoa(i), list)
			}
		}
	}
}

// lateDispatches returns the number of dispatches later than 3 s after the third.
func (s *holdSim) lateDispatches() (n int) {
	for _, at := range s.sent {
		if at.Sub(s.sent[2]) > 3*time.Second {
			n++
		}
	}
	return n
}

func neverAnswered(int, time.Time) bool { return false }

// No target ever answers a request, and nothing shows that targets have ended. Guards against a
// request that reaches targets without end.
func TestUnansweredRequest(t *testing.T) {
	tests := []struct {
		entries, copies int
		interval, day   time.Duration
	}{
		{1, 1, 80 * time.Millisecond, time.Hour},
		{3, 1, 80 * time.Millisecond, 10 * time.Minute},
		{3, 4, 320 * time.Millisecond, 10 * time.Minute},
		{14, 1, 300 * time.Millisecond, 100 * time.Second},
		{14, 1, 10 * time.Millisecond, 100 * time.Second},
		{40, 1, 100 * time.Millisecond, 100 * time.Second},
		{14, 1, 3 * time.Second, 100 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.entries, " entries, ", tt.copies, " copies each ", tt.interval), func(t *testing.T) {
			s := newHoldSim(tt.entries, neverAnswered)
			for n := 0; s.now.Sub(start) < tt.day; {
				for range tt.copies {
					s.send(n % tt.entries)
					n++
				}
				s.advance(tt.interval)
			}
			t.Logf("%d dispatches, %d late", len(s.sent), s.lateDispatches())
			qt.Assert(t, s.lateDispatches() <= 3, qt.IsTrue, qt.Commentf("%d late", s.lateDispatches()))
		})
	}
}

// All targets lose the connections of a request that they have answered before. Guards against a
// hold that outlasts the failure of the targets.
func TestAnsweredRequestIsFreed(t *testing.T) {
	for _, outage := range []time.Duration{700 * time.Millisecond, 4 * time.Second, time.Minute, 3 * answerMemory} {
		t.Run(outage.String(), func(t *testing.T) {
			from, to := start.Add(time.Second), start.Add(time.Second+outage)
			s := newHoldSim(3, func(_ int, now time.Time) bool { return now.Before(from) || !now.Before(to) })
			for n := 0; s.now.Before(to.Add(4 * time.Second)); n++ {
				s.send(n % 3)
				s.advance(15 * time.Millisecond)
			}
			for _, at := range s.refused {
				qt.Assert(t, at.Sub(to) < 2*time.Second, qt.IsTrue, qt.Commentf("refused %v after the failure", at.Sub(to)))
			}
		})
	}
}

// Targets recover from a failure while no request comes, and the first dispatches take long. Guards
// against requests that are refused beside a trial that waits for its target.
func TestAnsweredRequestBesideTrial(t *testing.T) {
	from, to := start.Add(time.Second), start.Add(3*time.Second)
	s := newHoldSim(3, func(_ int, now time.Time) bool { return now.Before(from) || !now.Before(to) })
	for n := 0; s.now.Before(to); n++ {
		s.send(n % 3)
		s.advance(15 * time.Millisecond)
	}
	s.advance(2 * time.Second)
	before := len(s.refused)
	s.duration = 700 * time.Millisecond
	for n := range 120 {
		s.send(n % 3)
		s.advance(15 * time.Millisecond)
	}
	qt.Assert(t, len(s.refused)-before, qt.Equals, 0)
}

// All entries are cut off from targets, and one of them stays so. Guards against requests that the others
// refuse for its sake.
func TestOneEntryDelaysNoTrialOfOthers(t *testing.T) {
	from, to := start.Add(time.Second), start.Add(3*time.Second)
	s := newHoldSim(3, func(entry int, now time.Time) bool {
		return now.Before(from) || entry != 0 && !now.Before(to)
	})
	for n := 0; s.now.Before(to.Add(8 * time.Second)); n++ {
		before := len(s.refused)
		s.send(n % 3)
		if n%3 != 0 && s.now.After(to.Add(2*time.Second)) {
			qt.Assert(t, len(s.refused), qt.Equals, before)
		}
		s.advance(15 * time.Millisecond)
	}
}

// A peer that is cut off from targets reports failed trials. Guards against an entry that they keep from
// sending its own.
func TestPeerDelaysNoTrial(t *testing.T) {
	c := qt.New(t)
	cut, s := NewSuspects(SuspectsConfig{CrashLimit: 3}), NewSuspects(SuspectsConfig{CrashLimit: 3})
	s.NoteAnswer(at(0), simPrint)
	for i := 1; i < 9; i++ {
		d := FailedDispatch{Target: "a", Stage: StageSent, Began: at(i), Content: simPrint}
		cut.RecordFailure(at(i), simPrint, d)
		if i < 4 {
			s.RecordFailure(at(i), simPrint, d)
		}
		s.Merge(at(i), "cut", cut.Export(at(i), 10))
	}
	c.Assert(s.Hold(at(8), simPrint, rank(0)).Trial, qt.IsTrue)
}

// An answer ends a part of a streak. Guards against pauses that go on by trials from before.
func TestAnswerForgetsTrials(t *testing.T) {
	k := streak{own: []time.Time{at(1), at(5)}, held: true, trials: 4, ownTrials: 4}
	k.drop(at(3), 2)
	qt.Assert(t, k.held, qt.IsFalse)
	qt.Assert(t, max(k.trials, k.ownTrials), qt.Equals, 0)
}

// One entry is cut off from the targets of a request that other entries serve. Guards against its
// failures holding the request at the others.
func TestOneEntryHoldsNoRequestOfOthers(t *testing.T) {
	s := newHoldSim(3, func(entry int, _ time.Time) bool { return entry != 0 })
	refused := 0
	for n := 0; s.now.Sub(start) < 20*time.Second; n++ {
		before := len(s.refused)
		s.send(n % 3)
		if n%3 != 0 {
			refused += len(s.refused) - before
		}
		s.advance(15 * time.Millisecond)
	}
	qt.Assert(t, refused, qt.Equals, 0)
}

// A peer reports a request as held, and this entry has had an answer to one with the same content
// and maybe the same headers. Guards against a hold by way of the headers' fingerprint.
func TestPeerHoldsNoRequestByHeaders(t *testing.T) {
	c := qt.New(t)
	cut, sound := NewSuspects(SuspectsConfig{CrashLimit: 3}), NewSuspects(SuspectsConfig{CrashLimit: 3})
	const headers = simPrint + 1
	for i := range 6 {
		cut.RecordFailure(at(i), headers, FailedDispatch{Target: "a", Stage: StageSent, Began: at(i), Content: simPrint})
	}
	sound.NoteAnswer(at(3), simPrint)
	sound.Merge(at(6), "cut", cut.Export(at(6), 10))
	c.Assert(sound.HoldByHeaders(at(6), headers, simPrint), qt.Equals, Hold{})
	for i := 7; i < 10; i++ {
		c.Assert(sound.HoldByHeaders(at(i), headers, simPrint), qt.Equals, Hold{})
		sound.RecordFailure(at(i), headers, FailedDispatch{Target: "a", Stage: StageSent, Began: at(i), Content: simPrint})
	}
	c.Assert(sound.HoldByHeaders(at(9), headers, simPrint).Remaining > 0, qt.IsTrue, qt.Commentf("failures of its own"))
}

// A peer reports a request that this entry has answers to since. Guards against entries without
// answers of their own that go on holding it.
func TestAnswerIsToldToOthers(t *testing.T) {
	c := qt.New(t)
	cut, sound, other := NewSuspects(SuspectsConfig{CrashLimit: 3}), NewSuspects(SuspectsConfig{CrashLimit: 3}), NewSuspects(SuspectsConfig{CrashLimit: 3})
	for i := range 3 {
		cut.RecordFailure(at(i), simPrint, FailedDispatch{Target: "a", Stage: StageSent, Began: at(i)})
	}
	sound.NoteAnswer(at(1), simPrint)
	for _, s := range []*Suspects{sound, other} {
		s.Merge(at(2), "cut", cut.Export(at(2), 10))
	}
	c.Assert(other.Hold(at(2), simPrint, rank(0)).Remaining > 0, qt.IsTrue)
	other.Merge(at(2), "sound", sound.Export(at(2), 10))
	c.Assert(other.Hold(at(2), simPrint, rank(0)), qt.Equals, Hold{})
}

// All targets break their connections at once. Guards against a hold of a request that had several
// dispatches in flight.
func TestSimultaneousFailures(t *testing.T) {
	s := NewSuspects(SuspectsConfig{CrashLimit: 3})
	for i := range 5 {
		s.RecordFailure(at(5), simPrint, FailedDispatch{Target: strconv.Itoa(i), Stage: StageSent, Began: at(i)})
	}
	qt.Assert(t, s.Hold(at(5), simPrint, rank(0)), qt.Equals, Hold{})
}

// A target answers a request, and the next dispatches get no response. Guards against an answer that
// seems to have come after the first of them, so that the hold grows.
func TestAnswerJustBeforeFailures(t *testing.T) {
	const headers = simPrint + 1
	for offset := time.Duration(0); offset < 2*time.Millisecond; offset += 100 * time.Microsecond {
		s := NewSuspects(SuspectsConfig{CrashLimit: 3})
		now := start.Add(offset)
		s.NoteAnswer(start, simPrint+2) // the table counts time from here
		s.NoteAnswer(now, simPrint)
		for range 40 {
			now = now.Add(50 * time.Microsecond)
			for _, fp := range []uint64{simPrint, headers} {
				s.BeginTrial(now, fp)
				s.RecordFailure(now, fp, FailedDispatch{Target: "a", Stage: StageSent, Began: now, Trial: now, Content: simPrint})
			}
			h := s.Hold(now, simPrint, rank(0))
			qt.Assert(t, h.Remaining <= maxAnsweredPause, qt.IsTrue, qt.Commentf("held for %v", h.Remaining))
			qt.Assert(t, s.HoldByHeaders(now, headers, simPrint), qt.Equals, Hold{})
		}
	}
}

// Guards against peers without an answer of their own that hold a request by growing pauses, although
// another one knows that targets have answered it.
func TestPeersLearnOfAnswer(t *testing.T) {
	c := qt.New(t)
	a, b := NewSuspects(SuspectsConfig{CrashLimit: 3}), NewSuspects(SuspectsConfig{CrashLimit: 3})
	a.NoteAnswer(at(0), simPrint)
	for i := 1; i < 10; i++ {
		a.BeginTrial(at(i), simPrint)
		a.RecordFailure(at(i), simPrint, FailedDispatch{Target: "a", Stage: StageSent, Began: at(i), Trial: at(i), Content: simPrint})
	}
	b.Merge(at(10), "a", a.Export(at(10), 10))
	h := b.Hold(at(10), simPrint, rank(3))
	c.Assert(h.Trial, qt.IsTrue, qt.Commentf("%+v", h))
	c.Assert(h.Answered, qt.IsTrue)
}

// A dispatch that a target never answers is recorded at its deadline. Guards against dispatches
// in flight meanwhile that count as part of it.
func TestSilentDispatches(t *testing.T) {
	c := qt.New(t)
	s := NewSuspects(SuspectsConfig{CrashLimit: 3})
	for i := range 3 {
		began := start.Add(time.Duration(i) * 300 * time.Millisecond)
		s.RecordFailure(began.Add(2*time.Second), simPrint, FailedDispatch{Target: "a", Began: began, Silent: true})
	}
	c.Assert(s.Hold(start.Add(2700*time.Millisecond), simPrint, rank(3)).Remaining > 0, qt.IsTrue)
}

// Silent dispatches are recorded long after they began. Guards against those that began before the
// request was held, or before an answer, that lengthen the hold.
func TestLateRecords(t *testing.T) {
	c := qt.New(t)
	s := NewSuspects(SuspectsConfig{CrashLimit: 3})
	for i := range 50 {
		began := start.Add(time.Duration(i) * 20 * time.Millisecond)
		s.RecordFailure(began.Add(time.Second), simPrint, FailedDispatch{Target: "a", Began: began, Silent: true})
	}
	c.Assert(s.Hold(at(2), simPrint, rank(0)).Trial, qt.IsTrue)
	s = NewSuspects(SuspectsConfig{CrashLimit: 3})
	s.NoteAnswer(at(4), simPrint)
	for i := range 3 {
		s.RecordFailure(at(5), simPrint, FailedDispatch{Target: "a", Began: at(i), Silent: true, Content: simPrint})
	}
	c.Assert(s.Hold(at(5), simPrint, rank(0)), qt.Equals, Hold{})
}

// Guards against two trials at once, against a trial that is reserved for ever, and against trials
// that are repeated at once when their callers leave.
func TestTrialReservation(t *testing.T) {
	c := qt.New(t)
	s := NewSuspects(SuspectsConfig{CrashLimit: 3})
	for i := range 3 {
		s.RecordFailure(at(i), simPrint, FailedDispatch{Target: "a", Stage: StageSent, Began: at(i)})
	}
	c.Assert(s.Hold(at(7), simPrint, rank(0)).Remaining, qt.Equals, 3*time.Second, qt.Commentf("the time of short pauses is over"))
	c.Assert(s.Hold(at(3), simPrint, rank(0)).Trial, qt.IsTrue)
	c.Assert(s.BeginTrial(at(3), simPrint), qt.Equals, time.Duration(0))
	c.Assert(s.BeginTrial(at(3), simPrint), qt.Equals, trialWait)
	c.Assert(s.Hold(at(4), simPrint, rank(0)).Trial, qt.IsFalse)
	s.EndTrial(at(4), simPrint, at(3), false)
	c.Assert(s.Hold(at(4), simPrint, rank(0)).Trial, qt.IsTrue, qt.Commentf("a trial that reached no target"))
	c.Assert(s.BeginTrial(at(4), simPrint), qt.Equals, time.Duration(0))
	s.EndTrial(at(5), simPrint, at(3), true)
	c.Assert(s.Hold(at(5), simPrint, rank(0)).Trial, qt.IsFalse, qt.Commentf("another trial has ended"))
	c.Assert(s.Hold(at(5).Add(trialTimeout), simPrint, rank(0)).Trial, qt.IsTrue, qt.Commentf("a trial without a result"))
	s.EndTrial(at(5), simPrint, at(4), true)
	c.Assert(s.Hold(at(5), simPrint, rank(0)).Remaining, qt.Equals, trialPauses[shortPauses+1], qt.Commentf("a trial whose caller has left"))
}

// Guards against requests that wait for the next trial, and then are trials themselves, in place of
// being refused until then.
func TestNoWaitForTheNextTrial(t *testing.T) {
	c := qt.New(t)
	s := NewSuspects(SuspectsConfig{CrashLimit: 3})
	s.NoteAnswer(at(0), simPrint)
	for i := range 3 {
		s.RecordFailure(at(i+1), simPrint, FailedDispatch{Target: "a", Stage: StageSent, Began: at(i + 1), Content: simPrint})
	}
	c.Assert(s.Hold(at(3).Add(time.Millisecond), simPrint, rank(0)), qt.Equals,
		Hold{Remaining: trialPauses[0] - time.Millisecond, Answered: true})
	c.Assert(s.BeginTrial(at(4), simPrint), qt.Equals, time.Duration(0))
	c.Assert(s.Hold(at(4), simPrint, rank(0)), qt.Equals, Hold{Remaining: trialWait, Answered: true, Wait: true})
}

// Targets answer a check before each trial and none after it, at two entries that hear of each other late.
// Guards against trials without end of a request that was sound, and against lost connections that
// count as crashes.
func TestFailedTrialsAreCrashes(t *testing.T) {
	tests := []struct {
		name           string
		held           bool
		alive, answers bool // before, after
		cutOff         bool // others don't answer either
		quarantined    bool
	}{
		{"ended", true, true, false, false, true},
		{"lives", true, true, true, false, false},
		{"cut off before", true, false, false, false, false},
		{"cut off since", true, true, false, true, false},
		{"held by other headers", false, true, false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSuspects(SuspectsConfig{CrashLimit: 3})
			if tt.held {
				s.Merge(at(1), "b", []Suspect{{Fingerprint: simPrint, Unanswered: 3}})
			}
			s.Merge(at(20), "b", []Suspect{{Fingerprint: simPrint, Crashes: 1, Age: 0}})
			for i := range 2 {
				target, began := strconv.Itoa(i), at(10+2*i)
				d := FailedDispatch{Target: target, Stage: StageSent, Began: began, Alive: tt.alive, Checked: true}
				s.RecordFailure(at(11+2*i), simPrint, d)
				if d.Crashed(tt.answers, func() bool { return !tt.cutOff }) {
					s.ConfirmTrial(at(21+i), simPrint, target)
				} else {
					s.DismissCrash(simPrint, target)
				}
			}
			qt.Assert(t, s.QuarantineRemaining(at(23), simPrint) > 0, qt.Equals, tt.quarantined)
		})
	}
}

// Guards against a place of the table that is taken for the answer of another request, and against
// answers that are remembered for too long.
func TestAnswers(t *testing.T) {
	c := qt.New(t)
	var a answers
	c.Assert(a.last(start, simPrint).IsZero(), qt.IsTrue)
	a.note(start, simPrint)
	c.Assert(a.last(start.Add(time.Second), simPrint), qt.Equals, start)
	c.Assert(a.last(start, simPrint+1<<41).IsZero(), qt.IsTrue)
	c.Assert(a.last(start.Add(answerMemory+time.Second), simPrint).IsZero(), qt.IsTrue)
	const wrap = (1 << 40) * time.Microsecond
	a.note(start.Add(wrap), simPrint)
	c.Assert(a.last(start.Add(wrap+time.Second), simPrint), qt.Equals, start.Add(wrap))
}
