// Package member decides which entries of the system are up. Entries learn of
// each other by gossip: in each round an entry exchanges digests with a bounded
// number of others, and changes travel only where digests differ. The package
// does no I/O: typed events go into Table.Handle, typed actions come out.
package member

import "time"

// ID names one incarnation of an entry: a restart gives another boot number.
type ID struct {
	Name string
	Boot uint64 // grows with each restart of the same name
}

// State is what is believed of an incarnation. Of two statements with the same
// sequence number the one with the higher state holds.
type State uint8

// The states, in the order in which they override each other.
const (
	Alive   State = iota // answers
	Leaving              // announced its stop and still serves
	Suspect              // did not answer, neither directly nor through others
	Dead                 // suspected for too long without an objection
	Left                 // said itself that it is gone
)

var stateNames = [...]string{"alive", "leaving", "suspect", "dead", "left"}

// String gives the state's name in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Gone tells whether nothing is expected of such an incarnation any more.
func (s State) Gone() bool { return s == Dead || s == Left }

// Entry is one incarnation as it is known here.
type Entry struct {
	ID       ID
	Sequence uint64 // raised by the incarnation itself only
	State    State
	Ready    bool      // knows settings and targets, so that callers may be sent to it
	Since    time.Time // when the state was declared
	Caller   string    // host:port of the callers' listener
	Peer     string    // host:port of the peers' listener
	Place    string
	Region   string
	Capacity float64 // requests a second that it is fit for
	Condition
	Marks Marks // as it last said itself to this entry; not passed on
}

// Condition is what an entry says of how well it works.
type Condition struct {
	Strained bool // it can't keep up
	Shut     bool // the store doesn't serve it
}

// Brief tells whether the addresses are left out.
func (e Entry) Brief() bool { return e.Peer == "" }

// Serves tells whether requests may be sent to the entry: a suspect is
// included, since most suspicions turn out wrong.
func (e Entry) Serves() bool { return e.State == Alive || e.State == Suspect }

// Ref is where an incarnation listens for peers. The ID is zero where only the
// address is known.
type Ref struct {
	ID      ID
	Address string
}

func (e Entry) ref() Ref { return Ref{ID: e.ID, Address: e.Peer} }

func (e Entry) brief() Entry {
	e.Caller, e.Peer, e.Place, e.Region, e.Capacity = "", "", "", "", 0
	return e
}

// newer tells whether e overrides old. Both are of one name.
func (e Entry) newer(old Entry) bool {
	if e.ID.Boot != old.ID.Boot {
		return e.ID.Boot > old.ID.Boot
	}
	if e.Sequence != old.Sequence {
		return e.Sequence > old.Sequence
	}
	return e.State > old.State
}
