package gateway

import (
	"cmp"
	"time"

	"plumpitch.example/plumpitch/pkg/route"
)

// Timeouts and bounds of callers' connections where the configuration has no smaller ones.
const (
	// headerTimeout bounds the reading of a request head.
	headerTimeout = 10 * time.Second
	// headerSlack is added to the time that the configuration gives callers to send a head, for
	// retransmissions and a busy VM.
	headerSlack = 500 * time.Millisecond
	// callerTimeout bounds an idle connection and the reading of a request.
	callerTimeout = 2 * time.Minute
	// auxTimeout bounds the reading of a request to another listener.
	auxTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request head until there is a configuration.
	maxHeaderBytes = 64 << 10
)

// limits returns the limits of the configuration in force.
func (g *Gateway) limits() (l route.Limits) {
	if table := g.view.Load().table; table != nil {
		return table.Config.Limits
	}
	return l
}

// idleTimeout returns the idle timeout of callers' connections. It is bounded also without a limit in
// the configuration: abandoned connections would use up the descriptors of a small VM. Callers reuse
// a connection only if it has been idle for at most four fifths of the limit, so none is closed while
// a caller sends a request on it.
func (g *Gateway) idleTimeout() time.Duration {
	return min(cmp.Or(g.limits().IdleTimeout, callerTimeout), callerTimeout)
}

// headerTimeout returns the time for reading a request head.
func (g *Gateway) headerTimeout() time.Duration {
	return min(cmp.Or(g.limits().HeaderTimeout, headerTimeout)+headerSlack, headerTimeout)
}

// maxHeaderBytes returns the bound of the header lines of a request.
func (g *Gateway) maxHeaderBytes() int { return cmp.Or(g.limits().MaxHeaderBytes, maxHeaderBytes) }
