package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/reply"
)

// maxProbeBody is the longest valid body of a probe response, in bytes.
const maxProbeBody = 4 << 10

// ErrUnidentified is the cause of a failed probe whose response may not be the probe's own. A
// target, or what has its address, sent it.
var ErrUnidentified = errors.New("response may not be that of the probe")

var errLongProbeBody = errors.Errorf("body of a probe response is longer than %d bytes", maxProbeBody)

// ProbeParams describes a probe.
type ProbeParams struct {
	Target string // host:port
	Path   string
	// IsOwn reports whether a response's header is that of a probe's response.
	IsOwn func(h http.Header) bool
}

// Probe sends a GET to a target on one of the connections that requests use, so
// that a probe needs no connection of its own. A connection whose response isn't
// identified is closed: the response to the probe may follow, and would be taken
// for that to the next request.
func (f *Forwarder) Probe(ctx context.Context, p ProbeParams) (status int, h http.Header, err error) {
	defer func() { err = errors.WithMessage(err, "probing "+p.Target) }()
	u := url.URL{Scheme: "http", Host: p.Target, Path: p.Path}
	trace := probeTrace{interim: reply.Interim{Left: f.cfg.MaxHeaderBytes}}
	req, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, nil, err
	}
	req.Header["User-Agent"] = nil
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if trace.stale.Load() || reply.CheckHead(resp) != nil || !p.IsOwn(resp.Header) || f.cfg.EchoHeader != "" && len(resp.Header[f.cfg.EchoHeader]) > 0 {
		trace.closeConn()
		return 0, nil, ErrUnidentified
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBody+1))
	if err == nil && n > maxProbeBody {
		err = errLongProbeBody
	}
	if err == nil {
		err = reply.CheckTrailer(resp.Trailer)
	}
	if err != nil {
		trace.closeConn()
		return 0, nil, err
	}
	return resp.StatusCode, resp.Header, nil
}

// probeTrace records the connection of a probe, and whether its response was received before the
// probe was written.
type probeTrace struct {
	conn    atomic.Pointer[conn]
	stale   atomic.Bool
	interim reply.Interim
}

// attach returns a context with the trace hooks.
func (t *probeTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.beginRequest()
				t.conn.Store(c)
			}
		},
		GotFirstResponseByte: func() {
			if c := t.conn.Load(); c != nil && c.stale() {
				t.stale.Store(true)
			}
		},
		Got1xxResponse: t.interim.Check,
	})
}

// closeConn closes the connection.
func (t *probeTrace) closeConn() {
	if c := t.conn.Load(); c != nil {
		c.Close()
	}
}
