// Package quota divides what a target takes among the entries that send to it, without a
// message between them. A target that has just started bears few requests a second and
// crashes above that; a target in need names a limit in its responses. Both hold for
// whoever sends. The package does no I/O and reads no clock.
//
// Each such target is dealt to a few of the entries by rendezvous hashing, and each of
// these may send it a fixed share. A share counts only once it has been held for as long
// as the requests of the one who had it before may take to arrive.
package quota
