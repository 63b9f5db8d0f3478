package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that are idle for longer than the configuration
// allows. That limit may change while the server runs, but http.Server's idle timeout
// cannot. Without a limit, abandoned connections would use up the file descriptors of a
// small VM.
type idleCloser struct {
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser() *idleCloser {
	return &idleCloser{timers: make(map[net.Conn]*time.Timer)}
}

// track handles a state change of a connection (http.Server.ConnState). Callers reuse a
// connection only if it has been idle for at most four fifths of limit, so none is closed
// while a caller sends a request on it.
func (i *idleCloser) track(c net.Conn, s http.ConnState, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if limit <= 0 || s != http.StateNew && s != http.StateIdle {
		return
	}
	i.timers[c] = time.AfterFunc(limit, func() { i.close(c) })
}

// close closes a connection unless a request has arrived on it in the meantime.
func (i *idleCloser) close(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	c.Close()
}

// idleTimeout returns the idle timeout of callers' connections from the configuration in
// force, or 0 without one.
func (g *Gateway) idleTimeout() time.Duration {
	table := g.view.Load().table
	if table == nil {
		return 0
	}
	return table.Config.Limits.IdleTimeout
}
