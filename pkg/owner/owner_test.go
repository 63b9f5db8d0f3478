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

// owners returns the owners of the hosts in counts.
func owners(live []Candidate, counts map[string]int) map[string][]Entry {
	return New(live, slices.Collect(maps.Keys(counts))).Owners(counts)
}

// Each entry computes the owners itself, from a list of entries in any order. All
// must get the same owners, or callers would be sent to different entries.
func TestOwnersAgree(t *testing.T) {
	live := entries(13)
	want := owners(live, counts())
	for i := range live {
		rotated := append(append([]Candidate{}, live[i:]...), live[:i]...)
		qt.Assert(t, owners(rotated, counts()), qt.DeepEquals, want)
	}
}

// The owners of a host are in different failure domains, and hosts don't share an
// entry while another entry owns none.
func TestOwners(t *testing.T) {
	c := qt.New(t)
	o := owners(entries(13), counts())
	names := map[string]bool{}
	for host, list := range o {
		c.Assert(list, qt.HasLen, max(counts()[host], MinOwners))
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

// The first owners of all hosts stay when the owner count of one host changes, since
// they decide the counts. Callers of the other hosts stay at their entries.
func TestFirstOwnersDependOnNoCount(t *testing.T) {
	live := entries(13)
	before := owners(live, counts())
	for n := range 14 {
		after := owners(live, map[string]int{"a": n, "b": 2, "c": 3})
		for host, list := range before {
			qt.Assert(t, after[host][:MinOwners], qt.DeepEquals, list[:MinOwners])
		}
	}
}

// An overloaded entry owns nothing while another entry isn't overloaded.
func TestOverloadedOwnsNothing(t *testing.T) {
	live := entries(13)
	first := owners(live, counts())["a"][0].Name
	for i := range live {
		live[i].Overloaded = live[i].Name == first
	}
	qt.Assert(t, owners(live, counts())["a"][0].Name, qt.Not(qt.Equals), first)
}

// An entry that is cut off from a host's services owns it only if all entries are. Guards against
// callers who are sent to an entry that can't serve them, and against owners that change when the
// targets are gone.
func TestUnservedHost(t *testing.T) {
	before := owners(entries(13), counts())
	cut := map[string]bool{before["a"][0].Name: true, before["a"][1].Name: true}
	some, all := entries(13), entries(13)
	for i := range some {
		some[i].Unserved = map[string]bool{"a": cut[some[i].Name]}
		all[i].Unserved = map[string]bool{"a": true}
	}
	for _, e := range owners(some, counts())["a"] {
		qt.Assert(t, cut[e.Name], qt.IsFalse)
	}
	qt.Assert(t, owners(all, counts()), qt.DeepEquals, before)
}

// The ranks for a task are a permutation, and an entry that isn't live comes last.
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
func TestStrongEntriesOwnSeveralHosts(t *testing.T) {
	live := entries(13)
	for i := range live {
		live[i].Capacity = 100
		if i < 4 {
			live[i].Capacity = 640
		}
	}
	for host, list := range owners(live, counts()) {
		for _, e := range list[:MinOwners] {
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

// BenchmarkOwners measures what an entry computes when another one has started or gone:
// the owners of three hosts, and at the first owner of one of them also its owner count.
// An earlier version, which scored all entries again for each host, took 0.065 ms for the
// owners with 14 entries, 0.54 ms with 123, 1.9 ms with 472 and 8.7 ms with 2,000, and
// 0.05, 1.5, 20 and 340 ms for the count.
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
			var s Sizer
			now := time.Unix(1000, 0)
			for b.Loop() {
				s.Decide(now, 2000, New(live, hosts).CapacityShares("a"))
			}
		})
	}
}
