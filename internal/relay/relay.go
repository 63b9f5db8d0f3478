// Package relay carries between entries what they know of each other, what they
// have in force, and what one of them has read from the store for the others.
//
// Membership and how new one's knowledge is go in datagrams; an entry that lacks
// something pulls it from the sender. Word that comes twice, late or in the wrong
// order does no harm, since everything in it is told by version or revision.
package relay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
)

// Have is what the caller of Pull knows already.
type Have struct {
	Config  route.Version
	Targets roster.Revision // of the last change; 0 asks for a list
	// Evacuations is the revision of the last change of evacuations.
	Evacuations roster.Revision
	Entries     bool     // the entries that the caller lacks are wanted too
	Known       []uint32 // digests of those that it knows
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
	Entries []member.Entry  // where they were asked for
	// Evacuations are all that there are; nil where the caller knows them.
	Evacuations *Evacuations
}

// Evacuations are the marks on failure domains that are to get no requests.
type Evacuations struct {
	List  []roster.Item[slot.Evacuation]
	At    roster.Revision // up to which they are known
	Moved roster.Revision // of the last change
	Age   time.Duration   // since the store confirmed them
}

// Source gives what this entry knows.
type Source interface {
	News(ctx context.Context, have Have) (News, error)
}

// Config builds a Relay.
type Config struct {
	Address string // host:port, for datagrams and calls
	Source  Source
	Self    func() member.ID            // of this entry, told to those that ping it
	Heard   func(p Packet, from string) // called for each packet, by one goroutine
	Sent    func(bytes int)             // called for each packet that was sent
	Log     log.Interface
}

// Relay speaks with the other entries. It is safe for concurrent use.
type Relay struct {
	cfg      Config
	packets  *net.UDPConn
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

// maxPacket bounds a datagram in bytes: it has to fit into one packet of 1,500.
const maxPacket = 1472

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

// listen opens datagrams and calls on one port, so that one address names both.
// Where the system chooses the port, the one it gives for datagrams may be taken
// for calls.
func (r *Relay) listen() (err error) {
	for range freePorts {
		var addr *net.UDPAddr
		if addr, err = net.ResolveUDPAddr("udp4", r.cfg.Address); err != nil {
			return err
		}
		if r.packets, err = net.ListenUDP("udp4", addr); err != nil {
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

// Serve answers calls and hears packets until ctx ends.
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
	buf := make([]byte, 2*maxPacket) // one that is too long is not to be cut short
	for {
		n, from, err := r.packets.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.cfg.Log.WithError(err).Warn("relay: no datagram read")
			continue
		}
		p, err := decodePacket(time.Now(), buf[:n])
		if err != nil {
			r.cfg.Log.WithError(err).WithField("from", from.String()).Warn("relay: packet not understood")
			continue
		}
		r.heard(p, from.String())
	}
}

// heard answers pings and passes them on; the rest is for the control loop.
func (r *Relay) heard(p Packet, from string) {
	var err error
	switch p.Kind {
	case Reach:
		err = r.Send(p.Target, Packet{Kind: ping, Exchange: p.Exchange, Target: from})
	case ping:
		err = r.Send(from, Packet{Kind: pong, Exchange: p.Exchange, Target: p.Target, ID: r.cfg.Self()})
	case pong:
		err = r.Send(p.Target, Packet{Kind: Reached, Exchange: p.Exchange, ID: p.ID})
	default:
		r.cfg.Heard(p, from)
	}
	if err != nil {
		r.cfg.Log.WithError(err).WithField("from", from).Debug("relay: ping not passed on")
	}
}

// Send sends a packet to an address. One that is lost is made up for by the next.
func (r *Relay) Send(to string, p Packet) (err error) {
	defer func() { err = errors.WithMessage(err, "packet to "+to) }()
	data, err := encodePacket(time.Now(), p)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	n, err := r.packets.WriteToUDPAddrPort(data, addr)
	r.cfg.Sent(n)
	return err
}

// Pull asks the entry at an address for what is newer than have.
func (r *Relay) Pull(ctx context.Context, from string, have Have) (n News, err error) {
	defer func() { err = errors.WithMessage(err, "pull from "+from) }()
	c := wire.NewRelayProtobufClient("http://"+from, r.client)
	reply, err := c.Pull(ctx, &wire.PullRequest{
		Config: uint64(have.Config), Targets: uint64(have.Targets), Format: formatPacked,
		Entries: have.Entries, Known: have.Known, Evacuations: uint64(have.Evacuations),
	})
	if err != nil {
		return n, err
	}
	return decodeNews(time.Now(), reply)
}

// server answers calls of other entries.
type server struct {
	source Source
	packer packer
	whole  recent
}

// Pull implements wire.Relay.
func (s *server) Pull(ctx context.Context, r *wire.PullRequest) (w *wire.PullReply, err error) {
	if r.Config > 0 || r.Targets > 0 || r.Evacuations > 0 || r.Entries {
		return s.answer(ctx, r)
	}
	if w = s.whole.get(time.Now(), r.Format); w != nil {
		return w, nil
	}
	if w, err = s.answer(ctx, r); err != nil {
		return nil, err
	}
	s.whole.put(time.Now(), r.Format, w)
	return w, nil
}

func (s *server) answer(ctx context.Context, r *wire.PullRequest) (*wire.PullReply, error) {
	have := Have{
		Config: route.Version(r.Config), Targets: roster.Revision(r.Targets), Evacuations: roster.Revision(r.Evacuations),
		Entries: r.Entries, Known: r.Known,
	}
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
		if w.Packed, err = s.packer.pack(n.Config); err != nil {
			return nil, err
		}
	}
	if r.Format >= formatPacked {
		err = packLists(w)
	}
	return w, err
}
