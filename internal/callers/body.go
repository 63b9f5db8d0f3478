package callers

import (
	"io"
	"net/http"
	"sync/atomic"
)

// maxDiscard is how many unread bytes of a request body are discarded to keep a connection
// usable, as many as http.Server discards.
const maxDiscard = 256 << 10

// requestBody is the body of a request. At its end, the next request can be read.
type requestBody struct {
	response *response
	src      io.ReadCloser // from http.ReadRequest
	origin   *http.Request // from http.ReadRequest, which sets its trailer
	closed   atomic.Bool
	ended    atomic.Bool
	awaited  atomic.Bool // the caller waits for 100 Continue, which hasn't been sent
	left     atomic.Int64
}

// Read reads the body. It tells a caller that waits for it to send the body.
func (b *requestBody) Read(p []byte) (n int, err error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.awaited.Load() {
		b.response.sendContinue()
	}
	return b.read(p)
}

func (b *requestBody) read(p []byte) (n int, err error) {
	n, err = b.src.Read(p)
	b.left.Add(-int64(n))
	switch {
	case err == nil:
	case err == io.EOF:
		if !b.ended.Swap(true) {
			b.end()
		}
	case isTimeout(err):
		b.response.conn.leave()
	}
	return n, err
}

// end lets the next request be read.
func (b *requestBody) end() {
	q := b.response
	if b.origin.Trailer != nil {
		q.req.Trailer = b.origin.Trailer
	}
	q.conn.mu.Lock()
	defer q.conn.mu.Unlock()
	q.bodyRead = true
	q.arrived = q.conn.lease.Complete()
	q.conn.changed.Broadcast()
}

// Close makes later reads fail. The rest of the body is discarded with the response.
func (b *requestBody) Close() error {
	b.closed.Store(true)
	return nil
}

// discard reads the rest of the body up to a bound, and reports whether it reached the end.
func (b *requestBody) discard() bool {
	if b.ended.Load() {
		return true
	}
	if b.awaited.Load() || b.left.Load() > maxDiscard {
		return false
	}
	_, err := io.CopyN(io.Discard, readerFunc(b.read), maxDiscard+1)
	return err == io.EOF && b.ended.Load()
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
