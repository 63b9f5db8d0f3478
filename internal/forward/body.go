package forward

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// body is the state of an outgoing request's body. The transport reads through it
// only if the body is streamed from the caller.
type body struct {
	src           io.Reader
	callerTrailer http.Header // caller's trailer; complete at the end of src
	targetTrailer http.Header // trailer of the outgoing request

	remaining   int64 // bytes not yet read; negative if the length is unknown
	streamed    bool  // src is set; it can be read only once
	readStarted atomic.Bool
	closed      bool // the connection was given up; nothing is read

	mu      sync.Mutex
	readErr error
}

// openBody returns the body for the transport. Even an empty body is neither nil
// nor http.NoBody, which prevents the transport from resending the request (see
// the package comment).
func (d *dispatch) openBody(trailer http.Header) io.ReadCloser {
	b, p := &d.body, d.params
	b.callerTrailer, b.targetTrailer = p.Request.Trailer, trailer
	if p.Stream == nil {
		b.copyTrailer()
		return io.NopCloser(newPartsReader(p.Body))
	}
	b.src, b.remaining, b.streamed = p.Stream, p.Length, true
	return b
}

// Read records a read error of the caller's body, so that it isn't attributed to
// the target. Nothing is read for a connection that was given up, whose error the transport
// may find only when it has filled a buffer.
func (b *body) Read(p []byte) (n int, err error) {
	if b.closed {
		return 0, errGivenUp
	}
	b.readStarted.Store(true)
	n, err = b.src.Read(p)
	b.remaining -= int64(n)
	if err == io.EOF && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		b.copyTrailer()
		return n, err
	}
	if err != nil {
		b.mu.Lock()
		b.readErr = errors.WithMessage(err, "reading the request body")
		b.mu.Unlock()
	}
	return n, err
}

// copyTrailer copies the values of the declared trailers.
func (b *body) copyTrailer() {
	for k := range b.targetTrailer {
		b.targetTrailer[k] = b.callerTrailer[k]
	}
}

// Close does nothing: the server closes the caller's body.
func (b *body) Close() error {
	return nil
}

// readBegun reports whether any part of a streamed body may have been read, so that the
// body can't be sent again.
func (b *body) readBegun() bool {
	return b.streamed && b.readStarted.Load()
}

// err returns the read error of the caller's body.
func (b *body) err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// partsReader reads the parts of a body.
type partsReader struct {
	parts [][]byte
	first int // bytes of parts[0] that have been read
}

func newPartsReader(parts [][]byte) *partsReader { return &partsReader{parts: parts} }

// Read reads from one part.
func (r *partsReader) Read(p []byte) (n int, err error) {
	for len(r.parts) > 0 && r.first == len(r.parts[0]) {
		r.parts, r.first = r.parts[1:], 0
	}
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	n = copy(p, r.parts[0][r.first:])
	r.first += n
	return n, nil
}

// size returns the bytes of a body in parts.
func size(parts [][]byte) (n int64) {
	for _, p := range parts {
		n += int64(len(p))
	}
	return n
}
