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

// Members handles the membership calls of the server.
type Members interface {
	// Gossip handles a peer's message and returns the response.
	Gossip(ctx context.Context, m member.Message) (member.Message, error)
	// Ping pings the peer at an address on behalf of another entry.
	Ping(ctx context.Context, address string) (member.ID, error)
}

// SettingsUpdate holds the changes of the settings that a peer lacks.
type SettingsUpdate struct {
	Revision uint64
	Document []byte   // full document, if the edits don't go back to the peer's revision
	Edits    [][]byte // oldest first
}

// SettingsSource returns the changes since a peer's revision.
type SettingsSource interface {
	ChangesSince(ctx context.Context, revision uint64) (SettingsUpdate, error)
}

// ServerConfig configures the server of the peer protocol.
type ServerConfig struct {
	Self     member.ID
	Members  Members
	Settings SettingsSource
	Counters *Counters
}

// Limits of the server. Its idle timeout is longer than the client's idleTimeout. If
// the server closed an idle connection while a request is written, the request would
// fail and the entry would look dead.
const (
	ReadTimeout       = 5 * time.Second
	writeTimeout      = 10 * time.Second
	ServerIdleTimeout = 2 * time.Minute
	MaxHeaderBytes    = 8 << 10
)

// NewHandler returns the handler of the peer protocol. If cfg.Settings is nil, Settings calls fail with
// the code Unimplemented.
func NewHandler(cfg ServerConfig) http.Handler {
	if cfg.Counters == nil {
		cfg.Counters = &Counters{}
	}
	return countHandler(wire.NewPeerServer(&server{cfg}), cfg.Counters)
}

// NewServer returns an HTTP server of the peer protocol that bounds no memory, for tests and
// experiments.
func NewServer(cfg ServerConfig) *http.Server {
	return &http.Server{
		Handler:        NewHandler(cfg),
		ReadTimeout:    ReadTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    ServerIdleTimeout,
		MaxHeaderBytes: MaxHeaderBytes,
	}
}

func countHandler(inner http.Handler, c *Counters) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := methodOf(r)
		c.calls[m].Add(1)
		w.Header()["Date"] = nil // peers do not read it
		if r.ContentLength > MaxRequest {
			rejectOversized(w, r)
			return
		}
		r.Body = &countedBody{r.Body, &c.in[m], MaxRequest}
		inner.ServeHTTP(countedWriter{w, &c.out[m]}, r)
	})
}

// rejectOversized reads up to MaxRequest bytes of the body before it responds. A client
// that is still writing when the connection closes gets a connection reset in place
// of the error.
func rejectOversized(w http.ResponseWriter, r *http.Request) {
	io.CopyN(io.Discard, r.Body, MaxRequest)
	e := &FieldError{
		Field:    "body",
		Found:    fmt.Sprintf("%d bytes", r.ContentLength),
		Expected: fmt.Sprintf("at most %d", MaxRequest),
	}
	twirp.WriteError(w, invalidArgument(e))
}

type server struct{ cfg ServerConfig }

func (s *server) Gossip(ctx context.Context, w *wire.GossipRequest) (*wire.GossipReply, error) {
	if err := checkVersion(w.GetVersion()); err != nil {
		return nil, err
	}
	m, err := DecodeGossip(time.Now(), w.GetGossip())
	if err != nil {
		return nil, invalidArgument(err)
	}
	response, err := s.cfg.Members.Gossip(ctx, m)
	if err != nil {
		return nil, err
	}
	return &wire.GossipReply{Version: Version, Gossip: EncodeGossip(time.Now(), response)}, nil
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
	if err := requireValues(field{"peer", w.GetPeer()}); err != nil {
		return nil, invalidArgument(err)
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
	update, err := s.cfg.Settings.ChangesSince(ctx, w.GetSince())
	if err != nil {
		return nil, err
	}
	return &wire.SettingsReply{Revision: update.Revision, Document: update.Document, Edits: update.Edits}, nil
}

func unimplemented(m Method) error {
	return twirp.NewError(twirp.Unimplemented, m.String()+" is not served here")
}
