// Package ring holds the agreed list of entries: which of them are the
// replicas of a key, which are the home of a service, and how the list changes
// without a key being forgotten. It does no I/O and reads no clock.
package ring

import "fmt"

// Ident names one incarnation of an entry. An entry that restarts has the same
// name and a higher boot number, and remembers nothing of the former one.
type Ident struct {
	Name string
	Boot uint64
}

// String gives the form name#boot.
func (i Ident) String() string {
	return fmt.Sprintf("%s#%d", i.Name, i.Boot)
}

// Member is one incarnation of an entry and where it is reached.
type Member struct {
	Ident
	Caller string // host:port of the callers' listener
	Peer   string // host:port of the peers' listener
	Place  string // failure domain
	Region string
}

// Ring is the agreed list of entries. It is stable when Old is empty, and
// joint while the keys move from the members of Old to Members.
type Ring struct {
	Revision uint64
	Members  []Member
	Old      []Member
	Losses   []Loss
}

// Joint tells whether the ring is changing.
func (r Ring) Joint() bool {
	return len(r.Old) > 0
}

// Groups gives the replica sets of a key. A claim needs a majority of each.
func (r Ring) Groups(service, key string) [][]Member {
	groups := [][]Member{Replicas(r.Members, service, key)}
	if r.Joint() {
		groups = append(groups, Replicas(r.Old, service, key))
	}
	return groups
}

// Has tells whether an incarnation is in the ring, be it as a member or as one
// that is being left behind.
func (r Ring) Has(id Ident) bool {
	return has(r.Members, id) || has(r.Old, id)
}

// Newer tells whether r may take the place of cur. An equal revision never
// does, so that no entry holds two documents under one number.
func (r Ring) Newer(cur Ring) bool {
	return r.Revision > cur.Revision
}

// Majority is the smallest number of n replicas of which any two sets meet.
func Majority(n int) int {
	return n/2 + 1
}

func has(members []Member, id Ident) bool {
	for _, m := range members {
		if m.Ident == id {
			return true
		}
	}
	return false
}

func contains(ids []Ident, id Ident) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}
