package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
)

// Entries that start together wait for those that enrolled before them, but not for entries of an
// earlier start, whose VMs may be gone.
func TestCountEnrolledBefore(t *testing.T) {
	const second = uint64(time.Second)
	item := func(name string, rev roster.Revision, boot uint64) roster.Item[owner.Entry] {
		return roster.Item[owner.Entry]{Name: name, Revision: rev, Value: owner.Entry{Name: name, Boot: boot}}
	}
	self := owner.Entry{Name: "self", Boot: 100 * second}
	tests := []struct {
		name  string
		items []roster.Item[owner.Entry]
		want  int
	}{
		{"alone", []roster.Item[owner.Entry]{item("self", 9, self.Boot)}, 0},
		{"the first", []roster.Item[owner.Entry]{item("self", 9, self.Boot), item("b", 10, self.Boot)}, 0},
		{"the third", []roster.Item[owner.Entry]{item("a", 7, self.Boot), item("b", 8, 100*second+second/2), item("self", 9, self.Boot)}, 2},
		{"others of an earlier start", []roster.Item[owner.Entry]{item("a", 3, 20*second), item("b", 4, 20*second), item("self", 9, self.Boot)}, 0},
		{"others of a start 3 s before, killed since", []roster.Item[owner.Entry]{item("a", 3, 97*second), item("self", 9, self.Boot)}, 0},
		{"own record not listed", []roster.Item[owner.Entry]{item("a", 7, self.Boot)}, 1},
	}
	for _, tt := range tests {
		qt.Check(t, countEnrolledBefore(self, tt.items), qt.Equals, tt.want, qt.Commentf("%s", tt.name))
	}
}
