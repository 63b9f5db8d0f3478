package gateway

import (
	"net"
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/internal/relay"
)

// Bounds of a connection with several requests under way. Together they keep a connection
// below a hundredth of the memory of the smallest VMs.
const (
	maxPipelined       = 16
	maxPipelinedBytes  = 256 << 10
	maxPipelinedHeader = 64 << 10
)

// pipelinedServer returns the server of the connections on which callers may have several
// requests under way.
func (g *Gateway) pipelinedServer() *callers.Server {
	return callers.New(callers.Config{
		Handler: http.HandlerFunc(g.serve), Concurrent: g.concurrent, ConnContext: withPipelinedConn,
		HeaderTimeout: headerTimeout, ReadTimeout: callerTimeout, IdleTimeout: g.pipelinedIdleTimeout,
		MaxHeaderBytes: maxPipelinedHeader, MaxRequests: maxPipelined, MaxWaitingBytes: maxPipelinedBytes, Log: g.log,
	})
}

// pipelinedIdleTimeout returns the idle timeout of these connections. It is bounded also
// without a limit in the configuration, as http.Server bounds it for the others.
func (g *Gateway) pipelinedIdleTimeout() time.Duration {
	if d := g.idleTimeout(); d > 0 {
		return min(d, callerTimeout)
	}
	return callerTimeout
}

// concurrent reports whether a request may be served beside earlier ones of its connection.
// The caller of others has to learn how one ended before it can know whether the next may run.
func (g *Gateway) concurrent(r *http.Request) bool {
	table := g.view.Load().table
	if table == nil {
		return false
	}
	e := table.Find(r.Host, r.URL.EscapedPath())
	return e != nil && e.Idempotent
}

// pipelines reports whether new connections may have several requests under way.
func (g *Gateway) pipelines() bool {
	table := g.view.Load().table
	return table != nil && table.Config.Accounts != nil
}

// splitListener returns a listener of the connections that have one request under way at a
// time. The others are served by s.
func (g *Gateway) splitListener(s *callers.Server) net.Listener {
	return splitListener{g.frontListener, g.pipelines, func(c net.Conn) {
		defer g.memory.disconnect()
		s.ServeConn(c)
	}, g.memory.connect}
}

type splitListener struct {
	net.Listener
	diverts func() bool
	serve   func(net.Conn)
	connect func(now time.Time) bool // reports whether there is room for a connection
}

// Accept returns the next connection that is not diverted. Those without room are closed.
func (l splitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.connect(time.Now()) {
			c.Close()
			continue
		}
		boundUnread(c, receiveBuffer)
		if !l.diverts() {
			return c, nil
		}
		go l.serve(c)
	}
}

// receivePacket handles a packet of another entry. Those about tokens bypass the control loop,
// since requests wait for them.
func (g *Gateway) receivePacket(p relay.Packet, from string) {
	switch p.Kind {
	case relay.TokenRequest:
		g.instruments.packetsReceived.Inc(1)
		g.quotas.receiveAsk(time.Now(), p, from)
	case relay.TokenResponse:
		g.instruments.packetsReceived.Inc(1)
		g.quotas.receiveGrant(time.Now(), p)
	case relay.TokenTransfer:
		g.instruments.packetsReceived.Inc(1)
		g.quotas.receiveTransfers(time.Now(), p)
	default:
		g.control.enqueuePacket(p, from)
	}
}
