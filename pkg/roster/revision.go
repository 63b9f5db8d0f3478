package roster

import "fmt"

// Revision is a position in the history of the store, which all objects share. When the
// store is restored from a copy, a new history begins, called an epoch, in which positions
// are assigned again. Any revision of a newer epoch is greater than all of older epochs.
type Revision uint64

const positionBits = 48

// The greatest epoch and position that fit into a Revision.
const (
	MaxEpoch    = 1<<(64-positionBits) - 1
	MaxPosition = 1<<positionBits - 1
)

// NewRevision returns the revision at a position of an epoch.
func NewRevision(epoch, position uint64) Revision {
	return Revision(min(epoch, MaxEpoch)<<positionBits | min(position, MaxPosition))
}

// Epoch returns the epoch of the revision, or 0 if the store reports none.
func (r Revision) Epoch() uint64 { return uint64(r) >> positionBits }

// Position returns the store's own revision number within the epoch.
func (r Revision) Position() uint64 { return uint64(r) & MaxPosition }

// String returns the epoch and the position.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Epoch(), r.Position()) }
