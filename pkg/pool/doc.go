// Package pool decides, for one service at one entry, which target gets each
// request, which requests wait, and which are refused. It does no I/O: events
// and the present time come in, actions go out. A Pool is not safe for
// concurrent use.
package pool
