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

// The process is stopped for half a minute right after it asked its peers. When
// it goes on, the timeouts of their answers and of a suspicion have long run
// out, all at once. None of that is the peers' fault: nobody may be suspected
// or declared dead for it. After a gap of an ordinary length they are.
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
			told := []member.Entry{entry("b", 1, 0, member.Alive), entry("c", 1, 0, member.Alive), entry("c", 1, 0, member.Suspect)}
			reply(a, member.Message{From: member.ID{Name: "b", Boot: 1}, Entries: told})
			asked := sends(a.Handle(epoch, member.Tick{}))
			c.Assert(asked, qt.Not(qt.HasLen), 0)

			now := epoch.Add(tt.gap)
			checks := 0
			for _, s := range asked {
				for _, act := range a.Handle(now, member.NoAnswer{Exchange: s.Exchange}) {
					if _, ok := act.(member.Reach); ok {
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

// An entry that slept through a death, or belongs to a part that was cut off,
// hears of it only as an old accusation. It must ask the accused in the next
// round, and tell it, so that either the death is noticed or the accuser hears
// an objection.
func TestOldAccusationIsVerified(t *testing.T) {
	c := qt.New(t)
	a := table("a")
	dead := entry("b", 1, 0, member.Dead)
	dead.Since = epoch.Add(-time.Hour)
	told := []member.Entry{dead, entry("c", 1, 0, member.Alive)}
	reply(a, member.Message{From: member.ID{Name: "c", Boot: 1}, Entries: append([]member.Entry{entry("b", 1, 0, member.Alive)}, told...)})
	var asked bool
	for _, s := range sends(a.Handle(epoch, member.Tick{})) {
		asked = asked || s.To.ID.Name == "b" && len(s.Message.Entries) > 0 && s.Message.Entries[0].State == member.Dead
	}
	c.Assert(asked, qt.IsTrue)
	for range 3 {
		for _, s := range sends(a.Handle(epoch.Add(time.Second), member.Tick{})) {
			again := s.To.ID.Name == "b" && len(s.Message.Entries) > 0 && s.Message.Entries[0].State == member.Dead
			c.Assert(again, qt.IsFalse)
		}
	}
}
