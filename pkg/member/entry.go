// Package member detects which entries are up, by gossip. In each round an entry
// exchanges messages with a bounded number of peers. A message holds a digest of the
// sender's view and its recent changes; other entries are sent only where the digests
// differ. The package does no I/O: Table.Handle takes typed events and returns typed
// actions.
package member

import (
	"slices"
	"time"
)

// ID identifies one incarnation of an entry. Each restart has a new boot number.
type ID struct {
	Name string
	Boot uint64 // increases with each restart of the same name
}

// State is the believed state of an incarnation. Of two updates with the same
// sequence number, the one with the higher state takes precedence.
type State uint8

// The states in ascending order of precedence.
const (
	Alive   State = iota // responds
	Leaving              // announced its stop and still serves
	Suspect              // did not respond, neither directly nor to indirect pings
	Dead                 // did not refute the suspicion in time
	Left                 // announced that it has stopped serving
)

var stateNames = [...]string{"alive", "leaving", "suspect", "dead", "left"}

// String returns the state's name in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Gone reports whether the incarnation is dead or has left.
func (s State) Gone() bool { return s == Dead || s == Left }

// Entry is one incarnation in the view of this entry.
type Entry struct {
	ID            ID
	Sequence      uint64 // incremented only by the incarnation itself
	State         State
	Ready         bool      // has settings and targets, so that callers may be sent to it
	Since         time.Time // when the state was declared
	CallerAddress string    // host:port of the callers' listener
	PeerAddress   string    // host:port of the peers' listener
	Place         string    // failure domain
	Region        string
	Capacity      float64 // requests per second
	Condition
	Revisions Revisions // as last received from the incarnation itself; not relayed
}

// Condition is what an entry reports about its own health.
type Condition struct {
	Overloaded       bool // can't keep up with its load
	StoreUnavailable bool // the store doesn't serve it
	// Unreachable has the IDs, in ascending order, of the services that it is cut off from.
	Unreachable []uint32
}

// Equal reports whether two entries report the same.
func (c Condition) Equal(other Condition) bool {
	return c.Overloaded == other.Overloaded && c.StoreUnavailable == other.StoreUnavailable && slices.Equal(c.Unreachable, other.Unreachable)
}

// IsSummary reports whether the entry is a summary, which has no addresses.
func (e Entry) IsSummary() bool { return e.PeerAddress == "" }

// Serves reports whether requests may be sent to the entry. They may be sent to a
// suspect, since most suspicions turn out wrong.
func (e Entry) Serves() bool { return e.State == Alive || e.State == Suspect }

// Ref is the peer address of an incarnation. The ID is zero if only the address is
// known.
type Ref struct {
	ID      ID
	Address string
}

func (e Entry) ref() Ref { return Ref{ID: e.ID, Address: e.PeerAddress} }

func (e Entry) summary() Entry {
	e.CallerAddress, e.PeerAddress, e.Place, e.Region, e.Capacity = "", "", "", "", 0
	return e
}

// newer reports whether e takes precedence over old, which has the same name.
func (e Entry) newer(old Entry) bool {
	if e.ID.Boot != old.ID.Boot {
		return e.ID.Boot > old.ID.Boot
	}
	if e.Sequence != old.Sequence {
		return e.Sequence > old.Sequence
	}
	return e.State > old.State
}
