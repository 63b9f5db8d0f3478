package gateway

import (
	"context"
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/platform"
)

// directoryTTL is the time to live of a directory response. Callers whose owner died
// resolve the host again within it.
const directoryTTL = time.Second

// auxHandler serves readiness checks and the directory, which tells callers where to
// connect.
func (g *Gateway) auxHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if g.leaving.Load() || g.view.Load().table == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc(platform.PathResolve, func(w http.ResponseWriter, r *http.Request) {
		query := platform.ParseResolveRequest(r)
		v := g.view.Load()
		if v.refusesCallers() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		addresses := v.callerAddresses(query.Host, query.Region, g.self)
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err := platform.WriteResolveResponse(w, addresses, min(directoryTTL, g.bounds.Load().MaxTTL)); err != nil {
			g.log.WithError(err).Debug("could not write the directory response")
		}
	})
	return mux
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{gateway: g, w: w, r: r, arrived: time.Now(), id: platform.RequestID(r.Header)}
	q.serve()
}

// serve serves the request and frees its body.
func (q *request) serve() {
	defer func() {
		if !q.bodyUsed {
			q.closeBody()
		}
	}()
	q.handle()
}

// handle routes and runs the request.
func (q *request) handle() {
	g, r := q.gateway, q.r
	g.awaitFresh(r.Context(), q.arrived, q.id)
	v := g.viewAfterStart(r.Context(), q.arrived)
	if v.table == nil {
		q.refuse("noconfig", noConfigRetry)
		return
	}
	q.table, q.version = v.table, v.table.Config.Version
	q.route = v.table.Find(r.Host, r.URL.EscapedPath())
	if q.route == nil {
		q.respond(http.StatusNotFound, "noroute")
		return
	}
	if rate := v.rates[q.route.Host]; rate != nil && !q.passedOn {
		rate.add()
	}
	if !q.authenticate() {
		return
	}
	if g.leaving.Load() && q.refusedLate(time.Now(), v.services[q.route.Split.Peek()]) {
		return
	}
	limits := v.table.Config.Limits
	if q.headerBytes() > limits.MaxHeaderBytes {
		q.respond(http.StatusRequestHeaderFieldsTooLarge, "longheader")
		return
	}
	if !q.receiveBody(limits) {
		return
	}
	if !q.passedOn && !q.awaitToken(v) {
		return
	}
	s := v.services[q.chooseService()]
	if q.refusedLate(time.Now(), s) {
		q.returnToken()
		return
	}
	q.run(s)
	q.noteDuration(time.Now())
}

// Waits of requests that arrive while the entry starts.
const (
	// startupWindow is how long after its start an entry holds requests until it has a
	// configuration, the targets and, if the settings require them, the evacuations.
	// Entries that start together have the configuration and the targets within 0.1 s;
	// a refused caller would retry only 0.2 s later.
	startupWindow = 250 * time.Millisecond
	// maxStartupWait bounds the wait of one request. It is shorter than the shortest
	// objective, 150 ms.
	maxStartupWait = 100 * time.Millisecond
)

// viewAfterStart returns the current view. If the entry has just started, it first waits
// for a view from which a target can be chosen.
func (g *Gateway) viewAfterStart(ctx context.Context, now time.Time) *view {
	v := g.view.Load()
	wait := min(maxStartupWait, startupWindow-now.Sub(g.started))
	if v.initialized || wait <= 0 {
		return v
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.initialized:
	case <-t.C:
	case <-ctx.Done():
	}
	return g.view.Load()
}

// noConfigRetry is the Retry-After value while an entry has no configuration, or lacks the
// service of a route. An entry reads its first configuration within that time unless the
// store is unavailable.
const noConfigRetry = 200 * time.Millisecond

// headerBytes returns the size of the request's header lines as its caller sent them; 0 if another
// entry has passed it on, which adds lines of its own.
func (q *request) headerBytes() int {
	r, ok := q.w.(callers.Response)
	if !ok || q.passedOn {
		return 0
	}
	return r.HeaderBytes()
}
