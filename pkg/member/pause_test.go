package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/member"
)

func sends(actions []member.Action) (s []member.Send) {
	for _, a := range actions {
		if a, ok := a.(member.Send); ok {
			s = append(s, a)
		}
	}
	return s
}

// The process is paused for 30 s right after it contacted its peers. When it resumes,
// its exchanges and a suspicion have all timed out. The peers did not fail, so none may
// be suspected or declared dead. After a gap of ordinary length, the same timeouts count
// as failures.
func TestOwnPause(t *testing.T) {
	tests := []struct {
		name string
		gap  time.Duration
		want member.State
	}{
		{"ordinary", 2 * time.Second, member.Dead},
		{"paused", 30 * time.Second, member.Suspect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a := table("a")
			updates := []member.Entry{entry("b", 1, 0, member.Alive), entry("c", 1, 0, member.Alive), entry("c", 1, 0, member.Suspect)}
			reply(a, member.Message{From: member.ID{Name: "b", Boot: 1}, Entries: updates})
			sent := sends(a.Handle(epoch, member.Tick{}))
			c.Assert(sent, qt.Not(qt.HasLen), 0)

			now := epoch.Add(tt.gap)
			checks := 0
			for _, s := range sent {
				for _, act := range a.Handle(now, member.ExchangeFailed{ExchangeID: s.ExchangeID}) {
					if _, ok := act.(member.IndirectPing); ok {
						checks++
					}
				}
			}
			a.Handle(now, member.Tick{})
			suspect, _ := a.View().Find("c")
			c.Assert(suspect.State, qt.Equals, tt.want)
			b, _ := a.View().Find("b")
			blamed := checks > 0 || b.State != member.Alive
			c.Assert(blamed, qt.Equals, tt.want == member.Dead)
		})
	}
}

// An entry that was paused or partitioned during a death receives only an old report
// of it. It must send the report to the suspect in the next round, once. Then either
// the suspect refutes it, or the death is detected.
func TestOldReportIsVerified(t *testing.T) {
	c := qt.New(t)
	a := table("a")
	dead := entry("b", 1, 0, member.Dead)
	dead.Since = epoch.Add(-time.Hour)
	updates := []member.Entry{dead, entry("c", 1, 0, member.Alive)}
	reply(a, member.Message{From: member.ID{Name: "c", Boot: 1}, Entries: append([]member.Entry{entry("b", 1, 0, member.Alive)}, updates...)})
	var verified bool
	for _, s := range sends(a.Handle(epoch, member.Tick{})) {
		verified = verified || s.To.ID.Name == "b" && len(s.Message.Entries) > 0 && s.Message.Entries[0].State == member.Dead
	}
	c.Assert(verified, qt.IsTrue)
	for range 3 {
		for _, s := range sends(a.Handle(epoch.Add(time.Second), member.Tick{})) {
			again := s.To.ID.Name == "b" && len(s.Message.Entries) > 0 && s.Message.Entries[0].State == member.Dead
			c.Assert(again, qt.IsFalse)
		}
	}
}
