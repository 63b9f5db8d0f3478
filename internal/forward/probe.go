package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxProbeBody is the longest body of a probe response that is read, in bytes.
const maxProbeBody = 4 << 10

// Probe sends a GET to a target on one of the connections that requests use, so
// that a probe needs no connection of its own.
func (f *Forwarder) Probe(ctx context.Context, target, path string) (status int, h http.Header, err error) {
	defer func() { err = errors.WithMessage(err, "probing "+target) }()
	u := url.URL{Scheme: "http", Host: target, Path: path}
	var used atomic.Pointer[conn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginRequest()
			used.Store(c)
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, nil, err
	}
	req.Header["User-Agent"] = nil
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if f.cfg.EchoHeader != "" && resp.Header.Get(f.cfg.EchoHeader) != "" {
		// This is the response to an earlier request on the connection. The
		// response to the probe would follow, and would be taken for the response
		// to the next request.
		if c := used.Load(); c != nil {
			c.Close()
		}
		return 0, nil, errStaleConnection
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBody)); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, resp.Header, nil
}
