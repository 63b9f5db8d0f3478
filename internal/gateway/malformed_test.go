package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// malformedResponses are responses of which net/http loses a part, with the byte sequence ID for
// the request's ID.
var malformedResponses = []struct{ name, text string }{
	{"refusal, blank behind the word", "HTTP/1.1 503 Full\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Not-Executed : 1\r\nContent-Length: 0\r\n\r\n"},
	{"refusal, blank behind another ID", "HTTP/1.1 503 Full\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Request-Id : other\r\nPlumpitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
	{"success, blank behind a refusal", "HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Response-Signature: s\r\nPlumpitch-Not-Executed : 1\r\nContent-Length: 0\r\n\r\n"},
	{"blank behind the length", "HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Response-Signature: s\r\nContent-Length : 1\r\n\r\nok"},
	{"blank behind the encoding", "HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Response-Signature: s\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"blank within a name", "HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Response-Signature: s\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"blank in a trailer", "HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Odd : 1\r\n\r\n"},
	{"blank in an interim response", "HTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\nHTTP/1.1 200 OK\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"},
	{"status 600", "HTTP/1.1 600 Odd\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"},
	{"status 999", "HTTP/1.1 999 Odd\r\nPlumpitch-Request-Id: ID\r\nPlumpitch-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"},
}

// Guards against responses of targets and delegates that are forwarded, or taken for a refusal,
// although net/http has lost a part of them.
func TestMalformedResponse(t *testing.T) {
	for _, tt := range malformedResponses {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
			e := w.startEntry("a").waitReady()
			malformed := true
			w.workers[0].SetFaults(func(r *http.Request) worker.Fault {
				if r.URL.Path == "/health" || !malformed {
					return worker.Fault{}
				}
				return worker.Fault{Stray: strings.ReplaceAll(tt.text, "ID", r.Header.Get("Plumpitch-Request-Id")), LoseResponse: true}
			})
			a := e.call(http.MethodPost, "/a/book", "veil")
			w.c.Check(a.err, qt.IsNil)
			w.c.Check(a.status, qt.Equals, http.StatusBadGateway)
			w.c.Check(w.runs(a.id), qt.Equals, 1)
			malformed = false
			w.c.Check(e.call(http.MethodPost, "/a/book", "veil").status, qt.Equals, http.StatusOK)
			rec, answered := passOnOne(e, startDelegate(t, func(id string) string { return strings.ReplaceAll(tt.text, "ID", id) }))
			w.c.Check(answered, qt.IsTrue)
			w.c.Check(rec.Code, qt.Equals, http.StatusBadGateway)
		})
	}
}

// Guards against a store's response whose body is taken wrongly, because net/http has lost the line that
// says where it ends.
func TestMalformedStoreResponse(t *testing.T) {
	for _, tt := range malformedResponses {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			store := startDelegate(t, func(string) string { return tt.text })
			client := storeClient()
			client.Timeout = waitLimit
			resp, err := client.Get("http://" + store.PeerAddress)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			c.Assert(err, qt.ErrorMatches, ".*malformed response: .*")
		})
	}
}
