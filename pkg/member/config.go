package member

import (
	"math/rand/v2"
	"time"
)

// Config builds a Table. Zero durations take the defaults.
type Config struct {
	Self       Entry         // ID, addresses, place and region of this entry
	Seeds      []string      // peer addresses for the first contact
	Period     time.Duration // between gossip rounds; 1 s
	Timeout    time.Duration // of a direct exchange; 400 ms
	Relay      time.Duration // of an indirect ping; 800 ms
	Suspicion  time.Duration // until a suspect is declared dead, with up to 16 entries; 1.5 s
	ForgetDead time.Duration // how long a dead entry is retried; 24 h
	ForgetLeft time.Duration // how long an entry that left is remembered; 1 h
	FanOut     int           // peers that a change is pushed to at once; 2
	// MaxEntryBytes bounds the entries of a message that must fit into a packet. With
	// 0 only their number is bounded.
	Room int
	// BulkThreshold is the number of differing buckets from which this entry fetches
	// the peer's whole view instead of exchanging summaries; 0 disables it.
	Bulk int
	// ExclusiveName promises that no other process uses this name. A later incarnation
	// in the peers' views is then an earlier process, from before its clock was set back.
	Sole bool
	Rand *rand.Rand
}

// With these defaults 14 entries detect a death within 5 s.
const (
	DefaultPeriod     = time.Second
	DefaultTimeout    = 400 * time.Millisecond
	DefaultRelay      = 800 * time.Millisecond
	DefaultSuspicion  = 1500 * time.Millisecond
	DefaultForgetDead = 24 * time.Hour
	DefaultForgetLeft = time.Hour
	DefaultFanOut     = 2
)

func (c Config) withDefaults() Config {
	orDefault(&c.Period, DefaultPeriod)
	orDefault(&c.Timeout, DefaultTimeout)
	orDefault(&c.Relay, DefaultRelay)
	orDefault(&c.Suspicion, DefaultSuspicion)
	orDefault(&c.ForgetDead, DefaultForgetDead)
	orDefault(&c.ForgetLeft, DefaultForgetLeft)
	if c.FanOut <= 0 {
		c.FanOut = DefaultFanOut
	}
	return c
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
