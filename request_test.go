package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/endless"
)

// Guards against an entry whose response without end fills the memory of a command.
func TestEntryResponseWithoutEnd(t *testing.T) {
	c := qt.New(t)
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for block := make([]byte, 64<<10); ; {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(srv.CloseClientConnections)
	_, err := requestEntry(context.Background(), http.MethodGet, strings.TrimPrefix(srv.URL, "http://"), "/")
	c.Assert(err, qt.ErrorMatches, ".*too large.*")
	c.Assert(sent.Load() < 2*maxEntryResponse, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
}

// Guards against entries whose bytes without end in any part of a response fill the memory of a command.
func TestEntryResponsesWithoutEnd(t *testing.T) {
	const timeout = 2 * time.Second
	for _, tt := range endless.Cases("") {
		t.Run(tt.Name, func(t *testing.T) {
			c := qt.New(t)
			r, err := endless.Call(tt, 1, func(address string) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				_, err := requestEntry(ctx, http.MethodGet, address, "/")
				return err
			})
			c.Assert(err, qt.IsNil)
			c.Assert(r.Complete, qt.Equals, 0)
			c.Assert(r.Heap < 5*maxEntryResponse, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
			c.Assert(r.Longest < 2*timeout, qt.IsTrue, qt.Commentf("%v", r.Longest))
			c.Assert(tt.Slow || r.Sent < 2*maxEntryResponse, qt.IsTrue, qt.Commentf("%d KB", r.Sent>>10))
		})
	}
}
