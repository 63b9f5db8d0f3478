// Package forward sends one HTTP request to one target and forwards the
// response to the caller.
//
// # No automatic retry by net/http
//
// http.Transport retries a request by itself when a reused connection fails
// (Transport.roundTrip, persistConn.shouldRetryRequest, Go 1.26). It does so in
// two cases. Before any byte was written, it retries a request that has no body
// or a GetBody. After bytes were written, it retries if Request.isReplayable
// holds: the request has no body or a GetBody, and its method is GET, HEAD,
// OPTIONS or TRACE or it has an Idempotency-Key or X-Idempotency-Key header.
// Both cases need a nil Body, http.NoBody or a GetBody. The requests of this
// package therefore always have another body, which may be empty, and no
// GetBody. A second guard doesn't rely on this reading of net/http: the GetConn
// trace hook runs before each connection is chosen, and panics when it runs
// twice for one dispatch. HTTP/2 is off.
//
// # Requests that did not run
//
// Each connection counts the bytes that the kernel accepted. If a dispatch fails
// before the kernel accepted any byte, the request did not run. Otherwise it may
// have run.
//
// # Matching responses to requests
//
// HTTP/1.1 matches responses to requests by their order alone. A connection is
// closed if its response was not read to the end, or if it has bytes to read
// before a request is written. A duplicate response can still arrive just after
// the next request was written. Only an identifier shows the difference: a
// target that copies the Plumpitch-Request header of the request to its response
// is protected from this case too.
//
// A response with neither a Content-Length nor chunked encoding is rejected,
// because its end looks the same as a broken connection.
package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
)

// Config of a Forwarder. Zero fields take the defaults.
type Config struct {
	MaxConns  int           // connections to one target; default 200
	MaxHeader int64         // bytes of a response head; default 64 KiB
	Connect   time.Duration // timeout for a TCP connection; default 1 s
	Idle      time.Duration // idle connections are closed after this time; default 4 s
	Stall     time.Duration // longest pause within a response body; default 30 s
	Whole     int64         // responses up to this many bytes are buffered before they are forwarded; default 32 KiB
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as lost; 0 uses the system's default. Without it, each
	// request sent on a connection that died without a reset waits until its
	// deadline.
	Silence time.Duration
	// EchoHeader names the header in which callers send an id that targets copy
	// to their responses. If it is set, end-to-end headers are forwarded
	// unchanged in both directions, and a response body may end with its
	// connection. If it is empty, plumpitch's own headers are used.
	Echo string
}

const (
	defaultMaxConns  = 200
	defaultMaxHeader = 64 << 10
	defaultConnect   = time.Second
	defaultIdle      = 4 * time.Second
	defaultStall     = 30 * time.Second
	defaultWhole     = 32 << 10
)

// Forwarder sends requests to targets. It is safe for concurrent use.
type Forwarder struct {
	cfg       Config
	transport *http.Transport
	malformed atomic.Uint64
	sent      atomic.Uint64
}

// New returns a Forwarder with a transport of its own.
func New(cfg Config) *Forwarder {
	cfg = cfg.withDefaults()
	dialer := net.Dialer{Timeout: cfg.Connect, Control: silence(cfg.Silence)}
	f := &Forwarder{cfg: cfg}
	f.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newConn(c)
		},
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    cfg.MaxConns,
		MaxConnsPerHost:        cfg.MaxConns,
		IdleConnTimeout:        cfg.Idle,
		MaxResponseHeaderBytes: cfg.MaxHeader,
		Protocols:              new(http.Protocols),
	}
	f.transport.Protocols.SetHTTP1(true)
	return f
}

func (c Config) withDefaults() Config {
	if c.MaxConns <= 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.MaxHeader <= 0 {
		c.MaxHeader = defaultMaxHeader
	}
	if c.Connect <= 0 {
		c.Connect = defaultConnect
	}
	if c.Idle <= 0 {
		c.Idle = defaultIdle
	}
	if c.Stall <= 0 {
		c.Stall = defaultStall
	}
	if c.Whole <= 0 {
		c.Whole = defaultWhole
	}
	return c
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.transport.CloseIdleConnections()
}

// MalformedLoads returns how many load reports could not be parsed.
func (f *Forwarder) Malformed() uint64 {
	return f.malformed.Load()
}

// Failure describes a dispatch that didn't receive a complete response.
type Failure struct {
	Target  string
	Stage   call.Stage
	Ran     call.Execution
	Status  int           // of the response head, if one was received
	Header  http.Header   // of the response head, if one was received
	Replay  bool          // the request body can be sent again
	Connect time.Duration // time until a connection was obtained; 0 if there was none
	Cause   error
}

// Error names the target, the stage and the cause.
func (f *Failure) Error() string {
	return "dispatch to " + f.Target + " failed at " + f.Stage.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// Causes with which the context of a dispatch is cancelled.
var (
	errTimeout  = errors.New("timeout waiting for the response")
	errStalled  = errors.New("response body stalled")
	errStale    = errors.New("connection unusable or response received before the request was written")
	errResent   = errors.New("transport tried to resend the request")
	errUnframed = errors.New("response has neither Content-Length nor chunked encoding")
	errUpgrade  = errors.New("response switches protocols without a request to do so")
	errClosed   = errors.New("response was closed")
)
