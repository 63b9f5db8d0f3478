package quota

import "time"

// maxHolders is the number of holders of a target if the quota is large enough. With a
// single holder, the target is unused while that entry has no requests. With many, the share
// of each may be too small to make up for idle holders.
const maxHolders = 3

// Share is what each holder of a target may send to it.
type Share struct {
	Holders     int           // entries that a target is assigned to
	PerHolder   int           // requests of each holder within the span of its Limiter
	MinInterval time.Duration // shortest time between two requests of one holder
	Delay       time.Duration // time from the assignment until the share takes effect
	// Resumes reports whether a holder that loses its share for a time g, shorter than Delay,
	// waits for g once it has it again, and not for Delay. The entry that held the share
	// meanwhile has not sent by then.
	Resumes bool
}
