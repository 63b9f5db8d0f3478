package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// echo describes the request as the handler sees it. The path selects the kind of response.
func echo(w http.ResponseWriter, r *http.Request) {
	ctl := http.NewResponseController(w)
	switch r.URL.Path {
	case "/unread":
		_, _ = io.WriteString(w, "unread")
		return
	case "/closed":
		r.Body.Close()
		_, _ = io.WriteString(w, "closed")
		return
	case "/status":
		var status int
		fmt.Sscan(r.URL.Query().Get("s"), &status)
		w.Header().Set("X-Test", "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
		return
	case "/long":
		_, _ = io.WriteString(w, strings.Repeat("<html>", 1000))
		return
	case "/flush":
		_, _ = io.WriteString(w, "a")
		_ = ctl.Flush()
		_, _ = io.WriteString(w, "b")
		return
	case "/trailer":
		w.Header().Set("Trailer", "X-Sum, Content-Length")
		_, _ = io.WriteString(w, "trailer")
		w.Header().Set("X-Sum", "7")
		w.Header().Set(http.TrailerPrefix+"X-Late", "8")
		return
	case "/hints":
		w.Header().Set("Link", "</x>")
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusOK)
		return
	case "/short":
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "short")
		return
	case "/over":
		w.Header().Set("Content-Length", "2")
		_, err := io.WriteString(w, "more")
		if !errors.Is(err, http.ErrContentLength) {
			panic(err)
		}
		_, _ = io.WriteString(w, "ok")
		return
	case "/close":
		w.Header().Set("Connection", "close")
	case "/nil":
		w.Header()["Content-Type"], w.Header()["Date"] = nil, nil
	case "/length":
		w.Header().Set("Content-Length", "x")
	case "/late":
		w.WriteHeader(http.StatusAccepted)
		w.Header().Set("X-Late", "no")
	case "/identity":
		w.Header().Set("Transfer-Encoding", "chunked")
	case "/duplex":
		_ = ctl.EnableFullDuplex()
		_, _ = io.WriteString(w, "first")
		_ = ctl.Flush()
	case "/abort":
		panic(http.ErrAbortHandler)
	}
	b, err := io.ReadAll(r.Body)
	_, port, _ := net.SplitHostPort(r.RemoteAddr)
	fmt.Fprintf(w, "%s %s %s host=%q length=%d te=%v close=%v body=%q err=%v trailer=%v header=%v port=%v",
		r.Method, r.RequestURI, r.Proto, r.Host, r.ContentLength, r.TransferEncoding, r.Close, b, err, r.Trailer, r.Header, port != "")
}

// outcome is what a caller sees: the heads without Date, the bodies, and how the connection
// ends.
func outcome(c *caller, raw string) string {
	go func() { _, _ = io.WriteString(c, raw) }()
	var got strings.Builder
	method, _, _ := strings.Cut(raw, " ")
	for {
		_ = c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		r, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			// A reset is a close here: whether one occurs depends on time.
			var timeout net.Error
			fmt.Fprintf(&got, "end: open=%v\n", errors.As(err, &timeout) && timeout.Timeout())
			return got.String()
		}
		b, err := io.ReadAll(r.Body)
		if _, ok := r.Header["Date"]; ok {
			r.Header["Date"] = []string{"D"}
		}
		if r.StatusCode >= 400 {
			// The replies to malformed requests say the same in other words.
			r.Header, r.ContentLength, b, r.TransferEncoding = nil, 0, nil, nil
		}
		fmt.Fprintf(&got, "%s %s %v length=%d te=%v close=%v body=%q err=%v trailer=%v\n", r.Proto, r.Status, r.Header, r.ContentLength, r.TransferEncoding, r.Close, b, err, r.Trailer)
	}
}

const (
	getHead  = " HTTP/1.1\r\nHost: h\r\n\r\n"
	next     = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
	postHead = "POST /p HTTP/1.1\r\nHost: h\r\n"
)

