package ratelimit

import "time"

// Request is a request that needs a token.
type Request struct {
	ID      uint64 // unique in the client
	Account string
	Limit   Limit
	Late    bool // it can't meet its latency objective any more
	// The other fields tell a late request by what other entries know of its route.
	Route     uint32        // identifies the route; 0 if unknown
	Shortest  time.Duration // shortest timeout with which callers of the route start; 0 if unknown
	Remaining time.Duration // time that the caller still waits; 0 if unknown
	Slack     time.Duration // time that the caller may have waited while the request is on time
}

// ActionKind is what the driver of a Client has to do.
type ActionKind uint8

// Kinds of actions.
const (
	SendAsk ActionKind = iota + 1 // send Ask to the issuer of its account; Attempt counts from 0
	Admit                         // the request has a token
	Refuse                        // the account is over its limit; the caller may retry after RetryAfter
	GiveUp                        // the issuer does not answer, or may not grant all tokens that the limit allows
)

// Action is one action for the driver to perform.
type Action struct {
	Kind       ActionKind
	ID         uint64 // of the request, for Admit, Refuse and GiveUp
	Ask        Ask
	Attempt    int // number of earlier transmissions of Ask
	RetryAfter time.Duration
	Late       bool // the request was late, for Admit and Refuse
}
