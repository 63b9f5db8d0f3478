package callers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/field"
)

const bufferSize = 4 << 10 // bytes

// headSlop is added to the bound of a head, because a buffer may hold bytes behind it.
const headSlop = bufferSize

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// input reads from a connection. While limited, it ends after remain bytes.
type input struct {
	conn    *conn
	start   [startSize]byte
	ahead   []byte // part of start that has been read from the connection, but not from input
	limited bool   // a head is being read
	inLine  bool   // of it, the request line
	chunked bool   // a body in chunks follows the head
	remain  int
	limit   int // of the header lines
	total   int // bytes read
}

// startSize is how many bytes the wait for a request reads, so that most requests need one
// read, and an idle connection holds little memory.
const startSize = 512

// Read reads from the connection. The requests are cancelled if the caller has closed it.
func (i *input) Read(p []byte) (n int, err error) {
	if i.limited && len(p) > i.remain {
		p = p[:i.remain]
	}
	switch {
	case len(p) == 0:
		return 0, io.EOF
	case len(i.ahead) > 0:
		n = copy(p, i.ahead)
		i.ahead = i.ahead[n:]
	default:
		n, err = i.conn.rwc.Read(p)
	}
	i.remain -= n
	i.total += n
	if n > 0 {
		i.boundHeader(p[:n])
		if err := i.conn.charge(p[:n]); err != nil {
			return 0, err
		}
	}
	if err != nil && !isTimeout(err) {
		i.conn.leave()
	}
	return n, err
}

// boundHeader bounds the bytes of the header lines once the request line has been read.
func (i *input) boundHeader(p []byte) {
	if !i.limited || !i.inLine {
		return
	}
	if end := bytes.IndexByte(p, '\n'); end >= 0 {
		i.inLine = false
		i.remain = min(i.remain, i.limit+headSlop-(len(p)-end-1))
	}
}

func (c *conn) acquireReader() {
	if c.br == nil {
		c.br = readers.Get().(*bufio.Reader)
		c.br.Reset(&c.in)
	}
}

// releaseReader returns an empty buffer, so that an idle connection holds none.
func (c *conn) releaseReader() {
	if c.br != nil {
		c.br.Reset(nil)
		readers.Put(c.br)
		c.br = nil
	}
}

// statusError is a request that is answered without a handler.
type statusError struct {
	status int
	text   string
	header string // further header lines
}

func (e *statusError) Error() string { return fmt.Sprintf("%d %s", e.status, e.text) }

// errNoMemory is a head that may not be held.
var errNoMemory = &statusError{status: http.StatusServiceUnavailable, header: "Retry-After: 1\r\n"}

func malformed(text string) error { return &statusError{status: http.StatusBadRequest, text: text} }

// readRequest reads the head of a request. The error is a statusError if it is to be answered.
func (c *conn) readRequest() (*http.Request, error) {
	c.acquireReader()
	c.beginHead()
	defer c.endHead()
	if c.lastPost {
		c.skipLineBreaks()
	}
	begin := c.in.total - c.br.Buffered()
	r, err := http.ReadRequest(c.br)
	switch {
	case err == nil:
	case errors.Is(err, errNoMemory):
		return nil, errNoMemory
	case c.in.remain <= 0:
		return nil, &statusError{status: http.StatusRequestHeaderFieldsTooLarge}
	case errors.Is(err, io.EOF) || errors.As(err, new(*net.OpError)):
		return nil, err
	// The type of these errors isn't exported.
	case strings.Contains(err.Error(), "unsupported transfer encoding") || strings.Contains(err.Error(), "too many transfer encodings"):
		return nil, &statusError{status: http.StatusNotImplemented}
	default:
		return nil, malformed("")
	}
	c.lastPost = r.Method == http.MethodPost
	c.in.chunked = len(r.TransferEncoding) > 0
	size := headSize{c.in.total - c.br.Buffered() - begin, len(r.Header) + 2}
	for _, values := range r.Header {
		size.lines += len(values) - 1
	}
	if !c.settleHead(size) {
		return nil, errNoMemory
	}
	c.pause(c.lease.Request())
	return r, checkRequest(r)
}

// beginHead starts the time and the bound of a head. A response that closes the connection
// interrupts the reading.
func (c *conn) beginHead() {
	limit := valueOf(c.server.cfg.MaxHeaderBytes)
	if limit <= 0 {
		limit = http.DefaultMaxHeaderBytes
	}
	c.in.chunked = false
	c.in.limited, c.in.inLine, c.in.remain, c.in.limit = true, true, 2*limit+headSlop, limit
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := valueOf(c.server.cfg.HeaderTimeout)
	if timeout <= 0 {
		timeout = c.server.cfg.ReadTimeout
	}
	c.setReadTimeout(timeout)
	c.reader = readerHead
	if c.closing {
		c.interrupt()
	}
}

func (c *conn) endHead() {
	c.in.limited = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader = readerBusy
}

// skipLineBreaks skips the line breaks that some old clients send after the body of a POST
// (RFC 9112, 2.2).
func (c *conn) skipLineBreaks() {
	p, _ := c.br.Peek(4)
	n := 0
	for n < len(p) && (p[n] == '\r' || p[n] == '\n') {
		n++
	}
	_, _ = c.br.Discard(n)
}

// checkRequest checks what http.ReadRequest doesn't.
func checkRequest(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return &statusError{status: http.StatusHTTPVersionNotSupported, text: "unsupported protocol version"}
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect {
		return malformed("missing required Host header")
	}
	if strings.ContainsFunc(r.Host, func(c rune) bool { return !isHostRune(c) }) {
		return malformed("malformed Host header")
	}
	for name, values := range r.Header {
		if !field.IsName(name) {
			return malformed("invalid header name")
		}
		for _, v := range values {
			if strings.ContainsFunc(v, isControl) {
				return malformed("invalid header value")
			}
		}
	}
	for name := range r.Trailer {
		if !field.IsName(name) {
			return malformed("invalid trailer name")
		}
	}
	if e := r.Header.Get("Expect"); e != "" && !expectsContinue(r) {
		return &statusError{status: http.StatusExpectationFailed}
	}
	return nil
}

func expectsContinue(r *http.Request) bool {
	return hasToken(r.Header["Expect"], "100-continue")
}

func isAlphanumeric(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func isHostRune(c rune) bool {
	return isAlphanumeric(c) || strings.ContainsRune("!$%&'()*+,-.:;=[]_~", c)
}

func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// hasToken reports whether comma-separated values contain a token. Case is ignored.
func hasToken(values []string, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// reject answers a request that can't be passed to the handler, after the responses before
// it, and ends the connection. Nothing is sent if the connection failed.
func (c *conn) reject(err error) {
	var e *statusError
	if !errors.As(err, &e) {
		return
	}
	q := &response{conn: c}
	c.mu.Lock()
	ok := !c.stopped() || c.gone && !c.broken && len(c.active) == 0
	if ok {
		c.closing = true
		c.active = append(c.active, q)
		c.await(func() bool { return c.active[0] == q || q.dead || c.broken })
		ok = !q.dead && !c.broken
		c.linger = c.linger || ok
	}
	c.mu.Unlock()
	if ok {
		text := fmt.Sprintf("%d %s", e.status, http.StatusText(e.status))
		if e.text != "" {
			text += ": " + e.text
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", text, e.header, len(text), text)
	}
	c.finish(q)
}
