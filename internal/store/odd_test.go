package store_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/store"
)

// nested returns lists within each other.
func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// decodeErrors are the errors that a client reported, each with its kind and name.
type decodeErrors struct {
	mu   sync.Mutex
	list []string
}

func (d *decodeErrors) add(kind, name string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, fmt.Sprintf("%s/%s: %.200v", kind, name, err))
}

func (d *decodeErrors) first() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.list) == 0 {
		return ""
	}
	return d.list[0]
}

// newClientOf returns a client of a store that answers by a handler.
func newClientOf(t *testing.T, handler http.HandlerFunc) (*store.Client, *decodeErrors) {
	srv := httptest.NewServer(handler)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	errs := new(decodeErrors)
	return store.New(store.Config{
		Addr: srv.URL, Reads: rate.NewLimiter(rate.Inf, 1), Writes: rate.NewLimiter(rate.Inf, 1),
		Backoff: store.Backoff{Base: time.Millisecond, Cap: time.Millisecond}, OnDecodeError: errs.add,
	}), errs
}

// oddObjects are objects that can't be decoded. They have the name odd, if any.
var oddObjects = []struct{ name, text, want string }{
	{"nested list", nested(20_000), `k/: nested .*`},
	{"nested value", `{"kind":"k","name":"odd","version":4,"value":` + nested(20_000) + `}`, `k/odd: value: nested .*`},
	{"nested field", `{"more":` + nested(20_000) + `,"kind":"k","name":"odd","version":4,"value":"YQ=="}`, `k/odd: more: nested .*`},
	{"nested name", `{"kind":"k","name":` + nested(20_000) + `,"version":4}`, `k/: name: nested .*`},
	{"large version", `{"kind":"k","name":"odd","version":1e400,"value":"YQ=="}`, `k/odd: .*version.*`},
	{"negative version", `{"kind":"k","name":"odd","version":-1,"value":"YQ=="}`, `k/odd: .*version.*`},
	{"value that isn't base64", `{"kind":"k","name":"odd","version":4,"value":"%"}`, `k/odd: illegal base64.*`},
	{"no JSON", `{"kind":"k","name":"odd","version":nothing}`, `k/odd: invalid character.*`},
	{"no name", `{"kind":"k","version":4}`, `k/: name: found nothing, expected a name`},
	{"null", `null`, `k/: .*`},
}

// Guards against one odd object that keeps an entry from reading all others of a list.
func TestListBesideOddObjects(t *testing.T) {
	for _, tt := range oddObjects {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, errs := newClientOf(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"objects":[{"kind":"k","name":"a","version":3,"value":"YQ=="},`+tt.text+`,{"kind":"k","name":"z","version":5}],"version":9}`)
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			objects, version, err := s.List(ctx, "k")
			c.Assert(err, qt.IsNil)
			c.Assert(version, qt.Equals, uint64(9))
			c.Assert(objects, qt.HasLen, 2)
			c.Assert(objects[0].Name+objects[1].Name, qt.Equals, "az")
			c.Assert(errs.first(), qt.Matches, tt.want)
			c.Assert(s.Counts().Refused, qt.Equals, uint64(1))
		})
	}
}

// Guards against one odd VM that keeps an entry from reading all others.
func TestVMsBesideOddOnes(t *testing.T) {
	sound := `{"id":"odd","addr":"127.0.0.1:80","place":"p","service":"s","slots":2,"boot":1,"state":"live"}`
	with := func(before, after string) string { return strings.Replace(sound, before, after, 1) }
	tests := []struct{ name, text, want string }{
		{"nested list", nested(20_000), `vms/: nested .*`},
		{"nested field", with(`"place"`, `"more":`+nested(20_000)+`,"place"`), `vms/odd: more: nested .*`},
		{"large number of slots", with(`"slots":2`, `"slots":1e400`), `vms/odd: .*slots.*`},
		{"boot beyond 64 bits", with(`"boot":1`, `"boot":18446744073709551616`), `vms/odd: .*boot.*`},
		{"port beyond all", with(`127.0.0.1:80`, `127.0.0.1:65536`), `vms/odd: addr: found "127.0.0.1:65536", expected .*`},
		{"port 0", with(`127.0.0.1:80`, `127.0.0.1:0`), `vms/odd: addr: .*`},
		{"no address", with(`127.0.0.1:80`, ``), `vms/odd: addr: .*`},
		{"slots beyond all sums", with(`"slots":2`, `"slots":9223372036854775807`), `vms/odd: slots: found 9223372036854775807, expected .*`},
		{"fewer slots than none", with(`"slots":2`, `"slots":-1`), `vms/odd: slots: .*`},
		{"no id", with(`"odd"`, `""`), `vms/: id: found nothing, expected a name`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, errs := newClientOf(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"vms":[`+tt.text+`,`+with("odd", "z")+`]}`)
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			list, err := s.VMs(ctx)
			c.Assert(err, qt.IsNil)
			c.Assert(list, qt.HasLen, 1)
			c.Assert(list[0].ID, qt.Equals, "z")
			c.Assert(errs.first(), qt.Matches, tt.want)
		})
	}
}

// Guards against an odd object in a watch that ends it for good, or again and again.
func TestWatchBesideOddObjects(t *testing.T) {
	for _, tt := range oddObjects {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var watches atomic.Int32
			s, errs := newClientOf(t, func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/v1/watch/") {
					_, _ = io.WriteString(w, `{"kind":"k","name":"z","version":3,"value":"YQ=="}`)
					return
				}
				watches.Add(1)
				_, _ = io.WriteString(w, `{"object":`+tt.text+`,"deleted":false}`+"\n"+`{"object":{"kind":"k","name":"z","version":5,"value":"Yg=="}}`+"\n")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			var values []string
			_ = s.Follow(ctx, store.Follow{Kind: "k", Name: "z", Poll: time.Hour, OnChange: func(o store.Object) { values = append(values, string(o.Value)) }})
			c.Assert(values, qt.DeepEquals, []string{"a", "b"})
			c.Assert(watches.Load(), qt.Equals, int32(1))
			c.Assert(errs.first(), qt.Matches, tt.want)
		})
	}
}

// Guards against an entry that starts while the followed object is odd, says nothing of it, and doesn't
// take the next sound one.
func TestFollowOddObject(t *testing.T) {
	for _, tt := range oddObjects {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var gets atomic.Int32
			s, errs := newClientOf(t, func(w http.ResponseWriter, r *http.Request) {
				switch {
				case strings.HasPrefix(r.URL.Path, "/v1/watch/"):
					_ = http.NewResponseController(w).Flush()
					<-r.Context().Done()
				case gets.Add(1) <= 3:
					_, _ = io.WriteString(w, tt.text)
				default:
					_, _ = io.WriteString(w, `{"kind":"k","name":"odd","version":5,"value":"Yg=="}`)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var values []string
			_ = s.Follow(ctx, store.Follow{Kind: "k", Name: "odd", Poll: time.Hour, OnChange: func(o store.Object) {
				values = append(values, string(o.Value))
				cancel()
			}})
			c.Assert(values, qt.DeepEquals, []string{"b"})
			c.Assert(errs.first(), qt.Matches, strings.NewReplacer("k/:", "k/odd:", "found nothing, expected a name", `found "", expected "odd"`).Replace(tt.want))
		})
	}
}
