// Package relay carries between entries that they live, what they have in
// force, and what one of them has read from the store for the others.
//
// A beat is a small datagram to each other entry. It says how new the sender's
// knowledge is; an entry that lacks something pulls it from the sender. Word
// that comes twice, late or in the wrong order does no harm, since everything
// in it is told by version or revision.
package relay

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
)

// Beat is what an entry says of itself.
type Beat struct {
	ID      uint64          // of the entry's run; Tell takes it from Entry
	Brief   bool            // heard without Entry, which an earlier beat has told
	Briefly bool            // the sender understands brief beats
	Entry   owner.Entry     // of the sender
	Config  route.Version   // in force
	Targets roster.Revision // of the last change of targets
	// ConfigAge and TargetsAge are the times since the store last confirmed
	// that there is nothing newer.
	ConfigAge  time.Duration
	TargetsAge time.Duration
	Shut       bool          // the store doesn't serve the sender
	Leaving    bool          // it stops
	Strained   bool          // it can't keep up
	Rate       float64       // requests a second that it gets
	Loads      []Load        // the same by host, the highest first
	Period     time.Duration // until its next beat
	Suspects   []call.Suspect
}

// Load is what an entry gets of one host's requests.
type Load struct {
	Host   uint32  // of owner.HostID
	Rate   float64 // requests a second
	Owners int     // as the sender decides as the host's first owner; 0 where it isn't
}

// Have is what the caller of Pull knows already.
type Have struct {
	Config  route.Version
	Targets roster.Revision // of the last change; 0 asks for a list
}

// Extent tells how much of the targets News holds.
type Extent uint8

// Extents.
const (
	Nothing Extent = iota // there is nothing newer
	Listed                // all targets
	Changed               // the changes since those that the caller has
)

// News is what it lacks.
type News struct {
	Config  []byte // as the operator wrote it; empty where there is nothing newer
	Targets Extent
	Changes []roster.Change[slot.Target]
	At      roster.Revision // up to which the targets are known
	Moved   roster.Revision // of the last change of targets that matters
	Age     time.Duration   // since the store confirmed the targets
}

// Source gives what this entry knows.
type Source interface {
	News(ctx context.Context, have Have) (News, error)
}

// Config builds a Relay.
type Config struct {
	Address string // host:port, for datagrams and calls
	Source  Source
	Heard   func(Beat) // called for each beat, by one goroutine
	Log     log.Interface
}

// Relay speaks with the other entries. It is safe for concurrent use.
type Relay struct {
	cfg      Config
	packets  net.PacketConn
	listener net.Listener
	server   *http.Server
	client   *http.Client
}

// Times of calls between entries. They are a millisecond apart.
const (
	callTime   = 500 * time.Millisecond
	idleTime   = 30 * time.Second
	headerTime = 2 * time.Second
)

// maxBeat bounds a datagram: it has to fit into one packet.
const maxBeat = 1400

// New opens the sockets, so that a taken port is told before anything starts.
func New(cfg Config) (r *Relay, err error) {
	defer func() { err = errors.WithMessage(err, "relay") }()
	r = &Relay{cfg: cfg, client: &http.Client{
		Timeout:   callTime,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTime, DisableCompression: true},
	}}
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.server = &http.Server{
		Handler:           wire.NewRelayServer(&server{source: cfg.Source}),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       2 * idleTime,
	}
	return r, nil
}

// freePorts is how often another port is tried where the system chooses it.
const freePorts = 20

// listen opens datagrams and calls on one port, so that a beat names both.
// Where the system chooses the port, the one it gives for datagrams may be taken
// for calls.
func (r *Relay) listen() (err error) {
	for range freePorts {
		if r.packets, err = net.ListenPacket("udp", r.cfg.Address); err != nil {
			return err
		}
		if r.listener, err = net.Listen("tcp", r.Address()); err == nil {
			return nil
		}
		r.packets.Close()
		if _, port, _ := net.SplitHostPort(r.cfg.Address); port != "0" {
			return err
		}
	}
	return err
}

// Address is where the other entries find this one.
func (r *Relay) Address() string {
	return r.packets.LocalAddr().String()
}

// Serve answers calls and hears beats until ctx ends.
func (r *Relay) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.Close)
	defer stop()
	go r.hear()
	err := r.server.Serve(r.listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Close ends all traffic with the other entries.
func (r *Relay) Close() {
	r.packets.Close()
	r.server.Close()
}

func (r *Relay) String() string { return "relay" }

func (r *Relay) hear() {
	buf := make([]byte, maxBeat)
	for {
		n, from, err := r.packets.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.cfg.Log.WithError(err).Warn("relay: no datagram read")
			continue
		}
		b, err := decodeBeat(buf[:n])
		if err != nil {
			r.cfg.Log.WithError(err).WithField("from", from.String()).Warn("relay: beat not understood")
			continue
		}
		r.cfg.Heard(b)
	}
}

// Tell sends a beat to the given entries, a brief one to those that know the
// sender. A beat that is lost is made up for by the next one.
func (r *Relay) Tell(b Beat, brief, whole []owner.Entry) (err error) {
	return errors.WithMessage(cmp.Or(r.tell(b, true, brief), r.tell(b, false, whole)), "beat")
}

func (r *Relay) tell(b Beat, brief bool, to []owner.Entry) (err error) {
	if len(to) == 0 {
		return nil
	}
	data, err := encodeBeat(b, brief)
	if err != nil {
		return err
	}
	for _, e := range to {
		addr, resolved := net.ResolveUDPAddr("udp", e.Peer)
		if resolved != nil {
			err = resolved
			continue
		}
		if _, failed := r.packets.WriteTo(data, addr); failed != nil {
			err = failed
		}
	}
	return err
}

// Pull asks an entry for what is newer than have.
func (r *Relay) Pull(ctx context.Context, from owner.Entry, have Have) (n News, err error) {
	defer func() { err = errors.WithMessage(err, "pull from "+from.Name) }()
	c := wire.NewRelayProtobufClient("http://"+from.Peer, r.client)
	reply, err := c.Pull(ctx, &wire.PullRequest{Config: uint64(have.Config), Targets: uint64(have.Targets), Format: formatBrief})
	if err != nil {
		return n, err
	}
	return decodeNews(time.Now(), reply)
}

// server answers calls of other entries.
type server struct {
	source Source
	packer packer
}

// Pull implements wire.Relay.
func (s *server) Pull(ctx context.Context, r *wire.PullRequest) (*wire.PullReply, error) {
	have := Have{Config: route.Version(r.Config), Targets: roster.Revision(r.Targets)}
	n, err := s.source.News(ctx, have)
	if err != nil {
		return nil, err
	}
	if n.Targets == Changed && r.Format < formatBrief {
		have.Targets = 0
		if n, err = s.source.News(ctx, have); err != nil {
			return nil, err
		}
	}
	w := encodeNews(time.Now(), n)
	if r.Format >= formatBrief && len(n.Config) >= packFrom {
		w.Config = nil
		w.Packed, err = s.packer.pack(n.Config)
	}
	return w, err
}
