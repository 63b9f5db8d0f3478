package call

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// crash is one target that breaks its connection. Times are in seconds.
type crash struct {
	began, at int
	target    string
}

func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

// A request crashes every target that runs it, and its caller sends it again, under the
// same idempotency key or a new one: the fingerprint excludes keys. After two crashed
// targets it must be quarantined. A request that was only in flight during the crash of
// another must not be.
func TestQuarantine(t *testing.T) {
	tests := []struct {
		name    string
		crashes []crash
		cleared int // second of a complete response; 0: none
		ask     int
		held    bool
	}{
		{"one target", []crash{{0, 1, "a"}}, 0, 2, false},
		{"two targets in succession", []crash{{0, 1, "a"}, {2, 3, "b"}}, 0, 4, true},
		{"the same target twice", []crash{{0, 1, "a"}, {2, 3, "a"}}, 0, 4, false},
		{"two targets at once", []crash{{0, 2, "a"}, {1, 2, "b"}}, 0, 4, false},
		{"dispatched before the first crash was recorded", []crash{{0, 1, "a"}, {0, 3, "b"}}, 0, 4, false},
		{"further apart than the window", []crash{{0, 1, "a"}, {62, 63, "b"}}, 0, 64, false},
		{"response in between", []crash{{0, 1, "a"}, {2, 5, "b"}}, 3, 6, false},
		{"response of a dispatch in flight", []crash{{0, 1, "a"}, {2, 3, "b"}}, 4, 5, false},
		{"during the quarantine", []crash{{0, 1, "a"}, {2, 3, "b"}}, 0, 302, true},
		{"after the quarantine", []crash{{0, 1, "a"}, {2, 3, "b"}}, 0, 303, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := NewSuspects(SuspectsConfig{})
			for i, x := range tt.crashes {
				if tt.cleared > 0 && i > 0 && tt.cleared < x.at {
					s.RecordResponse(at(tt.cleared), 7)
				}
				s.RecordCrash(at(x.at), 7, x.target, at(x.began))
			}
			if tt.cleared > 0 {
				s.RecordResponse(at(tt.cleared), 7)
			}
			c.Assert(s.QuarantineRemaining(at(tt.ask), 7) > 0, qt.Equals, tt.held)
			c.Assert(s.QuarantineRemaining(at(tt.ask), 8), qt.Equals, time.Duration(0))
		})
	}
}

// Targets break the connections of a request. Guards against a quarantine of a request whose
// targets live on, and against crashes that don't count because they are confirmed late.
func TestBrokenConnections(t *testing.T) {
	tests := []struct {
		name      string
		confirmed []bool // of the breaks at seconds 1, 3 and 5
		response  int    // second of a complete response; 0: none
		held      bool
	}{
		{"all targets crashed", []bool{true, true}, 0, true},
		{"none crashed", []bool{false, false, false}, 0, false},
		{"one of three crashed", []bool{false, true, false}, 0, false},
		{"two of three crashed", []bool{true, false, true}, 0, true},
		{"response before the crashes are confirmed", []bool{true, true}, 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := NewSuspects(SuspectsConfig{})
			for i := range tt.confirmed {
				s.RecordBreak(at(2*i+1), 7, strconv.Itoa(i), at(2*i))
			}
			c.Assert(s.QuarantineRemaining(at(6), 7), qt.Equals, time.Duration(0))
			if tt.response > 0 {
				c.Assert(s.RecordResponse(at(tt.response), 7), qt.IsFalse)
			}
			for i, confirmed := range tt.confirmed {
				if confirmed {
					s.ConfirmCrash(at(6), 7, strconv.Itoa(i))
				} else {
					s.DismissCrash(7, strconv.Itoa(i))
				}
			}
			c.Assert(s.QuarantineRemaining(at(6), 7) > 0, qt.Equals, tt.held)
			if s.CrashCount(7) == 0 {
				c.Assert(s.byFingerprint, qt.HasLen, 0)
			}
		})
	}
}

