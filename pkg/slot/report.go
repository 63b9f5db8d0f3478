package slot

import "time"

// Report is what a target says of itself in a response. The zero value says nothing.
type Report struct {
	Load    Load
	Loaded  bool    // whether Load was given
	Limit   float64 // requests a second that it takes from all entries together
	Limited bool    // whether Limit was given
	// Unlimited says that a response was read that names no limit. Where a limit
	// can't be read, neither is set.
	Unlimited bool
	Leaving   bool // it wants no new work
	// Pause is for how long it wants nothing from this entry.
	Pause time.Duration
}
