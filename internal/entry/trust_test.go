package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/store"
)

// The callers' listener serves none of the operators' and peers' paths, and no
// response discloses an address of another listener.
func TestCallersListenerServesOnlyCallers(t *testing.T) {
	w := start(t, testService{name: "plain", targets: []string{startCountingTarget(t, new(atomic.Int64))}})
	for _, path := range []string{
		"/healthz", "/readyz", "/metrics", "/v1/status", "/v1/explain?name=plain", "/v1/drain?name=plain",
		"/v1/undrain?name=plain", "/v1/evacuate?name=hall", "/v1/restore?name=hall", "/v1/settings/tree", "/v1/settings/edit", "/twirp/plumpitch.peer.Peer/Gossip",
		"/twirp/plumpitch.peer.Peer/Settings", "/twirp/plumpitch.peer.Peer/Claim", "/v1/call/../status", "/debug/pprof/",
	} {
		for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
			got := w.request(method, path, nil)
			w.c.Check(got.StatusCode, qt.Equals, http.StatusNotFound, qt.Commentf("%s %s", method, path))
			w.c.Check(got.outcome(), qt.Equals, "not-run malformed")
		}
	}
	for _, path := range []string{"/v1/locate?service=plain", "/v1/call/plain/", "/v1/call/nosuch/", "/nosuch"} {
		got := w.request("GET", path, nil)
		for _, addr := range []string{w.Addresses().Peers, w.Addresses().Operators} {
			w.c.Check(got.body, qt.Not(qt.Contains), addr)
			for _, values := range got.Header {
				w.c.Check(strings.Join(values, ","), qt.Not(qt.Contains), addr)
			}
		}
	}
}

// Callers and targets can't forge plumpitch's own headers. The target receives only
// those that the entry sets, and the caller receives none that the target set.
func TestPlumpitchHeadersCannotBeForged(t *testing.T) {
	var seen atomic.Pointer[http.Header]
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		h := r.Header.Clone()
		seen.Store(&h)
		w.Header().Set("Plumpitch-Outcome", "not-run")
		w.Header().Set("Plumpitch-Reason", "forged")
		w.Header().Set("Plumpitch-Replay", "true")
		w.Header().Set("Plumpitch-Load", "inflight=1")
	})
	w := start(t, testService{name: "plain", targets: []string{addr}})
	got := w.request(
		"GET", "/v1/call/plain/", nil, "Plumpitch-Timeout", "700ms", "Plumpitch-Attempt", "3", "Plumpitch-Depth", "4",
		"Plumpitch-Load", "leaving", "Plumpitch-Outcome", "ran", "Plumpitch-Secret", "x", "Plumpitch-Request", "forged", "Plumpitch_Depth", "9",
	)
	own := map[string][]string{}
	for name, values := range *seen.Load() {
		if strings.HasPrefix(name, "Plumpitch") {
			own[name] = values
		}
	}
	remaining, err := time.ParseDuration(seen.Load().Get("Plumpitch-Timeout"))
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(remaining > 0 && remaining <= 700*time.Millisecond, qt.IsTrue)
	delete(own, "Plumpitch-Timeout")
	w.c.Assert(own["Plumpitch-Request"], qt.HasLen, 1)
	w.c.Assert(own["Plumpitch-Request"][0], qt.Not(qt.Equals), "forged")
	delete(own, "Plumpitch-Request")
	w.c.Assert(own, qt.DeepEquals, map[string][]string{"Plumpitch-Attempt": {"3"}, "Plumpitch-Depth": {"5"}})
	for name := range got.Header {
		w.c.Assert(strings.HasPrefix(name, "Plumpitch"), qt.IsFalse, qt.Commentf("%s", name))
	}
}

// Invalid messages at the peers' listener get a protocol error, and the entry keeps
// serving.
func TestMalformedPeerMessages(t *testing.T) {
	w := start(t, testService{name: "plain", targets: []string{startCountingTarget(t, new(atomic.Int64))}})
	const json, proto = "application/json", "application/protobuf"
	for _, tt := range []struct {
		name, method, path, kind, body string
		status                         int
	}{
		{"no message", "POST", "Gossip", proto, "", 412},
		{"not protobuf", "POST", "Gossip", proto, "\xff\xff\xff", 400},
		{"not JSON", "POST", "Gossip", json, "{", 400},
		{"other version", "POST", "Gossip", json, `{"version": 99}`, 412},
		{"gossip of nobody", "POST", "Gossip", json, `{"version": 1}`, 400},
		{"reach of nobody", "POST", "Reach", json, `{"version": 1}`, 400},
		{"unknown call", "POST", "Nosuch", json, `{}`, 404},
		{"unknown kind", "POST", "Gossip", "text/plain", `{}`, 404},
		{"GET", "GET", "Gossip", json, "", 404},
		{"too long", "POST", "Gossip", proto, strings.Repeat("x", 8<<20), 400},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := w.subtest(t)
			r, err := http.NewRequest(tt.method, "http://"+w.Addresses().Peers+"/twirp/plumpitch.peer.Peer/"+tt.path, strings.NewReader(tt.body))
			w.c.Assert(err, qt.IsNil)
			r.Header.Set("Content-Type", tt.kind)
			res, err := client.Do(r)
			w.c.Assert(err, qt.IsNil)
			defer res.Body.Close()
			b, _ := io.ReadAll(res.Body)
			w.c.Assert(res.StatusCode, qt.Equals, tt.status, qt.Commentf("%s", b))
		})
	}
	w.c.Assert(w.request("GET", "/v1/call/plain/", nil).StatusCode, qt.Equals, http.StatusOK)
}

// The settings in the store are overwritten with invalid data while the entry runs.
// The valid settings stay in force and requests continue.
func TestCorruptSettingsAreIgnored(t *testing.T) {
	w := start(t, testService{name: "plain", targets: []string{startCountingTarget(t, new(atomic.Int64))}})
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	s := store.New(store.Config{Addr: w.cfg.File.Platform})
	o, err := s.Get(ctx, settings.Kind, settings.Name)
	w.c.Assert(err, qt.IsNil)
	version, revision := o.Version, w.snapshot.Load().revision
	for _, bad := range [][]byte{
		{},
		[]byte("null"), []byte("{"), o.Value[:len(o.Value)/2],
		bytes.Replace(o.Value, []byte("timeout"), []byte("timoeut"), 1),
		bytes.Replace(o.Value, []byte("5s"), []byte("5x"), 1),
	} {
		version, err = s.Put(ctx, settings.Kind, settings.Name, version, bad)
		w.c.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Millisecond) // until the watch delivers it
		w.c.Assert(w.snapshot.Load().revision, qt.Equals, revision)
		w.c.Assert(w.request("GET", "/v1/call/plain/", nil).StatusCode, qt.Equals, http.StatusOK)
	}
}
