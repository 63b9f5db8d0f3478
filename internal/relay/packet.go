package relay

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"plumpitch.example/plumpitch/internal/peer"
	peerwire "plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/ratelimit"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
)

// Kind is the type of a packet.
type Kind uint8

// Types of packets. Relays handle ping and pong themselves.
const (
	GossipRequest  Kind = iota + 1 // membership message; answered by a GossipResponse
	GossipResponse                 // to a GossipRequest, with the same exchange ID
	IndirectPing                   // asks the receiver to ping Address; answered by an IndirectAck
	ping                           // sent on behalf of the entry at Address
	pong                           // response to a ping, with the same Address
	IndirectAck                    // the entry that an IndirectPing names has answered
	Announcement                   // Knowledge without a membership message
	LoadReport                     // request rate of each host at the sender
	SuspectReport                  // requests under which connections to targets broke
	TokenRequest                   // asks the issuer of a client account for tokens; answered by a TokenResponse
	TokenResponse                  // to a TokenRequest, for the entry at Address
	TokenTransfer                  // token buckets that the sender no longer issues from
)

// Knowledge is the revisions and ages of the store data that an entry has in force.
type Knowledge struct {
	Config  route.Version   // in force
	Targets roster.Revision // of the last change of targets
	// Evacuations is the revision of the last change of evacuations.
	Evacuations roster.Revision
	// The ages are the times since the store last confirmed that the data is current.
	ConfigAge      time.Duration
	TargetsAge     time.Duration
	EvacuationsAge time.Duration
}

// HostLoad is the request rate of one host at an entry.
type HostLoad struct {
	Host uint32  // hash, from owner.HostID
	Rate float64 // requests a second
}

// Packet is the content of one datagram.
type Packet struct {
	Kind        Kind
	ExchangeID  uint64         // identifies the request that a response belongs to
	Message     member.Message // of GossipRequest and GossipResponse
	Knowledge   Knowledge      // of GossipRequest, GossipResponse and Announcement
	OwnerCounts []owner.Count  // of GossipRequest and GossipResponse
	Loads       []HostLoad     // of LoadReport
	Suspects    []call.Suspect // of SuspectReport
	ID          member.ID      // entry that answered a ping or sends a report
	// Address is the entry to ping, the one to send the acknowledgement to, or the one that
	// asks for tokens.
	Address    string
	TokenAsk   *TokenAsk            // of TokenRequest
	TokenGrant *ratelimit.Grant     // of TokenResponse
	Transfers  []ratelimit.Transfer // of TokenTransfer
}

// maxLoads and maxSuspects keep a packet within maxPacketBytes. maxLoads also limits the
// owner counts.
const (
	maxLoads    = 32
	maxSuspects = 32
)

// encodePacket drops entries from a message that doesn't fit into one packet. This
// happens because rumours and MissingAddresses are limited in number but not in bytes.
// A later comparison of digests finds the dropped entries.
func encodePacket(now time.Time, p Packet) (data []byte, err error) {
	for {
		data, err = marshal(now, p)
		n := len(p.Message.Entries)
		if err != nil || len(data) <= maxPacketBytes || n == 0 {
			return data, err
		}
		if p.Message.BucketMask != 0 {
			// The receiver would take entries cut from a bucket as missing at the sender.
			p.Message.BucketMask, n = 0, 0
		}
		p.Message.Entries = p.Message.Entries[:n/2]
	}
}

func marshal(now time.Time, p Packet) ([]byte, error) {
	w := &wire.Datagram{
		Kind: wire.Kind(p.Kind), Exchange: p.ExchangeID, Address: p.Address,
		TokenAsk: encodeTokenAsk(p.TokenAsk), TokenGrant: encodeTokenGrant(p.TokenGrant),
		Transfers: encodeTransfers(p.Transfers),
	}
	if p.Kind == GossipRequest || p.Kind == GossipResponse {
		w.Gossip = peer.EncodeGossip(now, p.Message)
	}
	if p.Kind == GossipRequest || p.Kind == GossipResponse || p.Kind == Announcement {
		w.Knowledge = encodeKnowledge(p.Knowledge)
	}
	if p.ID != (member.ID{}) {
		w.Ident = &peerwire.Ident{Name: p.ID.Name, Boot: p.ID.Boot}
	}
	for _, n := range p.OwnerCounts[:min(len(p.OwnerCounts), maxLoads)] {
		w.Numbers = append(w.Numbers, &wire.Number{Host: n.Host, Owners: uint32(n.Owners), Rate: float32(n.Rate), Sequence: n.Sequence})
	}
	for _, l := range p.Loads[:min(len(p.Loads), maxLoads)] {
		w.Loads = append(w.Loads, &wire.Load{Host: l.Host, Rate: float32(l.Rate)})
	}
	for _, s := range p.Suspects[:min(len(p.Suspects), maxSuspects)] {
		w.Suspects = append(w.Suspects, encodeSuspect(s))
	}
	return proto.Marshal(w)
}

