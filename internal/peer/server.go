package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/pkg/member"
)

// Members is the membership behind the server.
type Members interface {
	// Gossip answers a peer's message.
	Gossip(ctx context.Context, m member.Message) (member.Message, error)
	// Ping pings the peer at an address for somebody else.
	Ping(ctx context.Context, address string) (member.ID, error)
}

// Change is what a peer lacks of the settings.
type Change struct {
	Revision uint64
	Document []byte   // whole, when the edits do not reach back
	Edits    [][]byte // oldest first
}

// SettingsSource gives what a peer lacks since the revision that it has.
type SettingsSource interface {
	Since(ctx context.Context, revision uint64) (Change, error)
}

// ServerConfig builds the handler of the peers' listener.
type ServerConfig struct {
	Self     member.ID
	Members  Members
	Settings SettingsSource
	Counters *Counters
}

// Timeouts of the peers' listener. Its idle timeout is longer than the client's
// (idleTimeout): a connection that the server closes just as a request is
// written fails that request, and the entry would look dead.
const (
	readTimeout       = 5 * time.Second
	writeTimeout      = 10 * time.Second
	serverIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 8 << 10
)

// NewServer gives the HTTP server for the peers' listener. A nil Settings
// answers its calls with "unimplemented".
func NewServer(cfg ServerConfig) *http.Server {
	if cfg.Counters == nil {
		cfg.Counters = &Counters{}
	}
	inner := wire.NewPeerServer(&server{cfg})
	return &http.Server{
		Handler:        countHandler(inner, cfg.Counters),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    serverIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

func countHandler(inner http.Handler, c *Counters) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := kindOf(r)
		c.calls[k].Add(1)
		w.Header()["Date"] = nil // peers do not read it
		if r.ContentLength > MaxRequest {
			refuseLong(w, r)
			return
		}
		r.Body = &countedBody{r.Body, &c.in[k], MaxRequest}
		inner.ServeHTTP(countedWriter{w, &c.out[k]}, r)
	})
}

// refuseLong reads on for a while before it answers: a client that is still
// writing when the connection closes sees a reset in place of the reason.
func refuseLong(w http.ResponseWriter, r *http.Request) {
	io.CopyN(io.Discard, r.Body, MaxRequest)
	e := &FieldError{
		Field:    "body",
		Found:    fmt.Sprintf("%d bytes", r.ContentLength),
		Expected: fmt.Sprintf("at most %d", MaxRequest),
	}
	twirp.WriteError(w, invalid(e))
}

type server struct{ cfg ServerConfig }

func (s *server) Gossip(ctx context.Context, w *wire.GossipRequest) (*wire.GossipReply, error) {
	if err := checkVersion(w.GetVersion()); err != nil {
		return nil, err
	}
	m, err := DecodeGossip(time.Now(), w.GetGossip())
	if err != nil {
		return nil, invalid(err)
	}
	answer, err := s.cfg.Members.Gossip(ctx, m)
	if err != nil {
		return nil, err
	}
	return &wire.GossipReply{Version: Version, Gossip: EncodeGossip(time.Now(), answer)}, nil
}

func (s *server) Ping(_ context.Context, w *wire.PingRequest) (*wire.PingReply, error) {
	if err := checkVersion(w.GetVersion()); err != nil {
		return nil, err
	}
	return &wire.PingReply{Ident: encodeID(s.cfg.Self)}, nil
}

func (s *server) Reach(ctx context.Context, w *wire.ReachRequest) (*wire.ReachReply, error) {
	if err := checkVersion(w.GetVersion()); err != nil {
		return nil, err
	}
	if err := require(field{"peer", w.GetPeer()}); err != nil {
		return nil, invalid(err)
	}
	id, err := s.cfg.Members.Ping(ctx, w.GetPeer())
	if err != nil {
		return &wire.ReachReply{}, nil
	}
	return &wire.ReachReply{Ident: encodeID(id)}, nil
}

func (s *server) Settings(ctx context.Context, w *wire.SettingsRequest) (*wire.SettingsReply, error) {
	if err := checkVersion(w.GetVersion()); err != nil {
		return nil, err
	}
	if s.cfg.Settings == nil {
		return nil, unimplemented(Settings)
	}
	c, err := s.cfg.Settings.Since(ctx, w.GetSince())
	if err != nil {
		return nil, err
	}
	return &wire.SettingsReply{Revision: c.Revision, Document: c.Document, Edits: c.Edits}, nil
}

func unimplemented(k Kind) error {
	return twirp.NewError(twirp.Unimplemented, k.String()+" is not served here")
}
