// Package pool balances the requests of one service at one entry: it decides which
// target gets each request, which requests are queued, and which are refused. It does
// no I/O: its inputs are events with the current time, its outputs are actions. A Pool
// is not safe for concurrent use.
package pool
