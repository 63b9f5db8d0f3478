package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/store"
)

// The store, or a server that answers in its place, sends a response that violates
// the protocol. The client must not treat it as a value, as a missing object or as
// a conflict: an entry would create an object that exists, or overwrite it.
func TestMalformedResponses(t *testing.T) {
	for _, c := range []struct {
		name        string
		status      int
		body        string
		unavailable bool
		read        string
		write       string
	}{
		{"truncated", 200, `{"kind":"k","version":3,"val`, true, `get k/n: store: unavailable: answer: .*`, `put k/n: store: unavailable: answer: .*`},
		{"no JSON", 200, `<html>`, true, `get .*answer: invalid character.*`, `put .*answer: invalid character.*`},
		{"bad value", 200, `{"version":3,"value":"%%"}`, true, `get .*illegal base64.*`, ``},
		{"negative version", 200, `{"version":-3}`, true, `get .*cannot unmarshal.*`, `put .*cannot unmarshal.*`},
		{"conflict without a version", 409, `no`, true, `.*unavailable.*`, `.*unavailable.*`},
		{"down", 503, ``, true, `.*unavailable: status 503`, `.*unavailable: status 503`},
		{"too many calls", 429, ``, true, `.*unavailable: status 429`, `.*unavailable: status 429`},
		{"refused", 403, `no`, false, `get k/n: store: found status 403, expected 200: no`, `put k/n: store: found status 403, expected 200: no`},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			q.Cleanup(srv.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			s := store.New(store.Config{
				Addr: srv.URL, Reads: rate.NewLimiter(rate.Inf, 1), Writes: rate.NewLimiter(rate.Inf, 1),
				Backoff: store.Backoff{Base: time.Minute, Cap: time.Minute},
			})
			_, err := s.Put(ctx, "k", "n", 0, []byte("a"))
			if c.write == "" {
				q.Assert(err, qt.IsNil)
			} else {
				q.Assert(err, qt.ErrorMatches, c.write)
				q.Assert(store.IsUnavailable(err), qt.Equals, c.unavailable)
			}
			_, err = s.Get(ctx, "k", "n")
			q.Assert(err, qt.ErrorMatches, c.read)
			q.Assert(store.IsUnavailable(err), qt.Equals, c.unavailable)
			err = s.Watch(ctx, "k", 0, func(ch store.Change) { q.Check(ch.Object.Kind, qt.Equals, "") })
			q.Assert(err, qt.IsNotNil)
		})
	}
}
