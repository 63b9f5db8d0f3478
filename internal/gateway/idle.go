package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idlers closes callers' connections that stay idle for longer than the
// configuration allows. An http.Server has one idle time for its whole life,
// and the configuration's changes while it runs. Without a bound, callers that
// never come back would use up the descriptors of a small VM.
type idlers struct {
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdlers() *idlers {
	return &idlers{timers: make(map[net.Conn]*time.Timer)}
}

// track is an http.Server's ConnState. Callers use a connection again that has
// been idle for up to four fifths of limit, so that none is closed under a
// request that they send.
func (i *idlers) track(c net.Conn, s http.ConnState, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if limit <= 0 || s != http.StateNew && s != http.StateIdle {
		return
	}
	i.timers[c] = time.AfterFunc(limit, func() { i.end(c) })
}

// end closes a connection unless a request has come on it meanwhile.
func (i *idlers) end(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	c.Close()
}

// idleLimit is how long a caller's connection may stay idle by the
// configuration in force; 0 where none is.
func (g *Gateway) idleLimit() time.Duration {
	table := g.view.Load().table
	if table == nil {
		return 0
	}
	return table.Config.Limits.IdleTime
}
