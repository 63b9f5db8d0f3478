package reply

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// maxInterimBytes bounds the interim responses of a Transport whose MaxResponseHeaderBytes isn't set.
const maxInterimBytes = 64 << 10

// Transport fails requests whose response is malformed, and closes their connections.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := &exchange{interim: Interim{Left: cmp.Or(t.MaxResponseHeaderBytes, maxInterimBytes)}}
	resp, err := t.Transport.RoundTrip(r.WithContext(x.attach(r.Context())))
	if err != nil {
		return nil, err
	}
	resp.Request = r
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		x.closeConn()
		return nil, err
	}
	if resp.Body != http.NoBody && resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body = &body{resp.Body, resp, x}
	}
	return resp, nil
}

// exchange is a request and its response.
type exchange struct {
	interim Interim
	conn    atomic.Value // connBox
}

// connBox gives connections of all types the same type.
type connBox struct{ net.Conn }

// attach returns a context with the trace hooks.
func (x *exchange) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { x.conn.Store(connBox{info.Conn}) },
		Got1xxResponse: x.interim.Check,
	})
}

// closeConn closes the connection, which is idle already if the response has no body or was read.
func (x *exchange) closeConn() {
	if c, ok := x.conn.Load().(connBox); ok {
		c.Close()
	}
}

// body is the body of a response, whose trailer is complete at its end.
type body struct {
	io.ReadCloser
	resp     *http.Response
	exchange *exchange
}

// Read fails at the end if the trailer is malformed.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := CheckTrailer(b.resp.Trailer); err != nil {
		b.exchange.closeConn()
		return n, err
	}
	return n, io.EOF
}
