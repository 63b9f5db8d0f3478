package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// waitLimit is how long a test waits for a condition at most.
const waitLimit = 10 * time.Second

// serverAddr returns the host:port of a test server.
func serverAddr(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}

// newEntry starts a server that forwards all requests to one target, as an entry does.
func newEntry(t testing.TB, f *Forwarder, target string, edit func(*DispatchParams)) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		params := DispatchParams{Target: target, Request: r, Stream: r.Body, Length: r.ContentLength}
		if edit != nil {
			edit(&params)
		}
		resp, fail := f.Dispatch(r.Context(), params)
		if fail != nil {
			Refuse(w, call.Final{Reason: fail.Stage.Reason(), Detail: fail.Error()})
			return
		}
		Copy(w, resp, func(*Failure) {})
	}))
	t.Cleanup(s.Close)
	return s
}

func TestDispatch(t *testing.T) {
	c := qt.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Path", r.RequestURI)
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, r.Method+" "+string(b))
	}))
	defer target.Close()
	f := New(Config{})
	defer f.Close()
	r := httptest.NewRequest("POST", "/a%2Fb?x=1", strings.NewReader("veil"))
	resp, fail := f.Dispatch(context.Background(), DispatchParams{Target: serverAddr(target), Request: r, Body: [][]byte{[]byte("veil")}, Timeout: waitLimit})
	c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
	c.Assert(resp.Status, qt.Equals, http.StatusCreated)
	c.Assert(string(resp.Buffered), qt.Equals, "POST veil")
	c.Assert(resp.Header.Get("X-Path"), qt.Equals, "/a%2Fb?x=1")
}
