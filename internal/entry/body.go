package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
)

// maxHeld is the longest request body that is held in memory, in bytes, so
// that it can be sent again. A longer one is streamed and sent once.
const maxHeld = 64 << 10

// linger is how long the rest of a caller's body is read after its answer. A
// connection that is closed with bytes unread is reset, and the caller, still
// writing, would lose the answer.
const linger = 500 * time.Millisecond

// errTooLong is the end of a streamed body that is over the limit.
var errTooLong = errors.New("body: too long")

// callerBody is the body of a caller's request. It knows whether its end was
// seen and whether it went over the limit.
type callerBody struct {
	io.Closer
	src   io.Reader
	conn  *http.ResponseController
	left  int64       // bytes that may still come; negative is no limit
	ended atomic.Bool // all of it was read
	over  atomic.Bool // it is longer than the limit
}

func newCallerBody(w http.ResponseWriter, r *http.Request) *callerBody {
	return &callerBody{Closer: r.Body, src: r.Body, conn: http.NewResponseController(w), left: -1}
}

// Read fails where the body goes over the limit.
func (b *callerBody) Read(p []byte) (n int, err error) {
	if b.left >= 0 && int64(len(p)) > b.left {
		p = p[:b.left+1]
	}
	n, err = b.src.Read(p)
	if b.left >= 0 && int64(n) > b.left {
		b.over.Store(true)
		return int(b.left), errTooLong
	}
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// hold reads up to len(p) bytes by a time. A caller that sends no more would
// otherwise hold a connection of the entry for as long as it likes.
func (b *callerBody) hold(p []byte, by time.Time) (n int, err error) {
	_ = b.conn.SetReadDeadline(by)
	n, err = io.ReadFull(b, p)
	_ = b.conn.SetReadDeadline(time.Time{})
	return n, err
}

// leave bounds what is read after the request has ended. The read of a dispatch
// that waits for the caller ends with it.
func (b *callerBody) leave() {
	if !b.ended.Load() {
		_ = b.conn.SetReadDeadline(time.Now().Add(linger))
	}
}

// interrupt ends a read that waits for the caller. The transport waits for the
// read of a cancelled dispatch, so without it a caller that holds back the body
// would keep its target's slot past every deadline.
func (b *callerBody) interrupt() {
	if !b.ended.Load() {
		_ = b.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// readBody holds a short body in memory and leaves a longer one to be
// streamed.
func (q *request) readBody() error {
	n := q.in.ContentLength
	if n == 0 {
		return nil
	}
	if n > q.policy.MaxBody {
		return finalError{q.tooLong(call.NotRun, fmt.Sprintf("%d", n))}
	}
	q.upload = q.in.Body.(*callerBody)
	q.upload.left = q.policy.MaxBody
	if n > 0 && n <= maxHeld {
		return q.holdBody(n)
	}
	if q.key != "" {
		return q.holdHead(n)
	}
	q.stream = q.upload
	return nil
}

func (q *request) holdBody(n int64) error {
	q.body = make([]byte, n)
	if _, err := q.upload.hold(q.body, q.deadline); err != nil {
		return q.notHeld(err)
	}
	q.upload.ended.Store(true)
	return nil
}

// holdHead reads the beginning of a keyed request's body before anything is
// decided, all of it if it is short: the key's fingerprint has to tell it from
// another request.
func (q *request) holdHead(n int64) error {
	head := make([]byte, maxHeld)
	got, err := q.upload.hold(head, q.deadline)
	q.body = head[:got]
	switch err {
	case io.EOF, io.ErrUnexpectedEOF:
		return nil
	case nil:
		q.print = q.printOf(call.BodyHash(q.body) + uint64(n))
		q.stream = io.MultiReader(bytes.NewReader(q.body), q.upload)
		return nil
	}
	return q.notHeld(err)
}

// notHeld is the answer to a request whose body didn't come. Nothing was
// dispatched yet.
func (q *request) notHeld(err error) error {
	if errors.Is(err, errTooLong) {
		return finalError{q.tooLong(call.NotRun, "more")}
	}
	if time.Now().After(q.deadline) {
		return finalError{call.Final{
			Outcome: call.NotRun, Reason: call.ReasonDeadline, Status: http.StatusRequestTimeout,
			Detail: "body: found no end by the deadline, expected the whole",
		}}
	}
	return malformed("body: found fewer bytes than Content-Length says or a broken chunk")
}

func (q *request) tooLong(outcome call.Outcome, found string) call.Final {
	return call.Final{
		Outcome: outcome, Reason: call.ReasonMalformed, Status: http.StatusRequestEntityTooLarge,
		Detail: fmt.Sprintf("body: found %s bytes, expected at most %d", found, q.policy.MaxBody),
	}
}

// uploading reports whether the caller still has to send some of the body.
func (q *request) uploading() bool {
	return q.stream != nil && !q.upload.ended.Load()
}

// explain says what was wrong with the body where that ended the request.
func (q *request) explain(f call.Final) call.Final {
	if q.stream == nil || !q.upload.over.Load() || f.Outcome == call.Ran {
		return f
	}
	return q.tooLong(f.Outcome, "more")
}
