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
// the next request was written. Only an identifier shows the difference. With
// Config.EchoHeader, a response is taken only with exactly the request's ID.
// Without it, a target that copies the Plumpitch-Request header of the request
// to its response is protected from this case too.
//
// The ID tells this only while the connection has carried it once. A caller or a
// gateway may send a request again, and a late copy of the first response, such as
// a refusal, has the same ID. With Config.EchoHeader, a connection therefore
// carries each ID once: it keeps hashes of the IDs, and carries no more than
// maxConnRequests of them. Having no ID counts as an ID. If the transport chooses
// a connection that is full or has carried the ID, it is closed with nothing
// written, no byte of a streamed body is read, and the request is sent on another
// one. Without Config.EchoHeader, each dispatch has an ID of its own.
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

	"plumpitch.example/plumpitch/internal/dial"
	"plumpitch.example/plumpitch/pkg/call"
)

// Config of a Forwarder. Zero fields take the defaults.
type Config struct {
	MaxConns         int           // connections to one target; default 200
	MaxHeaderBytes   int64         // bytes of a response head; default 64 KiB
	ConnectTimeout   time.Duration // timeout for a TCP connection; default 1 s
	IdleTimeout      time.Duration // idle connections are closed after this time; default 4 s
	StallTimeout     time.Duration // longest pause within a response body; default 30 s
	MaxBufferedBytes int64         // responses up to this many bytes are buffered before they are forwarded; default 32 KiB
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as lost; 0 uses the system's default. Without it, each
	// request sent on a connection that died without a reset waits until its
	// deadline.
	UnackedTimeout time.Duration
	// EchoHeader names the header in which callers send an id that targets copy
	// to their responses. If it is set, end-to-end headers are forwarded
	// unchanged in both directions, and a response body may end with its
	// connection. If it is empty, plumpitch's own headers are used.
	EchoHeader string
	// IsRefusal reports whether a response with the request's ID is a refusal, whose body isn't
	// needed; nil if none is. Shed requests of the own interface are always refusals.
	IsRefusal func(status int, h http.Header) bool
	// Buffers has room for buffered responses; nil means that there always is.
	Buffers Buffers
	// Dial opens TCP connections to targets, with a socket; nil means a dial.Config with the
	// UnackedTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Buffers bounds the memory of buffered responses. It must be safe for concurrent use.
type Buffers interface {
	// Buffer reports whether further bytes may be buffered. It must not block.
	Buffer(bytes int64) bool
	// Return ends the use of bytes.
	Return(bytes int64)
}

// unlimited has room for all responses.
type unlimited struct{}

func (unlimited) Buffer(int64) bool { return true }
func (unlimited) Return(int64)      {}

const (
	defaultMaxConns         = 200
	defaultMaxHeaderBytes   = 64 << 10
	defaultConnectTimeout   = time.Second
	defaultIdleTimeout      = 4 * time.Second
	defaultStallTimeout     = 30 * time.Second
	defaultMaxBufferedBytes = 32 << 10

	// readBuffer bounds the unread bytes of a connection to a target.
	readBuffer = 256 << 10
)

// Forwarder sends requests to targets. It is safe for concurrent use.
type Forwarder struct {
	cfg            Config
	transport      *http.Transport
	malformedLoads atomic.Uint64
	lastID         atomic.Uint64
}

// New returns a Forwarder with a transport of its own.
func New(cfg Config) *Forwarder {
	cfg = cfg.withDefaults()
	f := &Forwarder{cfg: cfg}
	f.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := f.dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newConn(c)
		},
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    cfg.MaxConns,
		MaxConnsPerHost:        cfg.MaxConns,
		IdleConnTimeout:        cfg.IdleTimeout,
		MaxResponseHeaderBytes: cfg.MaxHeaderBytes,
		Protocols:              new(http.Protocols),
	}
	f.transport.Protocols.SetHTTP1(true)
	return f
}

// dial opens a connection within ConnectTimeout.
func (f *Forwarder) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ConnectTimeout)
	defer cancel()
	return f.cfg.Dial(ctx, network, address)
}

// Connect opens a connection to a target and closes it.
func (f *Forwarder) Connect(ctx context.Context, target string) (err error) {
	defer func() { err = errors.WithMessage(err, "connecting to "+target) }()
	c, err := f.dial(ctx, "tcp", target)
	if err != nil {
		return err
	}
	return c.Close()
}

func (c Config) withDefaults() Config {
	if c.MaxConns <= 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.StallTimeout <= 0 {
		c.StallTimeout = defaultStallTimeout
	}
	if c.MaxBufferedBytes <= 0 {
		c.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if c.Buffers == nil {
		c.Buffers = unlimited{}
	}
	if c.Dial == nil {
		c.Dial = dial.New(dial.Config{UnackedTimeout: c.UnackedTimeout, ReadBuffer: readBuffer}).DialContext
	}
	return c
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.transport.CloseIdleConnections()
}

// MalformedLoads returns how many load reports could not be parsed.
func (f *Forwarder) MalformedLoads() uint64 {
	return f.malformedLoads.Load()
}

// Failure describes a dispatch that didn't receive a complete response.
type Failure struct {
	Target      string
	Stage       call.Stage
	Execution   call.Execution
	Status      int           // of the response head, if one was received
	Header      http.Header   // of the response head, if one was received
	Replayable  bool          // the request body can be sent again
	ConnectTime time.Duration // time until a connection was obtained; 0 if there was none
	RepeatedIDs int           // connections that were given up since they had carried the request's ID
	Cause       error
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
	errTimeout           = errors.New("timeout waiting for the response")
	errStalled           = errors.New("response body stalled")
	errGivenUp           = errors.New("connection has carried the ID of the request, or too many requests")
	errStaleConnection   = errors.New("connection unusable or response received before the request was written")
	errResent            = errors.New("transport tried to resend the request")
	errUnframed          = errors.New("response has neither Content-Length nor chunked encoding")
	errUnexpectedUpgrade = errors.New("response switches protocols without a request to do so")
	errResponseClosed    = errors.New("response was closed")
)
