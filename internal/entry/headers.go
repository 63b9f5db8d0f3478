package entry

import (
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// readHeaders reads plumpitch's headers from the request and sets the deadline:
// the caller's timeout, limited by that of the policy.
func (q *request) readHeaders(now time.Time) (err error) {
	if q.header, err = call.ParseHeader(q.incoming.Header); err != nil {
		return malformed(err.Error())
	}
	timeout := q.policy.Timeout
	if q.header.HasTimeout {
		timeout = min(timeout, q.header.Timeout)
	}
	q.deadline = now.Add(timeout)
	return nil
}
