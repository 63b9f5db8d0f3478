// Package hangup receives SIGHUP for a gateway from the earliest possible time.
//
// A signal that arrives before signal.Notify ends the process. This package therefore installs
// the handler as it is initialized. It imports nothing but the standard packages needed for
// that, so its initialization doesn't wait for that of the other packages, which takes several
// milliseconds of processor time.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Command is the subcommand for which the handler is installed. SIGHUP ends the others, as it
// does by default.
const Command = "gateway"

var received = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && os.Args[1] == Command {
		signal.Notify(received, syscall.SIGHUP)
	}
}

// Notify installs the handler if it isn't installed yet and returns the channel on which signals
// arrive, including one that arrived before the call. The handler stays installed until the
// process exits, so that a signal during a planned stop doesn't end it.
func Notify() <-chan os.Signal {
	signal.Notify(received, syscall.SIGHUP)
	return received
}
