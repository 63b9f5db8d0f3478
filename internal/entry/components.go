package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/internal/claims"
	"plumpitch.example/plumpitch/internal/members"
	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/admission"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
)

// build creates the components that share state between entries: membership and
// settings, which use one peer client, and claims, which use the store.
func (e *Entry) build() {
	f := e.cfg.File
	e.counters = &peer.Counters{}
	e.client = peer.NewClient(peer.ClientConfig{Counters: e.counters})
	e.settings = settings.New(settings.Config{Store: e.store, Peers: peerSettings{e}, Log: e.log})
	e.members = members.New(members.Config{
		Member: member.Config{
			Self:  e.self(),
			Seeds: f.Seeds,
			Rand:  rand.New(rand.NewPCG(e.cfg.Boot, 0)),
		},
		Client:       e.client,
		OnPeerAhead:  func(from member.Ref, _ member.Revisions) { e.relay.requestPull(from.Address) },
		OnRumours:    func(r member.Rumours) { go e.receiveRumours(r) },
		OnSuperseded: func(member.ID) { e.superseded() },
	})
	e.claims = claims.New(claims.Config{
		Entry: f.Name, Boot: e.cfg.Boot, Log: e.log,
		Store: tracedClaims{e.claimStore(), &e.tracing}, ShouldSweep: e.sweepsClaims,
	})
	e.relay = newRelay(e)
}

// claimWritesPerSecond limits the claim writes of all entries together. A keyed
// request takes two writes, and the platform handles several hundred a second.
const claimWritesPerSecond = 300

// claimStore returns a separate store client for claims, so that claims and
// other store calls don't delay each other.
func (e *Entry) claimStore() *store.Client {
	e.claimRate = rate.NewLimiter(claimWritesPerSecond, claimWritesPerSecond/10)
	return store.New(store.Config{
		Addr: e.cfg.File.Platform, HTTP: e.storeHTTPClient(), Writes: e.claimRate, Reads: rate.NewLimiter(claimWritesPerSecond, claimWritesPerSecond/10),
		OnDecodeError: e.logDecodeError,
	})
}

// sweepsClaims reports whether this entry removes expired claims. The live entry
// with the lowest name does so for all.
func (e *Entry) sweepsClaims() bool {
	for _, m := range e.members.Serving() {
		if m.ID.Name < e.cfg.File.Name {
			return false
		}
	}
	return true
}

// settingsSync returns the exchange of settings with peers.
func (e *Entry) settingsSync() settingsSync {
	return settingsSync{settings: e.settings, client: e.client}
}

// peerServer returns the server for other entries.
func (e *Entry) peerServer() *server {
	return &server{
		name:     "peers",
		listener: e.counters.Listener(e.peers),
		http: callers.New(callers.Config{
			Handler: peer.NewHandler(peer.ServerConfig{
				Self:     e.self().ID,
				Members:  e.members,
				Settings: e.settingsSync(),
				Counters: e.counters,
			}),
			ReadTimeout:    peer.ReadTimeout,
			IdleTimeout:    func() time.Duration { return peer.ServerIdleTimeout },
			MaxHeaderBytes: func() int { return peer.MaxHeaderBytes },
			Guard:          e.guard.At(admission.Entries), Log: e.log,
		}),
	}
}

// receiveRumours applies rumours that are new to this entry: leaving targets and
// requests that crash targets.
func (e *Entry) receiveRumours(r member.Rumours) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range r.LeavingNotices {
		e.control.enqueue(ctx, targetLeaving{s.Target, s.Boot})
	}
	now := time.Now()
	for _, c := range r.CrashReports {
		e.suspects.Merge(now, "rumour "+c.Reporter, []call.Suspect{peer.Suspect(now, c)})
	}
}

// announceLeaving marks a target as leaving and spreads that to all entries.
func (e *Entry) announceLeaving(target string, boot uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e.control.enqueue(ctx, targetLeaving{target, boot})
	_ = e.members.SpreadRumours(ctx, member.Rumours{LeavingNotices: []member.LeavingNotice{{Target: target, Boot: boot, Time: time.Now()}}})
}

// announceSuspect spreads the crash count of a request that crashed a target.
func (e *Entry) announceSuspect(fingerprint uint64) {
	now := time.Now()
	for _, s := range e.suspects.Export(now, maxExportedSuspects) {
		if s.Fingerprint != fingerprint {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		report := peer.CrashReport(now, s)
		report.Reporter, report.Sequence = e.cfg.File.Name, e.suspectReports.Add(1)
		_ = e.members.SpreadRumours(ctx, member.Rumours{CrashReports: []member.CrashReport{report}})
		cancel()
	}
}

// maxExportedSuspects is how many suspects announceSuspect exports to find the one
// that it spreads.
const maxExportedSuspects = 64

// peerSettings pulls the settings from a live peer, for an entry that starts
// while the store is down.
type peerSettings struct{ entry *Entry }

// Settings pulls the changes after a revision from a live peer, chosen at random
// at each call.
func (p peerSettings) Settings(ctx context.Context, since uint64) (c settings.Change, err error) {
	address, ok := p.entry.randomPeer()
	if !ok {
		return c, errNoPeer
	}
	change, err := p.entry.client.Settings(ctx, address, since)
	return settings.Change{Revision: change.Revision, Document: change.Document, Edits: change.Edits}, err
}

// randomPeer returns the peer address of a random live entry other than this one.
func (e *Entry) randomPeer() (address string, ok bool) {
	var addresses []string
	for _, m := range e.members.Serving() {
		if m.ID.Name != e.cfg.File.Name {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}
