package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// readHeaders takes the time remaining, the attempt and the depth from the
// caller's headers.
func (q *request) readHeaders(now time.Time) (err error) {
	timeout := q.policy.Timeout
	if v := q.in.Header.Get(call.HeaderTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return malformed(call.HeaderTimeout + ": found " + strconv.Quote(v) + ", expected a positive duration such as 250ms")
		}
		timeout = min(timeout, d)
	}
	q.deadline = now.Add(timeout)
	if q.attempt, err = count(q.in.Header, call.HeaderAttempt); err != nil {
		return err
	}
	q.depth, err = count(q.in.Header, call.HeaderDepth)
	return err
}

// maxCount bounds the numbers in headers.
const maxCount = 1000

func count(h http.Header, name string) (n int, err error) {
	v := h.Get(name)
	if v == "" {
		return 0, nil
	}
	n, err = strconv.Atoi(v)
	if err != nil || n < 0 || n > maxCount {
		return 0, malformed(name + ": found " + strconv.Quote(v) + ", expected a number from 0 to " + strconv.Itoa(maxCount))
	}
	return n, nil
}

// readBody holds a short body in memory and leaves a longer one to be
// streamed.
func (q *request) readBody() error {
	if q.in.ContentLength == 0 {
		return nil
	}
	if q.in.ContentLength < 0 || q.in.ContentLength > maxHeld || len(q.in.Trailer) > 0 {
		q.stream = q.in.Body
		return nil
	}
	q.body = make([]byte, q.in.ContentLength)
	if _, err := io.ReadFull(q.in.Body, q.body); err != nil {
		return malformed("body: found fewer bytes than Content-Length says")
	}
	return nil
}