// rawStreams are streams for which both servers must do the same.
var rawStreams = []struct{ name, raw string }{
	{"get", next},
	{"two", next + next},
	{"one after the other with a body", postHead + "Content-Length: 3\r\n\r\nabc" + next},
	{"chunked", postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + next},
	{"chunked trailer", postHead + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-A: 1\r\n\r\n" + next},
	{"chunked undeclared trailer", postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-A: 1\r\n\r\n" + next},
	{"chunk extension", postHead + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n" + next},
	{"chunk size malformed", postHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" + next},
	{"chunk too long", postHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n" + next},
	{"chunk bare LF", postHead + "Transfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n" + next},
	{"chunk size overflows", postHead + "Transfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n0\r\n\r\n" + next},
	{"length and chunked", postHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + next},
	{"chunked and length", postHead + "Transfer-Encoding: chunked\r\nContent-Length: 99\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + next},
	{"length twice, same", postHead + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + next},
	{"length twice, different", postHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc" + next},
	{"length list", postHead + "Content-Length: 3, 3\r\n\r\nabc" + next},
	{"length negative", postHead + "Content-Length: -3\r\n\r\nabc" + next},
	{"length with sign", postHead + "Content-Length: +3\r\n\r\nabc" + next},
	{"length hexadecimal", postHead + "Content-Length: 0x3\r\n\r\nabc" + next},
	{"length overflows", postHead + "Content-Length: 99999999999999999999\r\n\r\nabc" + next},
	{"length empty", postHead + "Content-Length:\r\n\r\n" + next},
	{"length with space before colon", postHead + "Content-Length : 3\r\n\r\nabc" + next},
	{"transfer encoding twice", postHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next},
	{"transfer encoding list", postHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + next},
	{"transfer encoding unknown", postHead + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + next},
	{"transfer encoding identity", postHead + "Transfer-Encoding: identity\r\n\r\n" + next},
	{"transfer encoding case", postHead + "Transfer-Encoding: CHUNKED\r\n\r\n0\r\n\r\n" + next},
	{"transfer encoding vertical tab", postHead + "Transfer-Encoding: \vchunked\r\n\r\n0\r\n\r\n" + next},
	{"transfer encoding with HTTP/1.0", "POST /p HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next},
	{"bare LF", "GET /x HTTP/1.1\nHost: h\n\n" + next},
	{"bare CR in a value", "GET /x HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n" + next},
	{"NUL in a value", "GET /x HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n" + next},
	{"folded line", "GET /x HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n" + next},
	{"first line folded", "GET /x HTTP/1.1\r\n Host: h\r\n\r\n" + next},
	{"space in a name", "GET /x HTTP/1.1\r\nHost: h\r\nX Y: a\r\n\r\n" + next},
	{"name empty", "GET /x HTTP/1.1\r\nHost: h\r\n: a\r\n\r\n" + next},
	{"name not ASCII", "GET /x HTTP/1.1\r\nHost: h\r\nX\xe4: a\r\n\r\n" + next},
	{"value not ASCII", "GET /x HTTP/1.1\r\nHost: h\r\nX: \xe4\r\n\r\n" + next},
	{"no colon", "GET /x HTTP/1.1\r\nHost: h\r\nX\r\n\r\n" + next},
	{"no host", "GET /x HTTP/1.1\r\n\r\n" + next},
	{"two hosts", "GET /x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" + next},
	{"host malformed", "GET /x HTTP/1.1\r\nHost: h/\x01\r\n\r\n" + next},
	{"host with slash", "GET /x HTTP/1.1\r\nHost: h/x\r\n\r\n" + next},
	{"host with a port", "GET /x HTTP/1.1\r\nHost: h:80\r\n\r\n" + next},
	{"absolute URL", "GET http://i/x HTTP/1.1\r\nHost: h\r\n\r\n" + next},
	{"connect", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + next},
	{"asterisk", "HEAD * HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"HTTP/1.0", "GET /x HTTP/1.0\r\n\r\n" + next},
	{"HTTP/1.0 keep-alive", "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + next},
	{"HTTP/1.0 keep-alive, length unknown", "GET /long HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + next},
	{"HTTP/0.9", "GET /x HTTP/0.9\r\n\r\n" + next},
	{"HTTP/2.0", "GET /x HTTP/2.0\r\nHost: h\r\n\r\n" + next},
	{"HTTP/1.2", "GET /x HTTP/1.2\r\nHost: h\r\n\r\n" + next},
	{"no version", "GET /x\r\n\r\n" + next},
	{"version malformed", "GET /x HTTP/1.1x\r\nHost: h\r\n\r\n" + next},
	{"method malformed", "G(T /x HTTP/1.1\r\nHost: h\r\n\r\n" + next},
	{"target with space", "GET /x y HTTP/1.1\r\nHost: h\r\n\r\n" + next},
	{"target malformed", "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n" + next},
	{"target empty", "GET  HTTP/1.1\r\nHost: h\r\n\r\n" + next},
	{"empty line first", "\r\n" + next},
	{"line break after a post", postHead + "Content-Length: 1\r\n\r\na\r\n" + next},
	{"junk", "\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03\r\n\r\n"},
	{"head too long", "GET /x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"},
	{"line too long", "GET /" + strings.Repeat("a", 64<<10) + " HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"malformed after a request", next + "GET x y z\r\n\r\n" + next},
	{"connection close", "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + next},
	{"connection close in a list", "GET /x HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n" + next},
	{"expect", postHead + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + next},
	{"expect, case", postHead + "Expect: 100-Continue\r\nContent-Length: 3\r\n\r\nabc" + next},
	{"expect without a body", postHead + "Expect: 100-continue\r\nContent-Length: 0\r\n\r\n" + next},
	{"expect, unread", "POST /unread HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + next},
	{"expect, unknown", postHead + "Expect: x\r\nContent-Length: 3\r\n\r\nabc" + next},
	{"expect, HTTP/1.0", "POST /p HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"},
	{"unread", "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + next},
	{"unread, closed", "POST /closed HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + next},
	{"unread, chunked", "POST /unread HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + next},
	{"unread, long", "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("a", 300000) + next},
	{"unread, malformed", "POST /unread HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n" + next},
	{"duplex", "POST /duplex HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + next},
	{"head", "HEAD /x" + getHead},
	{"head, long", "HEAD /long" + getHead},
	{"long", "GET /long" + getHead + next},
	{"flush", "GET /flush" + getHead + next},
	{"trailer", "GET /trailer" + getHead + next},
	{"hints", "GET /hints" + getHead + next},
	{"short", "GET /short" + getHead + next},
	{"over", "GET /over" + getHead + next},
	{"close", "GET /close" + getHead + next},
	{"no type and date", "GET /nil" + getHead + next},
	{"header after WriteHeader", "GET /late" + getHead + next},
	{"encoding by the handler", "GET /identity" + getHead + next},
	{"abort", "GET /abort" + getHead + next},
	{"204", "GET /status?s=204" + getHead + next},
	{"304", "GET /status?s=304" + getHead + next},
	{"299", "GET /status?s=299" + getHead + next},
	{"options asterisk", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"},
}

// Guards against requests that the two servers take apart differently (request smuggling),
// and against responses that differ. With concurrent requests, the response to a request
// that was under way behind Connection: close is sent too, so that stream is left out there.
func TestSameAsHTTPServer(t *testing.T) {
	handler := http.HandlerFunc(echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	reference := &http.Server{Handler: handler, MaxHeaderBytes: 2 * testConfig().MaxHeaderBytes()}
	go func() { _ = reference.Serve(l) }()
	t.Cleanup(func() { reference.Close() })
	type run struct {
		name      string
		got, want chan string
	}
	var runs []run // all at the same time, because each waits for the end of its connection
	for _, concurrent := range []bool{false, true} {
		cfg := testConfig()
		cfg.Handler, cfg.Concurrent = handler, func(*http.Request) bool { return concurrent }
		w := newWorld(t, cfg)
		for _, tt := range rawStreams {
			if concurrent && tt.name == "close" {
				continue
			}
			got, want := make(chan string, 1), make(chan string, 1)
			c, d := dial(t, w.addr), dial(t, l.Addr().String())
			go func() { got <- outcome(c, tt.raw) }()
			go func() { want <- outcome(d, tt.raw) }()
			runs = append(runs, run{fmt.Sprintf("%s, concurrent %v", tt.name, concurrent), got, want})
		}
	}
	for _, r := range runs {
		t.Run(r.name, func(t *testing.T) { qt.Assert(t, <-r.got, qt.Equals, <-r.want) })
	}
}

// Guards against a request without a host, which http.ReadRequest doesn't tell from one
// with an empty one, and against heads that http.Server refuses in other ways.
func TestMalformedBeyondHTTPServer(t *testing.T) {
	cfg := testConfig()
	cfg.Handler = http.HandlerFunc(echo)
	w := newWorld(t, cfg)
	for _, tt := range []struct{ name, raw, want string }{
		{"empty host", "GET /x HTTP/1.1\r\nHost:\r\n\r\n", "HTTP/1.1 400 Bad Request: missing required Host header"},
		{"length malformed by the handler", "GET /length" + getHead, "HTTP/1.1 200 OK"},
		{"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "HTTP/1.1 505 HTTP Version Not Supported: unsupported protocol version"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := dial(t, w.addr)
			c.send(tt.raw)
			line, err := bufio.NewReader(c).ReadString('\r')
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, strings.TrimSpace(line), qt.Equals, tt.want)
		})
	}
}