// A target responds to a request that was cleared before, after others have broken its connections.
// Guards against breaks from before the response that are counted when they are confirmed after it.
func TestResponseDropsBreaksOfClearedRequest(t *testing.T) {
	c := qt.New(t)
	s := NewSuspects(SuspectsConfig{})
	s.RecordCrash(at(1), 7, "a", at(0))
	c.Assert(s.RecordResponse(at(2), 7), qt.IsTrue)
	s.RecordBreak(at(4), 7, "b", at(3))
	c.Assert(s.RecordResponse(at(5), 7), qt.IsFalse)
	s.ConfirmCrash(at(6), 7, "b")
	c.Assert(s.CrashCount(7), qt.Equals, 0)
}

// A caller sends the request to a different entry each time, so that each entry sees one
// crash. The entries exchange their counts, also repeatedly and through a third entry. Each
// crash must count once.
func TestQuarantineBetweenEntries(t *testing.T) {
	c := qt.New(t)
	a, b, d := NewSuspects(SuspectsConfig{}), NewSuspects(SuspectsConfig{}), NewSuspects(SuspectsConfig{})
	a.RecordCrash(at(1), 7, "x", at(0))
	for range 3 {
		b.Merge(at(2), "a", a.Export(at(2), 10))
		a.Merge(at(2), "b", b.Export(at(2), 10))
	}
	c.Assert(a.QuarantineRemaining(at(2), 7)+b.QuarantineRemaining(at(2), 7), qt.Equals, time.Duration(0))
	e, f := NewSuspects(SuspectsConfig{CrashLimit: 3}), NewSuspects(SuspectsConfig{CrashLimit: 3})
	e.RecordCrash(at(1), 7, "x", at(0))
	f.RecordCrash(at(1), 7, "y", at(0))
	for range 3 {
		e.Merge(at(2), "f", f.Export(at(2), 10))
		f.Merge(at(2), "e", e.Export(at(2), 10))
	}
	c.Assert(e.QuarantineRemaining(at(2), 7)+f.QuarantineRemaining(at(2), 7), qt.Equals, time.Duration(0))
	c.Assert(b.RecordCrash(at(4), 7, "y", at(3)), qt.IsTrue)
	d.Merge(at(5), "b", b.Export(at(5), 10))
	c.Assert(d.QuarantineRemaining(at(5), 7), qt.Equals, 299*time.Second)
	d.Merge(at(9), "a", d.Export(at(9), 10))
	c.Assert(d.QuarantineRemaining(at(303), 7), qt.Equals, time.Second)
	b.RecordResponse(at(10), 7)
	d.Merge(at(11), "b", b.Export(at(11), 10))
	c.Assert(d.QuarantineRemaining(at(11), 7), qt.Equals, time.Duration(0))
}

// Several entries each see a target end under the same request. Guards against a quarantine of a
// request that many callers send, when all targets end at once or entries are cut off from them.
func TestSimultaneousCrashesAtSeveralEntries(t *testing.T) {
	tests := []struct {
		name    string
		crashes []time.Duration // when each of the entries saw one
		held    bool
	}{
		{"all at once", []time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond}, false},
		{"one after the other", []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond}, true},
		{"twice, all at once", []time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond, time.Second, 1005 * time.Millisecond}, false},
		{"three times, all at once", []time.Duration{0, 5 * time.Millisecond, time.Second, 1005 * time.Millisecond, 2 * time.Second}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSuspects(SuspectsConfig{CrashLimit: 3})
			for i, after := range tt.crashes {
				seen := start.Add(after)
				if i == 0 {
					s.RecordCrash(seen, 7, "own", seen.Add(-time.Second))
					continue
				}
				s.Merge(start.Add(3*time.Second), strconv.Itoa(i), []Suspect{{Fingerprint: 7, Crashes: 1, Age: 3*time.Second - after}})
			}
			qt.Assert(t, s.QuarantineRemaining(start.Add(3*time.Second), 7) > 0, qt.Equals, tt.held)
		})
	}
}

