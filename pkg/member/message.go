package member

import "time"

// Bounds on what one message holds.
const (
	MaxEntries = 64   // entries of one message, but for the answer to a join
	MaxJoin    = 4096 // entries in the answer to a join
	maxChanges = 16   // recent changes that one message carries
	maxRumours = 16   // rumours of each kind that one message carries
	// packetRumours is the same where a message has to fit into a packet.
	packetRumours = 8
	maxWants      = 8  // names whose addresses one message asks for
	maxAccused    = 96 // accusations by digest that one message carries
	// maxHot is how many changes wait to be carried. Where there are more, as at a
	// start of hundreds, the digests find what is missing with fewer bytes.
	maxHot = 64
)

// Marks are the revisions in force at an entry.
type Marks struct {
	Settings uint64
	Targets  uint64
}

// behind tells whether other has anything newer.
func (m Marks) behind(other Marks) bool {
	return other.Settings > m.Settings || other.Targets > m.Targets
}

// Stopping is the notice that a target is about to stop.
type Stopping struct {
	Target string
	Boot   uint64
	At     time.Time
}

// Crasher is a request that has crashed targets.
type Crasher struct {
	Print   uint64 // fingerprint of the request
	Crashes uint32 // targets that it has crashed
	At      time.Time
	// By is the entry that saw it, where each counts for itself, and Sequence its
	// number for this word.
	By       string
	Sequence uint64
}

// Rumours are short-lived notices which pass from entry to entry.
type Rumours struct {
	Stopping []Stopping
	Crashers []Crasher
}

func (r Rumours) empty() bool { return len(r.Stopping) == 0 && len(r.Crashers) == 0 }

// Message is one direction of an exchange.
type Message struct {
	From    ID
	Digest  uint64 // over the sender's entries that are not gone
	Marks   Marks
	Join    bool     // first contact: asks for every entry
	Entries []Entry  // recent changes, or the entries of the buckets in Ask
	Sums    []uint32 // by bucket, in an answer whose digest differs from the request's
	Ask     uint64   // a bit for each bucket whose entries stand in Entries, in brief
	Want    []string // names whose addresses the sender lacks
	Accused []uint32 // digests of entries that don't answer, where they are many
	Rumours Rumours
}
