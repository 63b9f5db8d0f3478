package roster

import "fmt"

// Revision is a position in the history of the store that all objects share. A store that
// is restored from a copy begins another history, an epoch, in which positions are given
// out again: any revision of a newer epoch is greater than all of the older ones.
type Revision uint64

const positionBits = 48

// The greatest epoch and position that a Revision holds.
const (
	MostEpoch    = 1<<(64-positionBits) - 1
	MostPosition = 1<<positionBits - 1
)

// NewRevision returns the revision at a position of an epoch.
func NewRevision(epoch, position uint64) Revision {
	return Revision(min(epoch, MostEpoch)<<positionBits | min(position, MostPosition))
}

// Epoch is the history that the revision belongs to; 0 where the store names none.
func (r Revision) Epoch() uint64 { return uint64(r) >> positionBits }

// Position is the store's own number within the epoch.
func (r Revision) Position() uint64 { return uint64(r) & MostPosition }

// String returns the epoch and the position.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Epoch(), r.Position()) }
