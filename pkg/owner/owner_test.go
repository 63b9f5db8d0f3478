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

func counts() map[string]int { return map[string]int{"a": 0, "b": 2, "c": 3} }

// Each entry works the owners out by itself, from a list in whatever order it
// heard of the others. All must agree: else callers would be sent to several.
func TestOwnersAgree(t *testing.T) {
	live := entries(13)
	want := Owners(live, counts())
	for i := range live {
		turned := append(append([]Candidate{}, live[i:]...), live[:i]...)
		qt.Assert(t, Owners(turned, counts()), qt.DeepEquals, want)
	}
}

// The owners of a host lie in different failure domains, and hosts don't share
// an entry while another one has none.
func TestOwners(t *testing.T) {
	c := qt.New(t)
	o := Owners(entries(13), counts())
	names := map[string]bool{}
	for host, list := range o {
		c.Assert(list, qt.HasLen, max(counts()[host], Least))
		places := map[string]bool{}
		for _, e := range list {
			names[e.Name] = true
			places[e.Place] = true
		}
		c.Assert(places, qt.HasLen, len(list))
	}
	c.Assert(names, qt.HasLen, 7)
	c.Assert(Owners(entries(1), counts())["a"], qt.HasLen, 1)
	c.Assert(Owners(nil, counts())["a"], qt.HasLen, 0)
}

// The number of one host's owners changes. The first owners of all hosts stay:
// they decide the numbers, and callers whose host didn't change stay where they
// are known.
func TestFirstOwnersDependOnNoCount(t *testing.T) {
	live := entries(13)
	before := Owners(live, counts())
	for n := range 14 {
		after := Owners(live, map[string]int{"a": n, "b": 2, "c": 3})
		for host, list := range before {
			qt.Assert(t, after[host][:Least], qt.DeepEquals, list[:Least])
		}
	}
}

// An entry that can't keep up owns nothing while another one can.
func TestStrainedOwnsNothing(t *testing.T) {
	live := entries(13)
	first := Owners(live, counts())["a"][0].Name
	for i := range live {
		live[i].Strained = live[i].Name == first
	}
	qt.Assert(t, Owners(live, counts())["a"][0].Name, qt.Not(qt.Equals), first)
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

// A strong entry owns two hosts before a weak one owns any.
func TestStrongOnesOwnSeveral(t *testing.T) {
	live := entries(13)
	for i := range live {
		live[i].Capacity = 100
		if i < 4 {
			live[i].Capacity = 640
		}
	}
	owners := Owners(live, counts())
	for host, list := range owners {
		for _, e := range list[:Least] {
			qt.Assert(t, e.Capacity, qt.Equals, 640.0, qt.Commentf("%s: %s", host, e.Name))
		}
	}
}

// The strongest entries own a host first, and no more than there are.
func TestStrongestOwnFirst(t *testing.T) {
	live := entries(13)
	live[4].Capacity = 400
	tests := []struct{ count, want int }{{0, 2}, {4, 4}, {99, 13}}
	for _, tt := range tests {
		o := Owners(live, map[string]int{"a": tt.count})["a"]
		qt.Assert(t, o, qt.HasLen, tt.want)
		qt.Assert(t, o[0].Name, qt.Equals, "e4")
	}
}
