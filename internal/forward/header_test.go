package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// The target receives the caller's end-to-end headers, the caller's address, and
// only those of plumpitch's headers that plumpitch set itself.
func TestHeadersForTheTarget(t *testing.T) {
	c := qt.New(t)
	in := http.Header{
		"Accept": {"a", "b"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"},
		"Te": {"gzip, trailers;q=1"}, "Upgrade": {"websocket"}, "Expect": {"100-continue"}, "Proxy-Authorization": {"x"},
		"Plumpitch-Attempt": {"9"}, "Plumpitch_attempt": {"9"}, "Plumpitch-Outcome": {"ran"}, "Plumpitchy": {"1"},
		"Idempotency-Key": {"k1"}, "X-Forwarded-For": {"10.0.0.1"}, "X-Forwarded-Proto": {"https"},
		"Forwarded": {"for=10.0.0.1"},
	}
	r := httptest.NewRequest("GET", "/gowns", nil)
	r.Header, r.Host, r.RemoteAddr = in, `hall.example:80"`, "[::1]:5000"
	params := DispatchParams{Request: r, Timeout: 250 * time.Millisecond, Attempt: 1, Depth: 2, Header: http.Header{"Traceparent": {"00-1"}}}
	c.Assert(params.targetHeader(), qt.DeepEquals, http.Header{
		"Accept": {"a", "b"}, "Te": {"trailers"}, "Plumpitchy": {"1"}, "Idempotency-Key": {"k1"}, "User-Agent": nil,
		"X-Forwarded-For": {"10.0.0.1, ::1"}, "X-Forwarded-Proto": {"http"}, "X-Forwarded-Host": {`hall.example:80"`},
		"Forwarded":        {`for=10.0.0.1, for="[::1]";host="hall.example:80\"";proto=http`},
		call.HeaderTimeout: {"250ms"},
		call.HeaderAttempt: {"1"},
		call.HeaderDepth:   {"3"},
		"Traceparent":      {"00-1"},
	})
}

// An empty body is sent without chunked encoding, and with "content-length: 0" if
// the method usually has a body.
func TestRequestFraming(t *testing.T) {
	tests := []struct {
		method, body string
		stream       bool
		want         string // framing headers
	}{
		{"GET", "", false, ""},
		{"DELETE", "", true, ""},
		{"POST", "", false, "content-length: 0"},
		{"PUT", "", true, "content-length: 0"},
		{"POST", "veil", false, "Content-Length: 4"},
		{"GET", "veil", true, "Content-Length: 4"},
	}
	for _, tt := range tests {
		c := qt.New(t)
		heads := make(chan string, 1)
		target := newRaw(t, func(p *targetConn) {
			var lines []string
			for {
				line, err := p.br.ReadString('\n')
				if err != nil || line == "\r\n" {
					break
				}
				if name := strings.ToLower(line); strings.HasPrefix(name, "content-length") || strings.HasPrefix(name, "transfer-encoding") {
					lines = append(lines, strings.TrimSpace(line))
				}
			}
			heads <- strings.Join(lines, ";")
			p.write(ok)
		})
		f := New(Config{})
		params := DispatchParams{Target: target.addr(), Request: httptest.NewRequest(tt.method, "/", nil), Body: [][]byte{[]byte(tt.body)}, Timeout: waitLimit}
		if tt.stream {
			params.Stream, params.Length = strings.NewReader(tt.body), int64(len(tt.body))
		}
		_, fail := f.Dispatch(context.Background(), params)
		c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
		c.Assert(<-heads, qt.Equals, tt.want, qt.Commentf("%+v", tt))
		f.Close()
	}
}

// End-to-end headers of the response are forwarded; hop-by-hop headers and
// plumpitch's own are not. Otherwise a target could send a caller the outcome
// not-run of another request.
func TestHeadersForTheCaller(t *testing.T) {
	c := qt.New(t)
	target := newRaw(t, func(p *targetConn) {
		p.request()
		p.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-A: 1\r\nX-A: 2\r\n" +
			"Plumpitch-Outcome: not-run\r\nPlumpitch-Load: inflight=3 leaving\r\n\r\nok")
	})
	f := New(Config{})
	defer f.Close()
	resp, fail := f.Dispatch(context.Background(), DispatchParams{Target: target.addr(), Request: httptest.NewRequest("GET", "/", nil), Timeout: waitLimit})
	c.Assert(fail == nil, qt.IsTrue)
	c.Assert(resp.Header, qt.DeepEquals, http.Header{"Content-Length": {"2"}, "X-A": {"1", "2"}})
	c.Assert(resp.Load, qt.Equals, Load{Known: true, InFlight: 3, Leaving: true})
}

