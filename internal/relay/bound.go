package relay

import (
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/reply"
)

// Limits of a call between entries, in bytes. A reply holds a configuration of up to 1 MB and lists of
// entries, targets and evacuations.
const (
	maxHeaderBytes  = 16 << 10
	maxRequestBytes = 1 << 20
	maxReplyBytes   = 8 << 20
)

// readBuffer bounds the unread bytes of a connection to another entry.
const readBuffer = 512 << 10

// requestTimeout is how long the request of a call may take to arrive.
const requestTimeout = 2 * time.Second

// boundedTransport fails reads of response bodies past maxReplyBytes.
type boundedTransport struct{ reply.Transport }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxReplyBytes)
	return resp, nil
}

// boundRequest limits the size of a call's request and the time that it may take to arrive.
func boundRequest(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	// The deadline is lifted by the server before the next request. An error means that the
	// connection has none; net/http's always have one.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestTimeout))
}
