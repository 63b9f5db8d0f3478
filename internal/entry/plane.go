package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"plumpitch.example/plumpitch/internal/claims"
	"plumpitch.example/plumpitch/internal/members"
	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/ring"
)

// build makes the parts that entries share state by: membership, settings and
// claims, over one client of peers.
func (e *Entry) build() {
	f := e.cfg.File
	e.counters = &peer.Counters{}
	e.client = peer.NewClient(peer.ClientConfig{Counters: e.counters})
	e.settings = settings.New(settings.Config{Store: e.store, Peers: firstPeer{e}, Log: e.log})
	e.members = members.New(members.Config{
		Member: member.Config{
			Self: member.Entry{
				ID: member.ID(e.self().Ident), Caller: e.self().Caller, Peer: e.self().Peer,
				Place: f.Place, Region: f.Region,
			},
			Seeds: f.Seeds,
			Rand:  rand.New(rand.NewPCG(e.cfg.Boot, 0)),
		},
		Client:     e.client,
		Behind:     func(from member.Ref, _ member.Marks) { e.relay.behind(from.Address) },
		Learned:    func(r member.Rumours) { go e.learned(r) },
		Superseded: func(member.ID) { e.superseded() },
	})
	e.claims = claims.New(claims.Config{
		Self:   e.self(),
		Table:  keyTable(e.self().Ident),
		Bounds: ringBounds(),
		Peers:  tracedPeers{claims.Remote{Client: e.client}, &e.tracing},
		Store:  claims.Platform{Client: e.store},
		View:   func() ring.View { return e.members.Ring(time.Now(), e.claims.Ring().Revision) },
		Log:    func(message string, err error) { e.log.WithError(err).Warn(message) },
	})
	e.relay = newRelay(e)
}

// What an entry remembers of keys. A record takes 310 bytes besides its answer,
// so that both bounds together stay under 150 MB.
const (
	keyRetention = time.Hour
	maxKeys      = 250_000
	maxKept      = 64 << 20 // bytes of answers
)

func keyTable(self ring.Ident) claim.Config {
	c := claim.Default(self, time.Now())
	c.Retention, c.Keys, c.Bytes = keyRetention, maxKeys, maxKept
	return c
}

func ringBounds() ring.Config {
	c := ring.Default()
	c.Retention = keyRetention
	return c
}

// documents are the two documents that peers hand on.
func (e *Entry) documents() documents {
	return documents{settings: e.settings, claims: e.claims, client: e.client}
}

// peerServer answers other entries.
func (e *Entry) peerServer() *server {
	return &server{
		name: "peers",
		on:   e.counters.Listener(e.peers),
		http: peer.NewServer(peer.ServerConfig{
			Self:     member.ID(e.self().Ident),
			Members:  e.members,
			Settings: e.documents(),
			Claims:   claims.Local{Claims: e.claims},
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
	ch, err := p.entry.client.Settings(ctx, address, member.Marks{Settings: since, Ring: noRing})
	return settings.Change{Revision: ch.Revision, Document: ch.Document, Edits: ch.Edits}, err
}

// noRing asks for the settings only: no ring is newer.
const noRing = 1<<64 - 1

// anyPeer picks a live entry other than this one.
func (e *Entry) anyPeer() (address string, ok bool) {
	var others []string
	for _, m := range e.members.Serving() {
		if m.Name != e.cfg.File.Name {
			others = append(others, m.Peer)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}
