package member

import "time"

// Bounds on what one message holds.
const (
	MaxEntries = 64   // entries of one message, except for the response to a join
	MaxJoin    = 4096 // entries of the response to a join
	maxChanges = 16   // recent changes in one message
	maxRumours = 16   // rumours of each kind in one message
	// maxPacketRumours replaces maxRumours if a message must fit into a packet.
	maxPacketRumours   = 8
	maxAddressRequests = 8  // names whose addresses one message asks for
	maxSuspectDigests  = 96 // suspicions by digest in one message
	// maxQueued bounds the changes that wait to be sent. With more of them, as when
	// hundreds of entries start, comparing digests finds the missing ones with fewer bytes.
	maxQueued = 64
)

// Revisions are the revisions of the settings and targets in force at an entry.
type Revisions struct {
	Settings uint64
	Targets  uint64
}

// olderThan reports whether other has a newer revision of either.
func (r Revisions) olderThan(other Revisions) bool {
	return other.Settings > r.Settings || other.Targets > r.Targets
}

// LeavingNotice announces that an incarnation of a target is leaving.
type LeavingNotice struct {
	Target string
	Boot   uint64
	Time   time.Time
}

// CrashReport reports a request that has crashed targets.
type CrashReport struct {
	Fingerprint uint64 // identifies the request
	Crashes     uint32 // targets that it has crashed
	Time        time.Time
	// Unanswered is the number of its dispatches in a row that got no response, from Since to Last, and
	// Trials the number of trials among them.
	Unanswered, Trials uint32
	Since, Last        time.Time
	Answered           bool // targets had answered it before
	// Reporter is the entry that observed the crashes; each entry counts only its own
	// observations. Sequence orders the reports of one entry.
	Reporter string
	Sequence uint64
}

// Rumours are short-lived notices that entries relay to each other.
type Rumours struct {
	LeavingNotices []LeavingNotice
	CrashReports   []CrashReport
}

func (r Rumours) empty() bool { return len(r.LeavingNotices) == 0 && len(r.CrashReports) == 0 }

// Message is one direction of an exchange.
type Message struct {
	From             ID
	Digest           uint64 // over the sender's entries that are not gone
	Revisions        Revisions
	Join             bool     // first contact: asks for every entry
	Entries          []Entry  // recent changes, or summaries of the buckets in BucketMask
	BucketDigests    []uint32 // by bucket, in a response whose digest differs from the request's
	BucketMask       uint64   // a bit for each bucket whose summaries are in Entries
	MissingAddresses []string // names whose addresses the sender lacks
	SuspectDigests   []uint32 // digests of suspects, sent while there are many
	Rumours          Rumours
}
