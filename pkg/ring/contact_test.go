package ring

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two replicas are cut off together. They go on accepting claims among
// themselves, the others give them up and accept the same keys. So a replica
// stops accepting when a majority of a list hasn't answered within the bound.
func TestInContact(t *testing.T) {
	all := fleet(6)
	for _, tc := range []struct {
		name  string
		r     Ring
		heard []Member
		ago   time.Duration
		want  bool
	}{
		{"alone", Ring{Members: all[:1]}, nil, 0, true},
		{"both of two", Ring{Members: all[:2]}, all[1:2], time.Second, true},
		{"one of two", Ring{Members: all[:2]}, nil, 0, false},
		{"most of six", Ring{Members: all}, all[1:4], time.Second, true},
		{"half of six", Ring{Members: all}, all[1:3], time.Second, false},
		{"just within the bound", Ring{Members: all}, all[1:], config.Remove - 1, true},
		{"at the bound", Ring{Members: all}, all[1:], config.Remove, false},
		{"none in the old list", Ring{Members: all[:3], Old: append(fleet(1), all[3:]...)}, all[1:3], time.Second, false},
		{"none in the new list", Ring{Members: append(fleet(1), all[3:]...), Old: all[:3]}, all[1:3], time.Second, false},
		{"another incarnation", Ring{Members: all[:2]}, []Member{member("e1", 2, "fremantle-hall")}, time.Second, false},
		{"no ring", Ring{}, nil, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var heard Contact
			for _, m := range tc.heard {
				heard.Heard(epoch.Add(-tc.ago), m.Ident)
				heard.Heard(epoch.Add(-time.Hour), m.Ident)
			}
			heard.Keep(tc.r)
			qt.Assert(t, config.InContact(epoch, tc.r, all[0].Ident, &heard), qt.Equals, tc.want)
		})
	}
}

// A VM is suspended: its monotonic clock stands still, the wall clock doesn't.
func TestContactEndsWhileSuspended(t *testing.T) {
	at := time.Now()
	later := at.Round(0).Add(time.Hour)
	qt.Assert(t, elapsed(later, at), qt.Equals, time.Hour)
}
