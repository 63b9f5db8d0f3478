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

// maxAsk bounds the body of an answer to a question.
const maxAsk = 4 << 10

// Ask sends a GET to a target on a connection of those that requests use, so
// that a question costs no connection of its own.
func (f *Forwarder) Ask(ctx context.Context, target, path string) (status int, h http.Header, err error) {
	defer func() { err = errors.WithMessage(err, "asking "+target) }()
	u := url.URL{Scheme: "http", Host: target, Path: path}
	var on atomic.Pointer[conn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.begin()
			on.Store(c)
		}
	}})
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, nil, err
	}
	r.Header["User-Agent"] = nil
	w, err := f.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer w.Body.Close()
	if f.cfg.Echo != "" && w.Header.Get(f.cfg.Echo) != "" {
		// It answers a request that was sent on this connection before. The
		// answer to the question is still to come and would be taken for that
		// to the next request.
		if c := on.Load(); c != nil {
			c.Close()
		}
		return 0, nil, errStale
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(w.Body, maxAsk)); err != nil {
		return 0, nil, err
	}
	return w.StatusCode, w.Header, nil
}
