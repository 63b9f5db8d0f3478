package member

import (
	"math/rand/v2"
	"time"
)

// Config builds a Table. Zero durations take the defaults.
type Config struct {
	Self             Entry         // ID, addresses, place and region of this entry
	Seeds            []string      // peer addresses for the first contact
	Period           time.Duration // between gossip rounds; 1 s
	ExchangeTimeout  time.Duration // of a direct exchange; 400 ms
	RelayTimeout     time.Duration // of an indirect ping; 800 ms
	SuspicionTimeout time.Duration // until a suspect is declared dead, with up to 16 entries; 1.5 s
	DeadRetention    time.Duration // how long a dead entry is retried; 24 h
	LeftRetention    time.Duration // how long an entry that left is remembered; 1 h
	// ForgottenRetention is how long a dead entry is counted after its retention; 24 h.
	ForgottenRetention time.Duration
	FanOut             int // peers that a change is pushed to at once; 2
	// MaxEntryBytes bounds the entries of a message that must fit into a packet. With
	// 0 only their number is bounded.
	MaxEntryBytes int
	// BulkThreshold is the least number of differing buckets for which this entry emits
	// a Fetch instead of exchanging summaries; 0 disables it.
	BulkThreshold int
	// ExclusiveName promises that no other process uses this name. A later incarnation
	// in the peers' views is then an earlier process, from before its clock was set back.
	ExclusiveName bool
	Rand          *rand.Rand
}

// With these defaults 14 entries detect a death within 5 s.
const (
	DefaultPeriod           = time.Second
	DefaultExchangeTimeout  = 400 * time.Millisecond
	DefaultRelayTimeout     = 800 * time.Millisecond
	DefaultSuspicionTimeout = 1500 * time.Millisecond
	DefaultDeadRetention    = 24 * time.Hour
	DefaultLeftRetention    = time.Hour
	DefaultFanOut           = 2

	DefaultForgottenRetention = 24 * time.Hour
)

func (c Config) withDefaults() Config {
	orDefault(&c.Period, DefaultPeriod)
	orDefault(&c.ExchangeTimeout, DefaultExchangeTimeout)
	orDefault(&c.RelayTimeout, DefaultRelayTimeout)
	orDefault(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	orDefault(&c.DeadRetention, DefaultDeadRetention)
	orDefault(&c.LeftRetention, DefaultLeftRetention)
	orDefault(&c.ForgottenRetention, DefaultForgottenRetention)
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
