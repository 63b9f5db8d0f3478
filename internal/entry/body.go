package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/guard"
	"plumpitch.example/plumpitch/pkg/call"
)

// maxBufferedBody is the longest request body, in bytes, that is buffered so that
// it can be sent again by a retry or hedge. A longer one is streamed and sent
// once.
const maxBufferedBody = 64 << 10

// lingerTime is how long the rest of a caller's body is read after the response.
// Closing a connection with unread bytes resets it, and a caller that is still
// writing would lose the response.
const lingerTime = 500 * time.Millisecond

// errTooLong is returned by a read of a body that exceeds the limit.
var errTooLong = errors.New("body: too long")

// callerBody is the body of a caller's request. It enforces the body limit and
// records whether the whole body was read.
type callerBody struct {
	io.Closer
	src       io.Reader
	conn      *http.ResponseController
	remaining int64       // bytes up to the limit; negative is no limit
	held      *guard.Body // room for what is buffered; nil without any
	complete  atomic.Bool // the whole body was read
	tooLong   atomic.Bool // the body exceeds the limit
}

func newCallerBody(w http.ResponseWriter, r *http.Request) *callerBody {
	return &callerBody{Closer: r.Body, src: r.Body, conn: http.NewResponseController(w), remaining: -1}
}

// Read returns errTooLong once the body exceeds the limit.
func (b *callerBody) Read(p []byte) (n int, err error) {
	if b.remaining >= 0 && int64(len(p)) > b.remaining {
		p = p[:b.remaining+1]
	}
	n, err = b.src.Read(p)
	if b.remaining >= 0 && int64(n) > b.remaining {
		b.tooLong.Store(true)
		return int(b.remaining), errTooLong
	}
	if b.remaining >= 0 {
		b.remaining -= int64(n)
	}
	if err == io.EOF {
		b.complete.Store(true)
	}
	return n, err
}

// readBefore reads len(p) bytes or up to the end of the body, until a deadline.
// Without one a caller that stops sending would occupy a connection indefinitely.
func (b *callerBody) readBefore(p []byte, deadline time.Time) (n int, err error) {
	_ = b.conn.SetReadDeadline(deadline)
	n, err = io.ReadFull(b, p)
	_ = b.conn.SetReadDeadline(time.Time{})
	return n, err
}

// limitLinger limits reads of the rest of the body to lingerTime, after the
// request has ended. This also limits a read by a dispatch that still waits for the
// caller.
func (b *callerBody) limitLinger() {
	if !b.complete.Load() {
		_ = b.conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// interrupt ends a read that waits for the caller. The transport waits for the
// read of a cancelled dispatch: without the interrupt, a caller that stops sending
// would occupy the target's slot past the deadline.
func (b *callerBody) interrupt() {
	if !b.complete.Load() {
		_ = b.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// readBody buffers a body of at most maxBufferedBody bytes. A longer body, or one
// of unknown length, is streamed; if the request has a key, its start is buffered
// first.
func (q *request) readBody() error {
	n := q.incoming.ContentLength
	if n == 0 {
		return nil
	}
	if n > q.policy.MaxBody {
		return finalError{q.bodyTooLong(call.NotRun, fmt.Sprintf("%d", n))}
	}
	q.upload = q.incoming.Body.(*callerBody)
	q.upload.remaining = q.policy.MaxBody
	if n > 0 && n <= maxBufferedBody {
		return q.bufferBody(n)
	}
	if q.key != "" {
		return q.bufferPrefix(n)
	}
	q.stream = q.upload
	return nil
}

func (q *request) bufferBody(n int64) error {
	if err := q.holdBody(n); err != nil {
		return err
	}
	q.body = make([]byte, n)
	if _, err := q.upload.readBefore(q.body, q.deadline); err != nil {
		return q.bodyReadError(err)
	}
	q.upload.complete.Store(true)
	return q.completeBody()
}

// completeBody notes that what is buffered of the body has been read.
func (q *request) completeBody() error {
	if err := q.upload.held.Complete(); err != nil {
		return finalError{noMemory(err)}
	}
	return nil
}

// bufferPrefix buffers the first maxBufferedBody bytes of a keyed request's body,
// which the fingerprint needs to detect a key that is reused for another request.
// If the body is longer, the rest is streamed.
func (q *request) bufferPrefix(n int64) error {
	if err := q.holdBody(maxBufferedBody); err != nil {
		return err
	}
	prefix := make([]byte, maxBufferedBody)
	read, err := q.upload.readBefore(prefix, q.deadline)
	q.body = prefix[:read]
	switch err {
	case io.EOF, io.ErrUnexpectedEOF:
		return q.completeBody()
	case nil:
		q.cachedFingerprint = q.computeFingerprint(call.BodyHash(q.body) + uint64(n))
		q.stream = io.MultiReader(bytes.NewReader(q.body), q.upload)
		return q.completeBody()
	}
	return q.bodyReadError(err)
}

// bodyReadError returns the final error for a body that couldn't be buffered. The
// request wasn't dispatched yet.
func (q *request) bodyReadError(err error) error {
	if refusal := q.upload.held.Refused(); refusal != nil {
		return finalError{noMemory(refusal)}
	}
	if errors.Is(err, errTooLong) {
		return finalError{q.bodyTooLong(call.NotRun, "more")}
	}
	if time.Now().After(q.deadline) {
		return finalError{call.Final{
			Outcome: call.NotRun, Reason: call.ReasonDeadline, Status: http.StatusRequestTimeout,
			Detail: "body: found no end by the deadline, expected the whole",
		}}
	}
	return malformed("body: found fewer bytes than Content-Length says or a broken chunk")
}

func (q *request) bodyTooLong(outcome call.Outcome, found string) call.Final {
	return call.Final{
		Outcome: outcome, Reason: call.ReasonMalformed, Status: http.StatusRequestEntityTooLarge,
		Detail: fmt.Sprintf("body: found %s bytes, expected at most %d", found, q.policy.MaxBody),
	}
}

// uploading reports whether part of a streamed body is still to be read from the
// caller.
func (q *request) uploading() bool {
	return q.stream != nil && !q.upload.complete.Load()
}

// withBodyError replaces a final response by one about the body limit if the
// streamed body exceeded it, unless the request ran.
func (q *request) withBodyError(f call.Final) call.Final {
	if q.stream == nil || !q.upload.tooLong.Load() || f.Outcome == call.Ran {
		return f
	}
	return q.bodyTooLong(f.Outcome, "more")
}
