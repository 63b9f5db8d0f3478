package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/platform"
)

// directoryTTL is how long a directory answer counts. Callers whose owner died
// ask again within it.
const directoryTTL = time.Second

// sideHandler answers readiness checks and callers that ask where to connect.
func (g *Gateway) sideHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if g.leaving.Load() || g.view.Load().table == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc(platform.PathResolve, func(w http.ResponseWriter, r *http.Request) {
		list := g.view.Load().addresses(platform.ReadQuestion(r).Host, g.self)
		if len(list) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err := platform.WriteResolve(w, list, min(directoryTTL, g.bounds.Load().MaxTTL)); err != nil {
			g.log.WithError(err).Debug("directory answer not written")
		}
	})
	return mux
}

// serve serves one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{gateway: g, w: w, r: r, arrived: now, id: platform.RequestID(r.Header)}
	v := g.view.Load()
	if v.table == nil {
		q.refuse("noconfig", noConfigRetry)
		return
	}
	q.version = v.table.Config.Version
	q.route = v.table.Find(r.Host, r.URL.EscapedPath())
	if q.route == nil {
		q.final(http.StatusNotFound, "noroute")
		return
	}
	if rate := v.rates[q.route.Host]; rate != nil {
		rate.add()
	}
	limits := v.table.Config.Limits
	if headerBytes(r) > limits.HeaderBytes {
		q.final(http.StatusRequestHeaderFieldsTooLarge, "longheader")
		return
	}
	body, err := readBody(r, limits)
	switch {
	case errors.Is(err, errLong):
		q.final(http.StatusRequestEntityTooLarge, "toolong")
		return
	case err != nil:
		g.log.WithError(err).WithField(logs.FieldRequest, q.id).Info("request not read")
		panic(http.ErrAbortHandler)
	}
	q.body = body
	q.run(v)
}

// noConfigRetry is when to come back to an entry that knows no configuration:
// it reads one within that time unless the store is away.
const noConfigRetry = 200 * time.Millisecond

// headerBytes is the size of a request's header lines.
func headerBytes(r *http.Request) (n int) {
	const colonAndBreak = 4
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + colonAndBreak
		}
	}
	return n
}

var errLong = errors.New("request body is too long")

// readBody reads a whole body. Only then may its request be sent to a target
// and, where it surely didn't run, to another one.
func readBody(r *http.Request, l route.Limits) (body []byte, err error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > l.BodyBytes {
		return nil, errLong
	}
	body, err = io.ReadAll(io.LimitReader(r.Body, l.BodyBytes+1))
	if err == nil && int64(len(body)) > l.BodyBytes {
		return nil, errLong
	}
	return body, err
}
