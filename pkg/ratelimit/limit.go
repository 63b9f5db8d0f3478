// Package ratelimit limits the requests of client accounts over all entries together.
//
// For each account one entry, its issuer, holds a token bucket. The other entries ask it for
// tokens and spend one for each request that they send to a target. The package makes the
// decisions; it does no I/O and reads no clock.
package ratelimit

import "time"

// Limit is the quota of an account over all entries together.
type Limit struct {
	Rate    float64 // tokens per second; 0 means that the account is not limited
	Burst   float64 // tokens that may be saved up
	Version uint64  // version of the configuration that sets the limit; a higher one is newer
}

// Unlimited reports whether the limit allows any number of requests.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Tolerance is how far all entries together may exceed a limit. In any window of this length
// they may use (Rate × Window + Burst) × (1 + Factor) + Slack tokens.
type Tolerance struct {
	Window time.Duration
	Factor float64
	Slack  float64
}

// Ask is an entry's request for tokens to the issuer of an account.
type Ask struct {
	Account  string
	Sequence uint64 // grows with each ask of the entry; a retransmission repeats it
	Wanted   int    // tokens for requests that wait and can meet their objective
	Late     int    // tokens for requests that wait and can't
	Extra    int    // tokens wanted in advance
	Debt     int    // dispatches without a token since the last ask
	Returned int    // unused tokens of earlier grants, given back
	Refused  int    // requests refused by the entry itself since the last ask
	// RefusedLate is like Refused, of requests that couldn't meet their objective.
	RefusedLate int
	Limit       Limit // as in the entry's configuration
	// Starts are the routes of the account's last requests, with the shortest starting timeout
	// where the entry knows it.
	Starts Starts
}

// Grant is the response to an Ask.
type Grant struct {
	Account  string
	Sequence uint64 // of the Ask
	Tokens   int    // for requests on time, and in advance
	Late     int    // for late requests
	// RetryAfter is when the first refused request can expect a token if it returns, and Interval
	// the time from one such request to the next.
	RetryAfter time.Duration
	Interval   time.Duration
	NotIssuer  bool // the receiver may not grant tokens
	// Settling means that the issuer is new and grants less than the limit allows, so a refused
	// request is not known to be over it.
	Settling bool
	Starts   Starts // of the routes whose shortest timeout the entry doesn't know
	// KnowsLate means that the issuer knows late requests. One of an earlier version ignores them.
	KnowsLate bool
}

// TokenLifetime is how long after its grant has arrived a token may be spent.
const TokenLifetime = 200 * time.Millisecond

// Transfer is the state of an account's token bucket, from one issuer to the next.
type Transfer struct {
	Account  string
	Limit    Limit
	Level    float64       // tokens, without those that were granted in advance
	Pace     time.Duration // from now to the pacing time; may be negative
	Return   time.Duration // from now to the time at which the next refused caller is to return
	Share    float64       // of the rate at which the bucket filled
	Sequence uint64        // grows with each transfer of the sender
}
