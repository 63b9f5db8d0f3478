package callers

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var errClosed = errors.New("the connection is closed")

// maxUnframed is how many bytes of a body are held back, so that a short body gets a
// Content-Length.
const maxUnframed = 2 << 10

var unframedBuffers = sync.Pool{New: func() any { return new([maxUnframed]byte) }}

// response is a request under way and its http.ResponseWriter.
type response struct {
	conn       *conn
	req        *http.Request
	body       *requestBody // nil without a body
	cancel     context.CancelFunc
	concurrent bool
	wantsClose bool // the request asks to close the connection
	leaving    bool // the request has begun after Server.Leave
	head       headSize
	arrived    bool  // the request has arrived with its body; guarded by conn.mu
	forServed  *bool // set by SetServed
	unread     bool  // the handler hasn't read the body to its end

	bodyRead, finished, dead bool // guarded by conn.mu; dead: may not be sent

	header     http.Header
	snapshot   http.Header // header at WriteHeader, if the handler has used it since
	status     int         // 0 before WriteHeader
	length     int64       // Content-Length; negative if unknown
	written    int64       // bytes of the body
	unframed   []byte      // body before the head is written
	buffer     *[maxUnframed]byte
	headSent   bool
	chunked    bool
	ended      bool // the handler has returned
	fullDuplex bool
	cut        bool // the connection can't be used after this response
	trailers   []string
	err        error

	mu         sync.Mutex // guards bw until the head is written: a body read may send 100 Continue
	bw         *bufio.Writer
	noContinue bool // 100 Continue may no longer be sent
}

func newResponse(c *conn, r *http.Request) *response {
	q := &response{conn: c, length: -1, header: make(http.Header), wantsClose: r.Close, leaving: c.server.leaving.Load(), head: c.head}
	c.head = headSize{}
	ctx, cancel := context.WithCancel(c.ctx)
	q.cancel = cancel
	q.req = r.WithContext(ctx)
	q.req.RemoteAddr = c.remote
	if r.Body != http.NoBody {
		q.body = &requestBody{response: q, src: r.Body, origin: r}
		q.body.left.Store(r.ContentLength)
		q.body.awaited.Store(expectsContinue(r) && r.ProtoAtLeast(1, 1))
		q.req.Body = q.body
	} else if f := c.server.cfg.Concurrent; f != nil && r.ProtoAtLeast(1, 1) {
		q.concurrent = f(q.req)
	}
	return q
}

// run runs the handler and completes the response.
func (q *response) run() {
	returned := false
	defer func() {
		if !returned {
			q.abort(recover())
		}
		q.cancel()
		q.release()
		q.conn.finish(q)
	}()
	if q.req.Method == http.MethodOptions && q.req.RequestURI == "*" {
		q.header.Set("Content-Length", "0") // asks about the server, not a resource of the handler
	} else {
		q.conn.server.cfg.Handler.ServeHTTP(q, q.req)
	}
	q.cancel()
	q.complete()
	returned = true
}

// abort closes the connection after the responses before this one.
func (q *response) abort(reason any) {
	c := q.conn
	if reason != nil && reason != http.ErrAbortHandler {
		c.server.cfg.Log.WithField("caller", c.remote).WithField("stack", string(debug.Stack())).Error(fmt.Sprintf("handler panicked: %v", reason))
	}
	c.dropAfter(q)
	c.mu.Lock()
	c.cancelAfter(q)
	c.mu.Unlock()
	if q.awaitTurn(0) == nil {
		if q.bw != nil {
			_ = q.bw.Flush()
		}
		c.breakOff()
	}
}

// Response is what a handler may know and say of a request beside http.ResponseWriter.
type Response interface {
	// HeaderBytes returns the size of the header lines as they were sent.
	HeaderBytes() int
	// SetServed says whether the request was of use to its caller. Without it, requests with an unread
	// body and those with a status from 400 on are of no use.
	SetServed(served bool)
	// Widen lets the caller send more bytes before they are read, if there is room for them, and
	// reports whether it may. The handler must be reading the body.
	Widen(receiveBuffer int) bool
}

// HeaderBytes implements Response.
func (q *response) HeaderBytes() int {
	const spacesAndBreaks = 6 // of the request line, and the line break of the empty line
	r := q.req
	return q.head.bytes - len(r.Method) - len(r.RequestURI) - len(r.Proto) - spacesAndBreaks
}

// SetServed implements Response.
func (q *response) SetServed(served bool) { q.forServed = &served }

// Widen implements Response.
func (q *response) Widen(receiveBuffer int) bool {
	c := q.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lease.Widen(receiveBuffer) {
		return false
	}
	c.setReceiveBuffer(receiveBuffer)
	c.wide = true
	return true
}

// served reports whether the request was of use to its caller.
func (q *response) served() bool {
	switch {
	case q.err != nil || !q.ended:
		return false
	case q.forServed != nil:
		return *q.forServed
	case q.unread:
		return false
	}
	return q.status < http.StatusBadRequest
}

// release returns the buffers.
func (q *response) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.noContinue = true
	if q.body != nil {
		q.body.closed.Store(true)
	}
	if q.bw != nil {
		q.bw.Reset(nil)
		writers.Put(q.bw)
		q.bw = nil
	}
	q.releaseUnframed()
}

func (q *response) releaseUnframed() {
	if q.buffer != nil {
		unframedBuffers.Put(q.buffer)
		q.buffer, q.unframed = nil, nil
	}
}

