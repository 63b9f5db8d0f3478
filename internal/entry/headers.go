package entry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// readHeaders takes the time remaining, the attempt and the depth from the
// caller's headers.
func (q *request) readHeaders(now time.Time) (err error) {
	if q.header, err = call.ParseHeader(q.in.Header); err != nil {
		return malformed(err.Error())
	}
	timeout := q.policy.Timeout
	if q.header.Limited {
		timeout = min(timeout, q.header.Timeout)
	}
	q.deadline = now.Add(timeout)
	return nil
}

// readBody holds a short body in memory and leaves a longer one to be
// streamed.
func (q *request) readBody() error {
	n := q.in.ContentLength
	if n > q.policy.MaxBody {
		return finalError{call.Final{
			Outcome: call.NotRun, Reason: call.ReasonMalformed, Status: http.StatusRequestEntityTooLarge,
			Detail: fmt.Sprintf("body: found %d bytes, expected at most %d", n, q.policy.MaxBody),
		}}
	}
	if n == 0 {
		return nil
	}
	if n < 0 || n > maxHeld || len(q.in.Trailer) > 0 {
		q.stream = http.MaxBytesReader(nil, q.in.Body, q.policy.MaxBody)
		return nil
	}
	q.body = make([]byte, n)
	if _, err := io.ReadFull(q.in.Body, q.body); err != nil {
		return malformed("body: found fewer bytes than Content-Length says")
	}
	return nil
}
