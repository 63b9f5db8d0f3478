// Package quota divides a target's capacity among the entries that send to it, without
// messages between them. A target that has just started can serve few requests a second and
// crashes above that rate. An overloaded target reports a limit in its responses. Both
// bounds apply to all entries together. The package does no I/O and reads no clock.
//
// Rendezvous hashing assigns each such target to a few entries, its holders. Each holder may
// send a fixed share. A new share takes effect after the time that requests of a previous
// holder may need to arrive.
package quota
