package gateway

import (
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/admission"
)

// Bounds of a connection with several requests under way. Together they keep a connection
// below a hundredth of the memory of the smallest VMs.
const (
	maxPipelined      = 16
	maxPipelinedBytes = 256 << 10
)

// frontServer returns the server for callers' requests. With client accounts, callers may have
// several requests under way on a connection.
func (g *Gateway) frontServer() *callers.Server {
	return callers.New(callers.Config{
		Handler: http.HandlerFunc(g.serve), Concurrent: g.concurrent, Pipelines: g.pipelines, ConnContext: withCallerConn,
		HeaderTimeout: g.headerTimeout, ReadTimeout: callerTimeout, IdleTimeout: g.idleTimeout, MaxHeaderBytes: g.maxHeaderBytes,
		MaxRequests: maxPipelined, MaxWaitingBytes: maxPipelinedBytes, Guard: g.guard.At(admission.Traffic), Log: g.log, OnCut: g.noteCut,
	})
}

// auxServer returns the server of another listener.
func (g *Gateway) auxServer(class admission.Class, h http.Handler) *callers.Server {
	return callers.New(callers.Config{
		Handler: h, HeaderTimeout: g.headerTimeout, ReadTimeout: auxTimeout, IdleTimeout: g.idleTimeout,
		MaxHeaderBytes: g.maxHeaderBytes, Guard: g.guard.At(class), Log: g.log,
	})
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
