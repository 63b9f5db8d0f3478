// Package relay exchanges membership messages and store data between entries, so
// that a few of them read the store for all.
//
// Packets carry membership messages and the revisions of the store data that the sender
// has in force. An entry whose data is older pulls the rest from the sender. Packets are
// datagrams, or go by TCP to an entry that doesn't answer datagrams.
// Duplicate, late and reordered messages are harmless, since all data carries a
// version or a revision.
package relay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/internal/dial"
	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
)

// PullQuery is a request for data newer than what the caller of Pull has.
type PullQuery struct {
	Config  route.Version
	Targets roster.Revision // of the last change; 0 requests the full list
	// Evacuations is the revision of the last change of evacuations.
	Evacuations  roster.Revision
	WantEntries  bool     // whether to return the entries that the caller lacks
	EntryDigests []uint32 // digests of the entries that the caller has
}

// TargetsUpdate is the kind of update that PullResult.Changes holds.
type TargetsUpdate uint8

// Kinds of updates of the targets.
const (
	TargetsUnchanged TargetsUpdate = iota // the caller is up to date
	TargetsListed                         // the full list
	TargetsChanged                        // the changes since the caller's revision
)

// PullResult is the data that is newer than a PullQuery.
type PullResult struct {
	Config     []byte // as the operator wrote it; empty if the caller is up to date
	Targets    TargetsUpdate
	Changes    []roster.Change[slot.Target]
	Revision   roster.Revision // up to which the targets are known
	LastChange roster.Revision // of the last change of targets, heartbeats excluded
	Age        time.Duration   // since the store last confirmed the targets
	Entries    []member.Entry  // set if the query asks for entries
	// Evacuations is the full list; nil if the caller is up to date.
	Evacuations *Evacuations
}

// Evacuations lists the failure domains that must get no requests.
type Evacuations struct {
	List       []roster.Item[slot.Evacuation]
	Revision   roster.Revision // up to which the list is known
	LastChange roster.Revision // of the last change
	Age        time.Duration   // since the store last confirmed the list
}

// Source answers pulls of other entries from the data of this entry.
type Source interface {
	AnswerPull(ctx context.Context, have PullQuery) (PullResult, error)
}

// Config builds a Relay.
type Config struct {
	Address   string // host:port, for datagrams and calls
	Source    Source
	Self      func() member.ID             // ID of this entry, the response to pings
	OnPacket  func(p Packet, from string)  // called for each received packet, also concurrently
	OnSent    func(bytes int, stream bool) // called for each sent packet; stream: by TCP
	OnLost    func(packets int)            // called for packets by TCP that are dropped or can't be delivered
	OnRequest http.Handler                 // serves the callers' requests that other entries pass on
	// ListenPacket opens the socket for datagrams; nil means net.ListenPacket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// Listen opens the listener for calls; nil means net.Listen for TCP.
	Listen func(address string) (net.Listener, error)
	Guard  callers.Guard // of the connections for calls; nil admits all
	// MaxHeaderBytes returns the bound of the header lines of a request that is passed on, whose head
	// may have twice as many bytes; nil means that of calls.
	MaxHeaderBytes func() int
	// Dial opens the connections for calls and packets by TCP; nil means a dialer of its own.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  log.Interface
}

// Relay sends packets to other entries, receives theirs and serves pulls. It is
// safe for concurrent use.
type Relay struct {
	cfg      Config
	packets  net.PacketConn
	listener net.Listener
	server   *callers.Server
	client   *http.Client
	paths    *paths
	streams  *streams
	stop     context.CancelFunc // ends the streams
}

// Timeouts of HTTP calls between entries, whose network latency is about 1 ms.
const (
	callTimeout   = 500 * time.Millisecond
	idleTimeout   = 30 * time.Second
	headerTimeout = 2 * time.Second
)

// maxPacketBytes is the maximum size of a datagram: an IP packet of 1,500 bytes without
// its IP and UDP headers.
const maxPacketBytes = 1472