func encodeKnowledge(k Knowledge) *wire.Knowledge {
	return &wire.Knowledge{
		Config: uint64(k.Config), ConfigAge: millis(k.ConfigAge),
		Targets: uint64(k.Targets), TargetsAge: millis(k.TargetsAge),
		Evacuations: uint64(k.Evacuations), EvacuationsKnown: 1 + millis(k.EvacuationsAge),
	}
}

func decodeKnowledge(w *wire.Knowledge) Knowledge {
	return Knowledge{
		Config: route.Version(w.Config), ConfigAge: fromMillis(w.ConfigAge),
		Targets: roster.Revision(w.Targets), TargetsAge: fromMillis(w.TargetsAge),
		Evacuations: roster.Revision(w.Evacuations), EvacuationsAge: optionalAge(w.EvacuationsKnown),
	}
}

func decodePacket(now time.Time, data []byte) (p Packet, err error) {
	var w wire.Datagram
	if err := proto.Unmarshal(data, &w); err != nil {
		return p, err
	}
	if w.Kind <= 0 || Kind(w.Kind) > TokenTransfer {
		return p, errors.Errorf("kind: found %d, expected 1 to %d", w.Kind, TokenTransfer)
	}
	p = Packet{
		Kind: Kind(w.Kind), ExchangeID: w.Exchange, Address: w.Address,
		ID: member.ID{Name: w.GetIdent().GetName(), Boot: w.GetIdent().GetBoot()}, TokenGrant: decodeTokenGrant(w.TokenGrant),
	}
	if p.TokenAsk, err = decodeTokenAsk(w.TokenAsk); err != nil {
		return p, errors.WithMessage(err, "token_ask")
	}
	if p.Transfers, err = decodeTransfers(w.Transfers); err != nil {
		return p, errors.WithMessage(err, "transfers")
	}
	if p.Kind == TokenRequest && p.TokenAsk == nil || p.Kind == TokenResponse && p.TokenGrant == nil {
		return p, errors.Errorf("kind %d: found no content", w.Kind)
	}
	if w.Knowledge != nil {
		p.Knowledge = decodeKnowledge(w.Knowledge)
	}
	if w.Gossip != nil {
		if p.Message, err = peer.DecodeGossip(now, w.Gossip); err != nil {
			return p, errors.WithMessage(err, "gossip")
		}
	}
	for _, n := range w.Numbers {
		if err := checkNumbers(float64(n.Rate)); err != nil {
			return p, errors.WithMessage(err, "numbers.rate")
		}
		p.OwnerCounts = append(p.OwnerCounts, owner.Count{Host: n.Host, Owners: int(n.Owners), Rate: float64(n.Rate), Sequence: n.Sequence})
	}
	for _, l := range w.Loads {
		if err := checkNumbers(float64(l.Rate)); err != nil {
			return p, errors.WithMessage(err, "loads.rate")
		}
		p.Loads = append(p.Loads, HostLoad{Host: l.Host, Rate: float64(l.Rate)})
	}
	for _, s := range w.Suspects {
		p.Suspects = append(p.Suspects, decodeSuspect(s))
	}
	return p, nil
}

func encodeSuspect(s call.Suspect) *peerwire.Suspect {
	return &peerwire.Suspect{
		Print: s.Fingerprint, Crashes: uint32(s.Crashes), Ago: millis(s.Age),
		Unanswered: uint32(s.Unanswered), Trials: uint32(s.Trials), Since: millis(s.Since), Last: millis(s.Last), Answered: s.Answered,
	}
}

func decodeSuspect(w *peerwire.Suspect) call.Suspect {
	return call.Suspect{
		Fingerprint: w.Print, Crashes: int(w.Crashes), Age: fromMillis(w.Ago),
		Unanswered: int(w.Unanswered), Trials: int(w.Trials), Since: fromMillis(w.Since), Last: fromMillis(w.Last), Answered: w.Answered,
	}
}
