package claims

import (
	"context"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Kind and name of the ring document in the platform's store.
const (
	storeKind = "ring"
	storeName = "entries"
)

// Remote is Peers over the peers' protocol.
type Remote struct{ Client *peer.Client }

// Claim asks a replica.
func (r Remote) Claim(ctx context.Context, to ring.Member, a claim.Ask) (claim.Reply, error) {
	res, err := r.Client.Claim(ctx, to.Peer, peer.ClaimAsk{
		To:      member.ID(a.To),
		Ring:    a.Ring,
		Service: a.Service,
		Key:     a.Key,
		Print:   a.Print,
		Claim:   a.ID,
		By:      member.ID(a.By),
	})
	if err != nil {
		return claim.Reply{}, err
	}
	return claim.Reply{
		Verdict: claim.Verdict(res.Verdict),
		Ring:    res.Ring,
		ID:      res.Claim,
		By:      ring.Ident(res.By),
		Answer:  fromRecorded(res.Answer),
	}, nil
}

// Settle tells a replica of a withdrawal or an outcome.
func (r Remote) Settle(ctx context.Context, to ring.Member, s claim.Settlement) (known bool, err error) {
	return r.Client.Settle(ctx, to.Peer, peer.Settlement{
		To:       member.ID(s.To),
		Service:  s.Service,
		Key:      s.Key,
		Claim:    s.ID,
		Withdraw: s.Withdraw,
		Answer:   toRecorded(s.Answer),
	})
}

// Records copies records to a replica.
func (r Remote) Records(ctx context.Context, to ring.Member, b Batch) (revision uint64, err error) {
	out := peer.Batch{To: member.ID(b.To), From: member.ID(b.From), Ring: b.Ring, Last: b.Last}
	for _, rec := range b.Records {
		out.Records = append(out.Records, peer.Record{
			Service: rec.Service,
			Key:     rec.Key,
			Print:   rec.Print,
			Claim:   rec.ID,
			By:      member.ID(rec.By),
			Age:     rec.Age,
			Answer:  toRecorded(rec.Answer),
		})
	}
	return r.Client.Records(ctx, to.Peer, out)
}

// Ring fetches a newer ring document.
func (r Remote) Ring(ctx context.Context, to ring.Member, have uint64) (document []byte, err error) {
	const noSettings = 1<<64 - 1 // asks for the ring only
	change, err := r.Client.Settings(ctx, to.Peer, member.Marks{Settings: noSettings, Ring: have})
	return change.Ring, err
}

// Local answers the peers' protocol.
type Local struct{ Claims *Claims }

// Claim answers a claim.
func (l Local) Claim(_ context.Context, a peer.ClaimAsk) (peer.ClaimResult, error) {
	reply := l.Claims.Claim(claim.Ask{
		Claim: claim.Claim{Service: a.Service, Key: a.Key, Print: a.Print, ID: a.Claim, By: ring.Ident(a.By)},
		To:    ring.Ident(a.To),
		Ring:  a.Ring,
	})
	return peer.ClaimResult{
		Verdict: peer.Verdict(reply.Verdict),
		Ring:    reply.Ring,
		Claim:   reply.ID,
		By:      member.ID(reply.By),
		Answer:  toRecorded(reply.Answer),
	}, nil
}

// Settle takes a withdrawal or an outcome.
func (l Local) Settle(_ context.Context, s peer.Settlement) (known bool, err error) {
	return l.Claims.Settle(claim.Settlement{
		To:       ring.Ident(s.To),
		Service:  s.Service,
		Key:      s.Key,
		ID:       s.Claim,
		Withdraw: s.Withdraw,
		Answer:   fromRecorded(s.Answer),
	}), nil
}

// Take adds copied records. It fails for another incarnation, so that its
// sender doesn't count the copy.
func (l Local) Take(_ context.Context, b peer.Batch) (revision uint64, err error) {
	in := Batch{To: ring.Ident(b.To), From: ring.Ident(b.From), Ring: b.Ring, Last: b.Last}
	for _, rec := range b.Records {
		c := claim.Claim{Service: rec.Service, Key: rec.Key, Print: rec.Print, ID: rec.Claim, By: ring.Ident(rec.By)}
		in.Records = append(in.Records, claim.Record{Claim: c, Age: rec.Age, Answer: fromRecorded(rec.Answer)})
	}
	revision, ok := l.Claims.Take(in)
	if !ok {
		return revision, errors.Errorf("to: found %s, expected this incarnation", in.To)
	}
	return revision, nil
}

// Platform is Store over the platform's object store.
type Platform struct{ Client *store.Client }

// Get reads the ring document.
func (p Platform) Get(ctx context.Context) (document []byte, version uint64, err error) {
	o, err := p.Client.Get(ctx, storeKind, storeName)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	return o.Value, o.Version, err
}

// Put writes the ring document.
func (p Platform) Put(ctx context.Context, document []byte, version uint64) error {
	_, err := p.Client.Put(ctx, storeKind, storeName, version, document)
	return err
}

func toRecorded(a *claim.Answer) *peer.RecordedAnswer {
	if a == nil {
		return nil
	}
	out := &peer.RecordedAnswer{Outcome: peer.Unknown, Status: a.Status, Body: a.Body, Whole: a.Whole}
	if a.Outcome == call.Ran {
		out.Outcome = peer.Ran
	}
	for _, f := range a.Header {
		out.Header = append(out.Header, peer.Field(f))
	}
	return out
}

func fromRecorded(a *peer.RecordedAnswer) *claim.Answer {
	if a == nil {
		return nil
	}
	out := &claim.Answer{Outcome: call.Unknown, Status: a.Status, Body: a.Body, Whole: a.Whole}
	if a.Outcome == peer.Ran {
		out.Outcome = call.Ran
	}
	for _, f := range a.Header {
		out.Header = append(out.Header, claim.Field(f))
	}
	return out
}
