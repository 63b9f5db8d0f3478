package owner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func entries(n int) (list []Candidate) {
	for i := range n {
		list = append(list, Candidate{Entry: Entry{Name: fmt.Sprintf("e%d", i), Place: fmt.Sprintf("p%d", i%3)}})
	}
	return list
}

func needs() []Need {
	return []Need{
		{Service: "a", Places: map[string]int{"p0": 4, "p1": 6, "p2": 4}},
		{Service: "b", Places: map[string]int{"p0": 3, "p1": 2}},
		{Service: "c", Places: map[string]int{"p2": 1}},
	}
}

// Each entry works the owners out by itself, from a list in whatever order it
// heard of the others. All must agree: else callers would be sent to several.
func TestOwnersAgree(t *testing.T) {
	live := entries(13)
	want := Owners(live, needs())
	for i := range live {
		turned := append(append([]Candidate{}, live[i:]...), live[:i]...)
		qt.Assert(t, Owners(turned, needs()), qt.DeepEquals, want)
	}
}

func TestOwners(t *testing.T) {
	c := qt.New(t)
	o := Owners(entries(13), needs())
	c.Assert(o["a"][0].Place, qt.Equals, "p1")
	c.Assert(o["b"][0].Place, qt.Equals, "p0")
	c.Assert(o["c"][0].Place, qt.Equals, "p2")
	names := map[string]bool{}
	for _, list := range o {
		c.Assert(list, qt.HasLen, Least)
		for _, e := range list {
			names[e.Name] = true
		}
	}
	c.Assert(names, qt.HasLen, 3*Least)
	c.Assert(Owners(entries(1), needs())["a"], qt.HasLen, 1)
	c.Assert(Owners(nil, needs())["a"], qt.HasLen, 0)
}

// An entry that can't keep up owns nothing while another one can.
func TestStrainedOwnsNothing(t *testing.T) {
	live := entries(13)
	first := Owners(live, needs())["a"][0].Name
	for i := range live {
		live[i].Strained = live[i].Name == first
	}
	qt.Assert(t, Owners(live, needs())["a"][0].Name, qt.Not(qt.Equals), first)
}

// The ranks of a duty are a permutation, and one that isn't live comes last.
func TestRank(t *testing.T) {
	live := entries(9)
	seen := map[int]bool{}
	for _, e := range live {
		seen[Rank(live, "targets", e.Name)] = true
	}
	qt.Assert(t, seen, qt.HasLen, 9)
	qt.Assert(t, Rank(live, "targets", "unknown"), qt.Equals, 9)
}

// Load grows and shrinks: so many owners as it takes, the strongest first, and
// no more than there are entries.
func TestOwnersFollowLoad(t *testing.T) {
	live := entries(13)
	for i := range live {
		live[i].Capacity = 100
	}
	live[4].Capacity = 400
	tests := []struct {
		load float64
		want int
	}{{0, 2}, {450, 2}, {501, 3}, {700, 4}, {1e6, 13}}
	for _, tt := range tests {
		o := Owners(live, []Need{{Service: "a", Load: tt.load}})["a"]
		qt.Assert(t, o, qt.HasLen, tt.want, qt.Commentf("load %v", tt.load))
		qt.Assert(t, o[0].Name, qt.Equals, "e4")
	}
}
