package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"plumpitch.example/plumpitch/internal/dial"
	"plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/pkg/member"
)

// minimalHeaders removes headers that peers don't read, to save control traffic.
var minimalHeaders = &twirp.ClientHooks{
	RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
		r.Header["User-Agent"] = []string{""}
		r.Header.Del("Accept")
		return ctx, nil
	},
}

var errTooLong = errors.New("message too long")

// ClientConfig configures a Client. Zero values take the defaults.
type ClientConfig struct {
	Timeout     time.Duration // of a call whose context has no deadline; default 1 s
	DialTimeout time.Duration // timeout of a connect; default 300 ms
	MaxConns    int           // to one peer; default 16
	Counters    *Counters
}

// Defaults of a client.
const (
	DefaultTimeout     = time.Second
	DefaultDialTimeout = 300 * time.Millisecond
	DefaultMaxConns    = 16

	idleTimeout  = 20 * time.Second
	maxIdleConns = 1024
	maxClients   = 4096
)

// Client calls other entries. It is safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	http *http.Client

	mu      sync.Mutex
	clients map[string]wire.Peer // by address
}

// NewClient returns a client with its own connections.
//
// Go's transport retries a request when a reused connection breaks. It retries a
// POST without an Idempotency-Key header only if it had written nothing yet.
// Besides, every peer call is idempotent.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = DefaultMaxConns
	}
	if cfg.Counters == nil {
		cfg.Counters = &Counters{}
	}
	c := &Client{cfg: cfg, clients: make(map[string]wire.Peer)}
	c.http = &http.Client{Transport: &countingTransport{inner: newTransport(cfg), counters: cfg.Counters}}
	return c
}

func newTransport(cfg ClientConfig) http.RoundTripper {
	dialer := dial.New(dial.Config{Timeout: cfg.DialTimeout})
	return reply.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, cfg.Counters}, nil
		},
		MaxConnsPerHost:        cfg.MaxConns,
		MaxIdleConnsPerHost:    cfg.MaxConns,
		MaxIdleConns:           maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}}
}

type countingTransport struct {
	inner    http.RoundTripper
	counters *Counters
}

func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	m := methodOf(r)
	t.counters.calls[m].Add(1)
	t.counters.out[m].Add(r.ContentLength)
	resp, err := t.inner.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &countedBody{resp.Body, &t.counters.in[m], MaxReply}
	return resp, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) clientFor(address string) wire.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.clients[address]; ok {
		return p
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	p := wire.NewPeerProtobufClient("http://"+address, c.http, twirp.WithClientHooks(minimalHeaders))
	c.clients[address] = p
	return p
}

func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.cfg.Timeout)
}

// Gossip sends a membership message and returns the response.
func (c *Client) Gossip(ctx context.Context, address string, m member.Message) (response member.Message, err error) {
	defer func() { err = errors.WithMessage(err, "gossip with "+address) }()
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	req := &wire.GossipRequest{Version: Version, Gossip: EncodeGossip(time.Now(), m)}
	reply, err := c.clientFor(address).Gossip(ctx, req)
	if err != nil {
		return response, err
	}
	if err := checkVersion(reply.GetVersion()); err != nil {
		return response, err
	}
	return DecodeGossip(time.Now(), reply.GetGossip())
}

// Ping returns the ID of the incarnation that listens at an address.
func (c *Client) Ping(ctx context.Context, address string) (id member.ID, err error) {
	defer func() { err = errors.WithMessage(err, "ping "+address) }()
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	reply, err := c.clientFor(address).Ping(ctx, &wire.PingRequest{Version: Version})
	if err != nil {
		return id, err
	}
	return requireID("ident", reply.GetIdent())
}

// IndirectPing asks the entry at via to ping the one at target. It returns a zero ID if
// the entry at via received no response.
func (c *Client) IndirectPing(ctx context.Context, via, target string) (id member.ID, err error) {
	defer func() { err = errors.WithMessage(err, "ping "+target+" through "+via) }()
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	reply, err := c.clientFor(via).Reach(ctx, &wire.ReachRequest{Version: Version, Peer: target})
	if err != nil {
		return id, err
	}
	return decodeID(reply.GetIdent()), nil
}

// Settings fetches the changes of the settings since a revision.
func (c *Client) Settings(ctx context.Context, address string, since uint64) (update SettingsUpdate, err error) {
	defer func() { err = errors.WithMessage(err, "settings from "+address) }()
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	reply, err := c.clientFor(address).Settings(ctx, &wire.SettingsRequest{Version: Version, Since: since})
	if err != nil {
		return update, err
	}
	return SettingsUpdate{Revision: reply.GetRevision(), Document: reply.GetDocument(), Edits: reply.GetEdits()}, nil
}
