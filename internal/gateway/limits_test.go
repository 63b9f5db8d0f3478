package gateway

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a version of the configuration with one limit that can't be kept, which takes its
// routes out of force or lets no body through.
func TestLimitBeyondItsType(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1, routeType: "upload"})
	e := w.startEntry("a").waitReady()
	w.store.Put("config", "main", map[string]any{
		"version": "r2", "services": map[string]any{"gowns": map[string]any{"healthPath": "/health"}},
		"routes": map[string]any{"r-b": map[string]any{
			"host": "veil.example", "pathPrefix": "/b/", "routeType": "upload", "timeout": "2s", "targetLatency": "1s", "attempts": 2, "service": "gowns",
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1e30, "headerTimeout": "3s", "idleTimeout": "15s"},
	})
	w.waitFor("the new route", func() bool { return e.call(http.MethodPost, "/b/x", "veil").status == http.StatusOK })
	qt.Assert(t, e.view.Load().table.Config.Limits.MaxBodyBytes, qt.Equals, int64(1<<20)) // of version r1
	qt.Assert(t, e.call(http.MethodPost, "/a/x", "veil").status, qt.Equals, http.StatusNotFound)
}