var loadTests = []struct {
	in   string
	want Load
	ok   bool
}{
	{"inflight=3 leaving", Load{true, 3, true, false}, true},
	{"shed", Load{true, -1, false, true}, true},
	{" leaving  inflight=0 ", Load{true, 0, true, false}, true},
	{"", Load{InFlight: -1}, false},
	{"inflight=", Load{InFlight: -1}, false},
	{"inflight=-1", Load{InFlight: -1}, false},
	{"inflight=1048577", Load{InFlight: -1}, false},
	{"inflight=1 inflight=2", Load{InFlight: -1}, false},
	{"leaving leaving", Load{InFlight: -1}, false},
	{"leaving now", Load{InFlight: -1}, false},
	{"inflight=3" + strings.Repeat(" ", 200), Load{InFlight: -1}, false},
}

func TestParseLoad(t *testing.T) {
	f := New(Config{})
	for _, tt := range loadTests {
		c := qt.New(t)
		got, ok := ParseLoad(tt.in)
		c.Check(got, qt.Equals, tt.want, qt.Commentf("%q", tt.in))
		c.Check(ok, qt.Equals, tt.ok, qt.Commentf("%q", tt.in))
		f.readLoad(http.Header{call.HeaderLoad: {tt.in}})
	}
	f.readLoad(http.Header{call.HeaderLoad: {"leaving", "leaving"}})
	f.readLoad(http.Header{})
	qt.Assert(t, f.MalformedLoads(), qt.Equals, uint64(9))
}

func FuzzParseLoad(f *testing.F) {
	for _, tt := range loadTests {
		f.Add(tt.in)
	}
	f.Fuzz(func(t *testing.T, s string) {
		l, ok := ParseLoad(s)
		if ok != l.Known || l.InFlight < -1 || l.InFlight > maxInFlight || !ok && l != (Load{InFlight: -1}) {
			t.Fatalf("%q: %+v %v", s, l, ok)
		}
	})
}

func TestRefuse(t *testing.T) {
	tests := []struct {
		final  call.Final
		status int
		retry  [2]string
		body   string
	}{
		{call.Final{Outcome: call.NotRun, Reason: call.ReasonOverload, Detail: `queue "q" full`, RetryAfter: 1500 * time.Microsecond}, 503, [2]string{"1", "2"}, `{"outcome":"not-run","reason":"overload","detail":"queue \"q\" full","retry":2}`},
		{call.Final{Outcome: call.Ran, Reason: call.ReasonCut}, 502, [2]string{"", ""}, `{"outcome":"ran","reason":"cut","detail":"","retry":0}`},
		{call.Final{Reason: call.ReasonTimeout, RetryAfter: 1001 * time.Millisecond}, 504, [2]string{"2", "1001"}, `{"outcome":"unknown","reason":"timeout","detail":"","retry":1001}`},
	}
	for _, tt := range tests {
		c := qt.New(t)
		w := httptest.NewRecorder()
		Refuse(w, tt.final)
		h := w.Result().Header
		c.Check(w.Code, qt.Equals, tt.status)
		c.Check(h.Get(call.HeaderOutcome), qt.Equals, tt.final.Outcome.String())
		c.Check(h.Get(call.HeaderReason), qt.Equals, string(tt.final.Reason))
		c.Check([2]string{h.Get(call.HeaderRetryAfter), h.Get(call.HeaderRetry)}, qt.Equals, tt.retry)
		c.Check(w.Body.String(), qt.Equals, tt.body+"\n")
	}
}

func BenchmarkDispatch(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "ok")
	}))
	defer target.Close()
	f := New(Config{})
	defer f.Close()
	r := httptest.NewRequest("GET", "/gowns", nil)
	b.Run("forward", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, fail := f.Dispatch(b.Context(), DispatchParams{Target: serverAddr(target), Request: r, Timeout: waitLimit}); fail != nil {
				b.Fatal(fail)
			}
		}
	})
	b.Run("request ID", func(b *testing.B) {
		b.ReportAllocs()
		identified := newEchoForwarder(b, Config{})
		echo := newRaw(b, func(p *targetConn) {
			for r := p.request(); r != nil; r = p.request() {
				p.write(responseWith("200 OK", r.Header.Get(idHeader), "ok"))
			}
		})
		for i := 0; b.Loop(); i++ {
			r.Header.Set(idHeader, strconv.Itoa(i))
			if _, fail := identified.Dispatch(b.Context(), DispatchParams{Target: echo.addr(), Request: r, Timeout: waitLimit}); fail != nil {
				b.Fatal(fail)
			}
		}
	})
	b.Run("transport", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			out, _ := http.NewRequestWithContext(b.Context(), "GET", target.URL+"/gowns", nil)
			resp, err := f.transport.RoundTrip(out)
			if err != nil {
				b.Fatal(err)
			}
			var body [8]byte
			_, _ = resp.Body.Read(body[:])
			resp.Body.Close()
		}
	})
}
