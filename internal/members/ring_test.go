package members

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/member"
)

// An entry is cut off and suspects all others. Did they count as seen at this
// moment, it would believe that it sees a majority and take others out of the
// ring.
func TestRingLastSeen(t *testing.T) {
	now := time.Now()
	began := now.Add(-7 * time.Second)
	for _, tc := range []struct {
		state member.State
		last  time.Time
		gone  int
	}{
		{member.Alive, now, 0},
		{member.Leaving, now, 0},
		{member.Suspect, began, 0},
		{member.Dead, began, 0},
		{member.Left, began, 1},
	} {
		t.Run(tc.state.String(), func(t *testing.T) {
			c := qt.New(t)
			e := member.Entry{ID: member.ID{Name: "b", Boot: 1}, State: tc.state, Since: began}
			v := &member.View{Entries: []member.Entry{e}}
			var m Members
			m.first.Store((*firsts)(nil).with(began, *v))
			m.view.Store(v)
			got := m.Ring(now, 1)
			c.Assert(got.Seen[0].Last, qt.Equals, tc.last)
			c.Assert(got.Gone, qt.HasLen, tc.gone)
		})
	}
}
