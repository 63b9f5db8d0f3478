package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/claims"
	"plumpitch.example/plumpitch/internal/members"
	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
)

// build makes the parts that entries share state by: membership and settings,
// over one client of peers, and claims in the store.
func (e *Entry) build() {
	f := e.cfg.File
	e.counters = &peer.Counters{}
	e.client = peer.NewClient(peer.ClientConfig{Counters: e.counters})
	e.settings = settings.New(settings.Config{Store: e.store, Peers: firstPeer{e}, Log: e.log})
	e.members = members.New(members.Config{
		Member: member.Config{
			Self:  e.self(),
			Seeds: f.Seeds,
			Rand:  rand.New(rand.NewPCG(e.cfg.Boot, 0)),
		},
		Client:     e.client,
		Behind:     func(from member.Ref, _ member.Marks) { e.relay.behind(from.Address) },
		Learned:    func(r member.Rumours) { go e.learned(r) },
		Superseded: func(member.ID) { e.superseded() },
	})
	e.claims = claims.New(claims.Config{
		Entry: f.Name, Boot: e.cfg.Boot, Log: e.log,
		Store: tracedClaims{e.claimStore(), &e.tracing}, Sweeps: e.sweeps,
	})
	e.relay = newRelay(e)
}

// claimWrites is how many writes a second all entries together may spend on
// claims: a keyed request takes two, and the platform takes several hundred.
const claimWrites = 300

// claimStore is a client of its own: claims must not wait behind other calls,
// nor hold them up.
func (e *Entry) claimStore() *store.Client {
	e.claimRate = rate.NewLimiter(claimWrites, claimWrites/10)
	return store.New(store.Config{
		Addr: e.cfg.File.Platform, HTTP: e.storeCalls(), Writes: e.claimRate, Reads: rate.NewLimiter(claimWrites, claimWrites/10),
	})
}

// sweeps tells whether this entry removes expired claims: the first of all by
// name does.
func (e *Entry) sweeps() bool {
	for _, m := range e.members.Serving() {
		if m.ID.Name < e.cfg.File.Name {
			return false
		}
	}
	return true
}

// documents are what peers hand on.
func (e *Entry) documents() documents {
	return documents{settings: e.settings, client: e.client}
}

// peerServer answers other entries.
func (e *Entry) peerServer() *server {
	return &server{
		name: "peers",
		on:   e.counters.Listener(e.peers),
		http: peer.NewServer(peer.ServerConfig{
			Self:     e.self().ID,
			Members:  e.members,
			Settings: e.documents(),
			Counters: e.counters,
		}),
	}
}

// learned takes rumours that are new here.
func (e *Entry) learned(r member.Rumours) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range r.Stopping {
		e.control.tell(ctx, targetLeaves{s.Target, s.Boot})
	}
	now := time.Now()
	for _, c := range r.Crashers {
		e.suspects.Merge(now, "rumour", []call.Suspect{{Print: c.Print, Crashes: int(c.Crashes), Age: now.Sub(c.At)}})
	}
}

// left spreads that a target is leaving.
func (e *Entry) left(target string, boot uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e.control.tell(ctx, targetLeaves{target, boot})
	_ = e.members.Tell(ctx, member.Rumours{Stopping: []member.Stopping{{Target: target, Boot: boot, At: time.Now()}}})
}

// tellSuspect spreads a request that crashed a target.
func (e *Entry) tellSuspect(fp uint64) {
	now := time.Now()
	for _, s := range e.suspects.Export(now, maxSuspects) {
		if s.Print != fp {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = e.members.Tell(ctx, member.Rumours{Crashers: []member.Crasher{{
			Print: fp, Crashes: uint32(s.Crashes), At: now.Add(-s.Age),
		}}})
		cancel()
	}
}

// maxSuspects is how many suspects are looked through for one to be spread.
const maxSuspects = 64

// firstPeer asks a live peer for the settings, for an entry that starts while
// the store is down.
type firstPeer struct{ entry *Entry }

// Settings asks one live peer, another one at each call.
func (p firstPeer) Settings(ctx context.Context, since uint64) (c settings.Change, err error) {
	address, ok := p.entry.anyPeer()
	if !ok {
		return c, errNoPeer
	}
	ch, err := p.entry.client.Settings(ctx, address, since)
	return settings.Change{Revision: ch.Revision, Document: ch.Document, Edits: ch.Edits}, err
}

// anyPeer picks a live entry other than this one.
func (e *Entry) anyPeer() (address string, ok bool) {
	var others []string
	for _, m := range e.members.Serving() {
		if m.ID.Name != e.cfg.File.Name {
			others = append(others, m.Peer)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}
