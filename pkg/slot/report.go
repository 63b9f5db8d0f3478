package slot

import "time"

// Report is what a target reports about itself in a response. The zero value reports
// nothing.
type Report struct {
	Load     Load
	HasLoad  bool    // whether Load was reported
	Limit    float64 // requests per second that it accepts from all entries together
	HasLimit bool    // whether Limit was reported
	// Unlimited means that a response was read and reported no limit. HasLimit and Unlimited
	// are both false if there was no response or its limit can't be parsed.
	Unlimited bool
	Leaving   bool // it accepts no new requests
	// Pause is the time for which it asks this entry to send nothing.
	Pause time.Duration
}
