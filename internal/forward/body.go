package forward

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// body is the body of an outgoing request that is read from its caller.
type body struct {
	src io.Reader
	in  http.Header // trailer of the caller, complete at the end of src
	out http.Header // trailer of the outgoing request

	left int64 // bytes still to come; counts below 0 when the length is unknown
	once bool  // there is a src, which can be read only once
	read atomic.Bool

	mu     sync.Mutex
	failed error
}

// open returns the body for the transport. It is never nil or http.NoBody, not
// even when it is empty: that keeps the transport from sending the request
// again (see the package comment).
func (d *dispatch) open(trailer http.Header) io.ReadCloser {
	b, t := &d.body, d.try
	b.in, b.out = t.Request.Trailer, trailer
	if t.Stream == nil {
		b.trail()
		return io.NopCloser(bytes.NewReader(t.Body))
	}
	b.src, b.left, b.once = t.Stream, t.Length, true
	return b
}

// Read notes a failure of the source, so that it isn't blamed on the target.
func (b *body) Read(p []byte) (n int, err error) {
	b.read.Store(true)
	n, err = b.src.Read(p)
	b.left -= int64(n)
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		b.trail()
		return n, err
	}
	if err != nil {
		b.mu.Lock()
		b.failed = errors.WithMessage(err, "reading the request body")
		b.mu.Unlock()
	}
	return n, err
}

func (b *body) trail() {
	for k := range b.out {
		b.out[k] = b.in[k]
	}
}

// Close leaves the source to its owner.
func (b *body) Close() error {
	return nil
}

// used reports whether the body can't be sent again.
func (b *body) used() bool {
	return b.once && b.read.Load()
}

func (b *body) err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}