// New opens the sockets, so that a port already in use fails the start early.
func New(cfg Config) (r *Relay, err error) {
	defer func() { err = errors.WithMessage(err, "relay") }()
	if cfg.Dial == nil {
		cfg.Dial = dial.New(dial.Config{ReadBuffer: readBuffer}).DialContext
	}
	if cfg.Listen == nil {
		cfg.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if cfg.ListenPacket == nil {
		cfg.ListenPacket = net.ListenPacket
	}
	r = &Relay{cfg: cfg, client: &http.Client{
		Timeout: callTimeout,
		Transport: boundedTransport{reply.Transport{Transport: &http.Transport{
			DialContext: cfg.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}}},
	}}
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.paths = newPaths()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.streams = &streams{ctx: ctx, log: cfg.Log, deliver: r.deliver, lost: cfg.OnLost, queues: make(map[string]chan []byte)}
	if cfg.MaxHeaderBytes == nil {
		cfg.MaxHeaderBytes = func() int { return maxHeaderBytes }
	}
	r.server = callers.New(callers.Config{
		Handler:        r.handler(wire.NewRelayServer(&server{relay: r, source: cfg.Source})),
		HeaderTimeout:  func() time.Duration { return headerTimeout },
		IdleTimeout:    func() time.Duration { return 2 * idleTimeout },
		MaxHeaderBytes: cfg.MaxHeaderBytes, Guard: cfg.Guard, Log: cfg.Log,
	})
	return r, nil
}

// HeaderPassedOn is in a caller's request that one entry passes on to another. It names the
// former.
const HeaderPassedOn = "Plumpitch-Passed-On"

// HeaderService is in such a request too. It names the service that the former has chosen.
const HeaderService = "Plumpitch-Passed-On-Service"

// handler serves passed on requests by OnRequest, and all others by calls.
func (r *Relay) handler(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get(HeaderPassedOn) != "" && r.cfg.OnRequest != nil {
			r.cfg.OnRequest.ServeHTTP(w, req)
			return
		}
		boundRequest(w, req)
		calls.ServeHTTP(w, req)
	})
}

// portAttempts limits the attempts to find a port that is free for both UDP and TCP.
const portAttempts = 20

// listen opens UDP and TCP sockets on the same port, so that one address serves
// both. With port 0 the system chooses a free UDP port, whose TCP counterpart may be
// in use; listen then tries another port.
func (r *Relay) listen() (err error) {
	for range portAttempts {
		if r.packets, err = r.cfg.ListenPacket("udp4", r.cfg.Address); err != nil {
			return err
		}
		if r.listener, err = r.cfg.Listen(r.Address()); err == nil {
			return nil
		}
		r.packets.Close()
		if _, port, _ := net.SplitHostPort(r.cfg.Address); port != "0" {
			return err
		}
	}
	return err
}

// Address returns the address at which other entries reach this one.
func (r *Relay) Address() string {
	return r.packets.LocalAddr().String()
}

// Serve serves calls and receives packets until ctx ends.
func (r *Relay) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.Close)
	defer stop()
	go r.receivePackets()
	err := r.server.Serve(r.listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Close closes all sockets.
func (r *Relay) Close() {
	r.stop()
	r.packets.Close()
	_ = r.server.Shutdown(ended()) // its error is that of the context
}

// ended returns a context that has ended.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (r *Relay) String() string { return "relay" }

func (r *Relay) receivePackets() {
	buf := make([]byte, 2*maxPacketBytes) // larger than maxPacketBytes, so that an oversized datagram isn't truncated
	for {
		n, from, err := r.packets.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.cfg.Log.WithError(err).Warn("relay: reading a datagram failed")
			continue
		}
		r.receive(buf[:n], from.String(), false)
	}
}

// receive handles the encoded packet of a peer that came by TCP (stream) or as a datagram.
func (r *Relay) receive(data []byte, from string, stream bool) {
	p, err := decodePacket(time.Now(), data)
	if err != nil {
		r.cfg.Log.WithError(err).WithField("from", from).Warn("relay: dropped a malformed packet")
		return
	}
	switch {
	case !stream:
		r.noteAnswer(p, from)
	case p.Kind == GossipRequest || p.Kind == IndirectPing || p.Kind == ping || p.Kind == TokenRequest:
		r.paths.receivedStream(time.Now(), from)
	}
	r.handlePacket(p, from)
}

// noteAnswer records that a peer has answered a datagram, if the packet shows that.
func (r *Relay) noteAnswer(p Packet, from string) {
	probe := p.Kind == pong && p.Address == ""
	if (probe || p.Kind == GossipResponse || p.Kind == TokenResponse) && r.paths.receivedAnswer(time.Now(), from, probe) {
		r.cfg.Log.WithField("peer", from).Info("relay: peer answers datagrams again")
	}
}

// handlePacket answers and forwards pings, and passes other packets to OnPacket. A ping or
// pong without an address is a probe of the path (see paths).
func (r *Relay) handlePacket(p Packet, from string) {
	var err error
	switch {
	case p.Kind == IndirectPing:
		err = r.Send(p.Address, Packet{Kind: ping, ExchangeID: p.ExchangeID, Address: from})
	case p.Kind == ping && p.Address == "":
		err = r.sendDatagram(from, Packet{Kind: pong, ID: r.cfg.Self()})
	case p.Kind == ping:
		err = r.Send(from, Packet{Kind: pong, ExchangeID: p.ExchangeID, Address: p.Address, ID: r.cfg.Self()})
	case p.Kind == pong && p.Address == "":
	case p.Kind == pong:
		err = r.Send(p.Address, Packet{Kind: IndirectAck, ExchangeID: p.ExchangeID, ID: p.ID})
	default:
		r.cfg.OnPacket(p, from)
	}
	if err != nil {
		r.cfg.Log.WithError(err).WithField("from", from).Debug("relay: sending a ping or its acknowledgement failed")
	}
}

