package soak

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// strays are what targets send that belongs to no request, by what the IDs in it are.
var strays = []struct {
	name  string
	bytes func(id string) string // id is that of the request just read
}{
	{"refuses without an ID", func(string) string { return worker.StrayRefusal() }},
	{"refuses with two IDs", func(id string) string { return worker.StrayRefusal(id, "another") }},
	{"refuses another request", func(string) string { return worker.StrayRefusal("another") }},
	{"redirects without an ID", func(string) string { return worker.StrayMisdirected() }},
	{"succeeds without an ID", func(string) string { return worker.StraySuccess() }},
	{"succeeds with two IDs", func(id string) string { return worker.StraySuccess(id, "another") }},
	{"fails without an ID", func(string) string { return worker.StrayFailure() }},
	{"sends no response", func(string) string { return "no response\r\n\r\n" }},
}

// TestSoakOfStrays guards against requests that are refused, or sent again, for bytes that belong to no request.
func TestSoakOfStrays(t *testing.T) {
	for _, tt := range strays {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, *firstSeed, smallSite())
			for i, k := range s.targets {
				k.Fail(strayFaults(rand.NewPCG(*firstSeed, uint64(i)), tt.bytes))
			}
			clients := s.startClients()
			time.Sleep(4 * time.Second)
			c := newChecker(s, clients.stop())
			for _, a := range c.attempts {
				c.checkResponse(a)
				c.checkRunsOnce(a)
			}
			t.Logf("%d requests, %d served, %d runs", len(c.attempts), c.served, c.runCount)
			for _, v := range c.violations {
				t.Error(v)
			}
			if t.Failed() {
				s.report()
			}
		})
	}
}

// strayFaults sends bytes that belong to no request ahead of a tenth of the responses.
func strayFaults(source rand.Source, bytes func(id string) string) func(*http.Request) worker.Fault {
	rnd := rand.New(source)
	return func(r *http.Request) worker.Fault {
		if r.URL.Path == "/health" || rnd.Float64() > 0.1 {
			return worker.Fault{}
		}
		return worker.Fault{Stray: bytes(r.Header.Get("Plumpitch-Request-Id"))}
	}
}
