// Package forward dispatches one HTTP request to one target and passes the
// answer on.
//
// # No resend by net/http
//
// http.Transport sends a request again by itself when a reused connection
// fails (Transport.roundTrip, persistConn.shouldRetryRequest, Go 1.26): when
// nothing was written and the request has no body or a GetBody, and, after
// bytes were written, when Request.isReplayable holds: no body or a GetBody,
// and a method of GET, HEAD, OPTIONS or TRACE, or an Idempotency-Key or
// X-Idempotency-Key header. Both need a nil Body, http.NoBody or a GetBody.
// So a request leaves here with a body that is neither, empty if need be, and
// without GetBody. A second guard doesn't depend on that reading: the GetConn
// trace hook, which runs before each connection is chosen, panics when it is
// called again for the same dispatch. HTTP/2 is off.
//
// # What is surely not run
//
// The connection counts the bytes that the kernel took. A dispatch that fails
// with none of them taken did not run; any other may have.
//
// # Answers
//
// HTTP/1.1 ties an answer to its request by order alone. A connection whose
// answer was not read to its end is closed; so is one that has bytes to read
// before a request is written to it. What a target sends twice can still arrive
// just after the next request was written. Only a name tells it apart then: a
// target that repeats the Plumpitch-Request header of a request on its answer
// is safe from that too.
//
// An answer without a length and without chunks is refused: its end can't be
// told from a cut.
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
	MaxHeader int64         // bytes of an answer head; default 64 KiB
	Connect   time.Duration // longest wait for a TCP connection; default 1 s
	Idle      time.Duration // idle connections are closed after it; default 4 s
	Stall     time.Duration // longest silence within an answer body; default 30 s
	Whole     int64         // answers up to this many bytes are read before they are passed on; default 32 KiB
	// Silence is how long sent bytes may stay unacknowledged before the
	// connection counts as lost; 0 leaves that to the system. A connection that
	// went silent without a reset would hold each request sent on it until its
	// deadline.
	Silence time.Duration
	// Echo names the header in which targets repeat the id that callers send in
	// it. Where it is set, headers are passed on as they are in both
	// directions, and an answer may end with its connection. Empty means the
	// product's own headers.
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

// Malformed returns how many load reports could not be read.
func (f *Forwarder) Malformed() uint64 {
	return f.malformed.Load()
}

// Failure is a dispatch that brought no whole answer.
type Failure struct {
	Target  string
	Stage   call.Stage
	Ran     call.Execution
	Status  int           // of the answer head, when one came
	Header  http.Header   // the same
	Replay  bool          // the body can be sent again
	Connect time.Duration // until a connection was had; 0 where none was
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

// Causes that a dispatch is cancelled with.
var (
	errTimeout  = errors.New("no answer in time")
	errStalled  = errors.New("answer body stalled")
	errStale    = errors.New("answer bytes came before the request was written")
	errResent   = errors.New("transport tried to send the request again")
	errUnframed = errors.New("answer has neither length nor chunks")
	errUpgrade  = errors.New("answer switches protocols, which was not asked for")
	errClosed   = errors.New("answer was dropped")
)
