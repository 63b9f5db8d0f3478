package main

import (
	"os"
	"runtime/debug"
)

// defaultGCPercent lets the heap grow to five times the live heap between collections.
// An entry's live heap is a few megabytes. With Go's default it would be collected
// several times per second, and each collection delays the requests in progress.
const defaultGCPercent = 400

// tuneGC sets the GC target, unless the operator has set GOGC.
func tuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(defaultGCPercent)
	}
}
