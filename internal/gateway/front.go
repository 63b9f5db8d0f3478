package gateway

import (
	"context"
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
		q := platform.ReadQuestion(r)
		list := g.view.Load().addresses(q.Host, q.Region, g.self)
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
	g.await(r.Context(), now, q.id)
	v := g.settled(r.Context(), now)
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

// Times of requests that meet an entry which has just started.
const (
	// startTime is how long after its start an entry holds requests until it
	// knows a configuration and targets. Where all started together they know
	// them within 0.1 s; refused, their callers came back 0.2 s later.
	startTime = 250 * time.Millisecond
	// startWait bounds the wait of one request: less than the shortest objective,
	// 150 ms.
	startWait = 100 * time.Millisecond
)

// settled returns what traffic knows, after a wait where the entry has just
// started and knows nothing yet.
func (g *Gateway) settled(ctx context.Context, now time.Time) *view {
	v := g.view.Load()
	wait := min(startWait, startTime-now.Sub(g.started))
	if v.targets || wait <= 0 {
		return v
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.known:
	case <-t.C:
	case <-ctx.Done():
	}
	return g.view.Load()
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