// Send sends a packet to an address, as a datagram or by TCP if the peer doesn't answer
// datagrams or the system refuses to send one. A SuspectReport goes both ways, since it
// isn't repeated. Other packets are not sent again: a later one carries newer data than a
// lost one.
func (r *Relay) Send(to string, p Packet) (err error) {
	defer func() { err = errors.WithMessage(err, "packet to "+to) }()
	way := r.choose(to, p.Kind)
	if way.broke {
		r.cfg.Log.WithField("peer", to).Warn("relay: peer doesn't answer datagrams, packets go by TCP")
	}
	if way.probe {
		if err := r.sendDatagram(to, Packet{Kind: ping}); err != nil {
			r.cfg.Log.WithError(err).WithField("peer", to).Debug("relay: probe not sent")
		}
	}
	if !way.stream {
		if err = r.sendDatagram(to, p); err != nil {
			r.cfg.Log.WithError(err).WithField("peer", to).Debug("relay: datagram not sent, the packet goes by TCP")
		}
	}
	if way.stream || err != nil || p.Kind == SuspectReport {
		return r.sendStream(to, p)
	}
	return nil
}

// choose returns how to send a packet of this kind.
func (r *Relay) choose(to string, k Kind) transport {
	switch k {
	case GossipResponse, pong, IndirectAck, TokenResponse:
		return r.paths.chooseAnswer(time.Now(), to)
	}
	return r.paths.choose(time.Now(), to, k == GossipRequest || k == TokenRequest)
}

func (r *Relay) sendDatagram(to string, p Packet) error {
	data, err := encodePacket(time.Now(), p)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	n, err := r.packets.WriteTo(data, net.UDPAddrFromAddrPort(addr))
	r.cfg.OnSent(n, false)
	return err
}

func (r *Relay) sendStream(to string, p Packet) error {
	data, err := encodePacket(time.Now(), p)
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(to); err != nil {
		return err
	}
	r.cfg.OnSent(len(data), true)
	return r.streams.send(to, data)
}

// Pull requests the data that is newer than have from the entry at an address.
func (r *Relay) Pull(ctx context.Context, from string, have PullQuery) (result PullResult, err error) {
	defer func() { err = errors.WithMessage(err, "pull from "+from) }()
	c := wire.NewRelayProtobufClient("http://"+from, r.client)
	reply, err := c.Pull(ctx, &wire.PullRequest{
		Config: uint64(have.Config), Targets: uint64(have.Targets), Format: formatCompressed,
		Entries: have.WantEntries, Known: have.EntryDigests, Evacuations: uint64(have.Evacuations),
	})
	if err != nil {
		return result, err
	}
	return decodeResult(time.Now(), reply)
}

// server serves calls from other entries.
type server struct {
	relay       *Relay
	source      Source
	compressor  configCompressor
	fullReplies replyCache
}

// Pull implements wire.Relay.
func (s *server) Pull(ctx context.Context, r *wire.PullRequest) (w *wire.PullReply, err error) {
	if r.Config > 0 || r.Targets > 0 || r.Evacuations > 0 || r.Entries {
		return s.buildReply(ctx, r)
	}
	if w = s.fullReplies.get(time.Now(), r.Format); w != nil {
		return w, nil
	}
	if w, err = s.buildReply(ctx, r); err != nil {
		return nil, err
	}
	s.fullReplies.put(time.Now(), r.Format, w)
	return w, nil
}

func (s *server) buildReply(ctx context.Context, r *wire.PullRequest) (*wire.PullReply, error) {
	have := PullQuery{
		Config: route.Version(r.Config), Targets: roster.Revision(r.Targets), Evacuations: roster.Revision(r.Evacuations),
		WantEntries: r.Entries, EntryDigests: r.Known,
	}
	result, err := s.source.AnswerPull(ctx, have)
	if err != nil {
		return nil, err
	}
	if result.Targets == TargetsChanged && r.Format < formatChanges {
		have.Targets = 0
		if result, err = s.source.AnswerPull(ctx, have); err != nil {
			return nil, err
		}
	}
	w := encodeResult(time.Now(), result)
	if r.Format >= formatChanges && len(result.Config) >= minCompressBytes {
		w.Config = nil
		if w.Packed, err = s.compressor.compress(result.Config); err != nil {
			return nil, err
		}
	}
	if r.Format >= formatCompressed {
		err = compressLists(w)
	}
	return w, err
}
