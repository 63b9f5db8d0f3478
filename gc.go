package main

import (
	"os"
	"runtime/debug"
)

// gcPercent lets the heap grow to five times what is live before a collection.
// An entry keeps a few megabytes, so that the default collects several times a
// second, and each collection delays the requests that it meets.
const gcPercent = 400

// tuneGC leaves the operator's own GOGC in force.
func tuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
