package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
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