// awaitTurn waits until all earlier responses have been written. size is the number of bytes
// that the handler holds meanwhile.
func (q *response) awaitTurn(size int) error {
	c := q.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if !q.dead && !c.broken && c.active[0] != q {
		c.waiting += size
		for !q.dead && !c.broken && c.active[0] != q {
			c.changed.Wait()
		}
		c.waiting -= size
		c.changed.Broadcast()
		if c.reader == readerWatching {
			c.interrupt()
		}
	}
	if q.dead || c.broken {
		return errClosed
	}
	return nil
}

// acquireWriter sets bw. It must be this response's turn, and q.mu be held.
func (q *response) acquireWriter() {
	if q.bw == nil {
		q.bw = writers.Get().(*bufio.Writer)
		q.bw.Reset(q.conn)
	}
}

// sendContinue tells the caller to send the body. A request with a body is started only when
// it is its turn.
func (q *response) sendContinue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.noContinue {
		return
	}
	q.noContinue = true
	q.body.awaited.Store(false)
	q.acquireWriter()
	_, _ = q.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	_ = q.bw.Flush()
}

// Header returns the header that WriteHeader sends. Later changes only affect trailers.
func (q *response) Header() http.Header {
	if q.status != 0 && !q.headSent && q.snapshot == nil {
		q.snapshot = q.header.Clone()
	}
	return q.header
}

// WriteHeader waits for the earlier responses and sets the status. A status below 200 is
// sent at once, except 101.
func (q *response) WriteHeader(status int) { q.writeHeader(status, 0) }

func (q *response) writeHeader(status, size int) {
	if status < 100 || status > 999 {
		panic(fmt.Sprintf("invalid status %d", status))
	}
	if q.status != 0 {
		q.conn.server.cfg.Log.WithField("status", status).Warn("superfluous call of WriteHeader")
		return
	}
	if status < http.StatusOK && status != http.StatusSwitchingProtocols {
		q.writeInformational(status)
		return
	}
	q.status = status
	if v := q.header.Get("Content-Length"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			q.header.Del("Content-Length")
		} else {
			q.length = n
			size = max(size, int(min(n, 1<<30)))
		}
	}
	if hasToken(q.header["Connection"], "close") {
		q.conn.dropAfter(q)
	}
	q.err = q.awaitTurn(size)
}

// writeInformational sends a response that precedes the final one.
func (q *response) writeInformational(status int) {
	if q.err != nil || !q.req.ProtoAtLeast(1, 1) {
		return
	}
	if q.err = q.awaitTurn(0); q.err != nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if status == http.StatusContinue {
		q.noContinue = true
		if q.body != nil {
			q.body.awaited.Store(false)
		}
	}
	q.acquireWriter()
	q.writeStatusLine(status)
	_ = q.header.WriteSubset(q.bw, map[string]bool{"Content-Length": true, "Transfer-Encoding": true})
	_, _ = q.bw.WriteString("\r\n")
	q.err = q.bw.Flush()
}

// Write writes a part of the body. The first one waits for the earlier responses.
func (q *response) Write(p []byte) (int, error) { return writeBytes(q, p) }

// WriteString writes a part of the body.
func (q *response) WriteString(s string) (int, error) { return writeBytes(q, s) }

func writeBytes[T string | []byte](q *response, p T) (int, error) {
	if q.status == 0 {
		q.writeHeader(http.StatusOK, len(p))
	}
	switch {
	case q.err != nil:
		return 0, q.err
	case len(p) == 0:
		return 0, nil
	case !bodyAllowed(q.status):
		return 0, http.ErrBodyNotAllowed
	}
	q.written += int64(len(p)) // also if it is too much, which closes the connection
	if q.length >= 0 && q.written > q.length {
		return 0, http.ErrContentLength
	}
	if !q.headSent {
		if len(q.unframed)+len(p) <= maxUnframed {
			q.unframed = append(q.heldBody(), p...)
			return len(p), nil
		}
		q.sendHead([]byte(p[:min(len(p), sampleSize)]))
	}
	q.writeBody([]byte(p))
	return len(p), q.err
}

// sampleSize is how many bytes http.DetectContentType considers.
const sampleSize = 512

// heldBody returns the part of the body that is held back until the head is written.
func (q *response) heldBody() []byte {
	if q.buffer == nil {
		q.buffer = unframedBuffers.Get().(*[maxUnframed]byte)
		q.unframed = q.buffer[:0]
	}
	return q.unframed
}

// FlushError sends what has been written so far (http.ResponseController).
func (q *response) FlushError() error {
	if q.status == 0 {
		q.writeHeader(http.StatusOK, 0)
	}
	if q.err == nil && !q.headSent {
		q.sendHead(nil)
	}
	if q.err == nil {
		q.err = q.bw.Flush()
	}
	return q.err
}

// Flush sends what has been written so far.
func (q *response) Flush() { _ = q.FlushError() }

// SetReadDeadline sets the deadline for reading the rest of the body (http.ResponseController). It
// does nothing once the body has been read.
func (q *response) SetReadDeadline(deadline time.Time) error {
	c := q.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.body == nil || q.bodyRead {
		return nil
	}
	c.timed = !deadline.IsZero()
	return c.rwc.SetReadDeadline(deadline)
}

// EnableFullDuplex lets the handler read the body of the request after its first write
// (http.ResponseController).
func (q *response) EnableFullDuplex() error {
	q.fullDuplex = true
	return nil
}