// Many single crashes fill the table. They must not evict a request from quarantine.
func TestSuspectsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := NewSuspects(SuspectsConfig{MaxFingerprints: 8})
	s.RecordCrash(at(1), 7, "a", at(0))
	s.RecordCrash(at(3), 7, "b", at(2))
	for i := range 1000 {
		s.RecordCrash(at(4), uint64(100+i), "c", at(0))
		s.Merge(at(4), strconv.Itoa(i), []Suspect{{Fingerprint: uint64(5000 + i), Crashes: 1}})
	}
	c.Assert(len(s.byFingerprint), qt.Equals, 9)
	c.Assert(s.QuarantineRemaining(at(4), 7) > 0, qt.IsTrue)
}

// In any sequence of operations, the lists and the index stay consistent and within their
// limits.
func TestSuspectsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSuspects(SuspectsConfig{MaxFingerprints: 3})
		now := start
		var reserved time.Time
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second)
			fp := rapid.Uint64Range(0, 6).Draw(t, "print")
			target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 0:
				s.RecordResponse(now, fp)
				if s.QuarantineRemaining(now, fp) != 0 {
					t.Fatal("in quarantine after a response")
				}
			case 1:
				age := time.Duration(rapid.IntRange(-5, 400).Draw(t, "age")) * time.Second
				s.Merge(now, target, []Suspect{{Fingerprint: fp, Crashes: rapid.IntRange(-1, 3).Draw(t, "crashes"), Age: age}})
			case 2:
				s.RecordBreak(now, fp, target, now.Add(-time.Second))
			case 3:
				s.ConfirmCrash(now, fp, target)
			case 4:
				s.DismissCrash(fp, target)
			case 5, 6:
				began := now.Add(-time.Duration(rapid.IntRange(0, 60).Draw(t, "took")) * time.Second)
				s.RecordFailure(now, fp, FailedDispatch{
					Target: target, Stage: rapid.SampledFrom([]Stage{StageSent, StageCut, StageTimeout}).Draw(t, "stage"), Began: began,
					Silent: rapid.Bool().Draw(t, "silent"), Trial: reserved, Checked: rapid.Bool().Draw(t, "checked"),
				})
			case 7:
				if s.Hold(now, fp, rank(0)).Trial {
					if s.BeginTrial(now, fp) > 0 {
						t.Fatal("a trial is due and can't begin")
					}
					reserved = now
				}
			case 8:
				s.EndTrial(now, fp, reserved, rapid.Bool().Draw(t, "dispatched"))
			case 9:
				since, last := rapid.IntRange(-5, 400).Draw(t, "since"), rapid.IntRange(-5, 400).Draw(t, "last")
				s.Merge(now, target, []Suspect{{
					Fingerprint: fp, Crashes: rapid.IntRange(0, 2).Draw(t, "crashes"), Age: time.Second, Unanswered: rapid.IntRange(0, 3).Draw(t, "unanswered"),
					Trials: rapid.IntRange(-1, 9).Draw(t, "trials"), Since: time.Duration(since) * time.Second, Last: time.Duration(last) * time.Second,
				}})
			default:
				s.RecordCrash(now, fp, target, now.Add(-time.Second))
			}
			if s.quarantined.Len() > 3 || s.watched.Len() > 3 || len(s.byFingerprint) != s.quarantined.Len()+s.watched.Len() {
				t.Fatalf("%d quarantined, %d watched, %d in the index", s.quarantined.Len(), s.watched.Len(), len(s.byFingerprint))
			}
			for fp, e := range s.byFingerprint {
				if x := e.Value.(*suspect); x.fingerprint != fp || x.quarantined != (x.proven || x.streak.held) {
					t.Fatalf("%+v", x)
				}
			}
			for _, x := range s.Export(now, 10) {
				if x.Age < 0 || x.Crashes < 0 || x.Crashes > 2 || x.Unanswered < 0 || x.Unanswered > 2 || x.Trials < 0 || x.Since < 0 || x.Last < 0 {
					t.Fatalf("exported %+v", x)
				}
			}
		}
	})
}
