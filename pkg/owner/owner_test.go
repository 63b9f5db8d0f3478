package owner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func entries(n int) (list []Candidate) {
	for i := range n {
		list = append(list, Candidate{Entry: Entry{Name: fmt.Sprintf("e%d", i), Place: fmt.Sprintf("p%d", i%3)}})
	}
	return list
}

func counts() map[string]int { return map[string]int{"a": 0, "b": 2, "c": 3} }

// owners deals out the owners of hosts.
func owners(live []Candidate, counts map[string]int) map[string][]Entry {
	return New(live, slices.Collect(maps.Keys(counts))).Owners(counts)
}

// Each entry works the owners out by itself, from a list in whatever order it
// heard of the others. All must agree: else callers would be sent to several.
func TestOwnersAgree(t *testing.T) {
	live := entries(13)
	want := owners(live, counts())
	for i := range live {
		turned := append(append([]Candidate{}, live[i:]...), live[:i]...)
		qt.Assert(t, owners(turned, counts()), qt.DeepEquals, want)
	}
}

// The owners of a host lie in different failure domains, and hosts don't share
// an entry while another one has none.
func TestOwners(t *testing.T) {
	c := qt.New(t)
	o := owners(entries(13), counts())
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
	c.Assert(owners(entries(1), counts())["a"], qt.HasLen, 1)
	c.Assert(owners(nil, counts())["a"], qt.HasLen, 0)
}

// The number of one host's owners changes. The first owners of all hosts stay:
// they decide the numbers, and callers whose host didn't change stay where they
// are known.
func TestFirstOwnersDependOnNoCount(t *testing.T) {
	live := entries(13)
	before := owners(live, counts())
	for n := range 14 {
		after := owners(live, map[string]int{"a": n, "b": 2, "c": 3})
		for host, list := range before {
			qt.Assert(t, after[host][:Least], qt.DeepEquals, list[:Least])
		}
	}
}

// An entry that can't keep up owns nothing while another one can.
func TestStrainedOwnsNothing(t *testing.T) {
	live := entries(13)
	first := owners(live, counts())["a"][0].Name
	for i := range live {
		live[i].Strained = live[i].Name == first
	}
	qt.Assert(t, owners(live, counts())["a"][0].Name, qt.Not(qt.Equals), first)
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
	for host, list := range owners(live, counts()) {
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
		o := owners(live, map[string]int{"a": tt.count})["a"]
		qt.Assert(t, o, qt.HasLen, tt.want)
		qt.Assert(t, o[0].Name, qt.Equals, "e4")
	}
}

// What an entry works out when another one has come or gone: the owners of three
// hosts, and at the first owner of one of them also their number. Before, with
// every entry scored anew for each host: 0.065 ms at 14 entries, 0.54 at 123, 1.9
// at 472 and 8.7 at 2,000, and for the number 0.05, 1.5, 20 and 340 ms.
func BenchmarkOwners(b *testing.B) {
	counts := map[string]int{"a": 4, "b": 3, "c": 2}
	hosts := []string{"a", "b", "c"}
	for _, n := range []int{14, 123, 472, 2000} {
		live := entries(n)
		for i := range live {
			live[i].Capacity = []float64{128, 128, 640}[i%3]
		}
		b.Run(fmt.Sprint("owners/", n), func(b *testing.B) {
			for b.Loop() {
				owners(live, counts)
			}
		})
		b.Run(fmt.Sprint("number/", n), func(b *testing.B) {
			var s Size
			now := time.Unix(1000, 0)
			for b.Loop() {
				s.Decide(now, 2000, New(live, hosts).Fit("a"))
			}
		})
	}
}
