package member

import (
	"math/rand/v2"
	"time"
)

// Config builds a Table. Zero durations take the defaults.
type Config struct {
	Self       Entry         // ID, addresses, place and region of this entry
	Seeds      []string      // peer addresses for a first contact
	Period     time.Duration // between rounds; 1 s
	Timeout    time.Duration // of a direct exchange; 400 ms
	Relay      time.Duration // of a ping through another entry; 800 ms
	Suspicion  time.Duration // until a suspect is declared dead, up to 16 entries; 1.5 s
	ForgetDead time.Duration // after which a dead entry is no longer retried; 24 h
	ForgetLeft time.Duration // after which an entry that left is forgotten; 1 h
	FanOut     int           // others that news are pushed to at once; 2
	// Room is how many bytes of entries a message has room for, where it has to fit
	// into a packet; 0 leaves the bounds by number alone.
	Room int
	// Bulk is the number of differing buckets from which on all that a peer knows is
	// fetched in place of an exchange of lists; 0 never does.
	Bulk int
	// Sole says that there is never another process of this name: a later
	// incarnation that others know of was one before a clock went back.
	Sole bool
	Rand *rand.Rand
}

// Defaults, chosen so that 14 entries know of a death within 5 s.
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
