package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/alarm"
	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/account"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/ratelimit"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/platform"
)

// Reasons for refusing a request because of its account's limit.
const (
	reasonQuota   = "quota"   // the account is over its limit
	reasonNoQuota = "noquota" // the issuer of the account's tokens can't be reached
)

// quotas obtains tokens for the requests of client accounts, and issues those of the accounts
// that this entry is the issuer of.
type quotas struct {
	gateway *Gateway

	mu         sync.Mutex
	client     *ratelimit.Client
	issuer     *ratelimit.Issuer
	assignment *ratelimit.Assignment
	waiting    map[uint64]chan<- ratelimit.Action // by request ID
	lastID     uint64
	live       map[string]owner.Candidate // by name
	liveNames  []string
	table      *route.Table // whose accounts are assigned
	alarm      *alarm.Alarm // for the client's next timer
	queue      []ratelimit.Action
	started    chan struct{}        // closed by the first update
	overLimit  map[string]time.Time // when an account was last logged to be over its limit
	successors []string             // entries that the last update passed buckets on to
}

func newQuotas(g *Gateway) *quotas {
	t := &quotas{
		gateway: g, client: ratelimit.NewClient(ratelimit.ClientConfig{Sequence: g.cfg.Boot}), assignment: ratelimit.NewAssignment(ratelimit.AssignmentConfig{Self: g.cfg.Settings.Name}),
		issuer: ratelimit.NewIssuer(ratelimit.IssuerConfig{Tolerance: tolerance(*g.bounds.Load())}), waiting: make(map[uint64]chan<- ratelimit.Action),
		started: make(chan struct{}), overLimit: make(map[string]time.Time),
	}
	t.alarm = alarm.New(t.tick)
	return t
}

func tolerance(b platform.Bounds) ratelimit.Tolerance {
	return ratelimit.Tolerance{Window: b.QuotaWindow, Factor: b.QuotaFactor, Slack: b.QuotaSlack}
}

// acquire asks for a token for a request, whose ID it sets. The decision is sent to the channel,
// which must have room for it.
func (t *quotas) acquire(now time.Time, r ratelimit.Request, decision chan<- ratelimit.Action) (id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	t.waiting[t.lastID] = decision
	r.ID = t.lastID
	t.perform(now, t.client.Acquire(now, r, t.queue[:0]))
	return t.lastID
}

// abandon withdraws a request that waits for a token. A token that has come meanwhile is
// given back.
func (t *quotas) abandon(now time.Time, name string, id uint64, decision <-chan ratelimit.Action) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
	t.client.Cancel(now, id)
	select {
	case a := <-decision:
		if a.Kind == ratelimit.Admit {
			t.client.GiveBack(now, name, now)
		}
	default:
	}
	t.alarm.Set(now, t.client.NextTick())
}

// charge records another dispatch of a request that has a token. Targets count it like a
// request of its own.
func (t *quotas) charge(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.client.Charge(now, name)
	t.alarm.Set(now, t.client.NextTick())
}

// giveBack returns the token of a request that no target has run.
func (t *quotas) giveBack(now time.Time, name string, admitted time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.client.GiveBack(now, name, admitted)
	t.alarm.Set(now, t.client.NextTick())
}

func (t *quotas) tick() {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.alarm.Fired()
	t.perform(now, t.client.Tick(now, t.queue[:0]))
}

// issuerInterval is the time between ticks of the issuer. Ticks that are more than 400 ms apart
// mean that the process was stopped.
const issuerInterval = 100 * time.Millisecond

// Serve runs the issuer's timer from the first configuration with accounts until ctx ends.
func (t *quotas) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.started:
	}
	ticker := time.NewTicker(issuerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			t.tickIssuer(time.Now())
		}
	}
}

func (t *quotas) String() string { return "quotas" }

func (t *quotas) tickIssuer(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuer.Tick(now)
}

// perform executes the client's actions. The caller holds the lock, so perform must not block.
func (t *quotas) perform(now time.Time, actions []ratelimit.Action) {
	for i := 0; i < len(actions); i++ {
		a := actions[i]
		if a.Kind == ratelimit.SendAsk {
			actions = t.ask(now, a, actions)
			continue
		}
		if decision, ok := t.waiting[a.ID]; ok {
			delete(t.waiting, a.ID)
			decision <- a
		}
	}
	t.queue = actions[:0]
	t.alarm.Set(now, t.client.NextTick())
}

// ask sends an ask to the issuer of its account, or answers it if this entry is the issuer.
func (t *quotas) ask(now time.Time, a ratelimit.Action, out []ratelimit.Action) []ratelimit.Action {
	t.gateway.instruments.tokenAsks.Inc(1)
	name, since := t.assignment.Issuer(a.Ask.Account)
	self := t.gateway.self
	if name == self.Name {
		return t.client.Receive(now, t.issuer.Grant(now, self.Name, since, a.Ask), out)
	}
	issuer, ok := t.live[name]
	if !ok {
		return t.client.Receive(now, ratelimit.Grant{Account: a.Ask.Account, Sequence: a.Ask.Sequence, NotIssuer: true}, out)
	}
	p := relay.Packet{Kind: relay.TokenRequest, Address: self.PeerAddress, TokenAsk: &relay.TokenAsk{Ask: a.Ask, Asker: self.Name}}
	t.send(issuer.PeerAddress, p)
	if a.Attempt > 0 {
		if via, ok := t.intermediary(issuer); ok {
			t.send(via.PeerAddress, p)
		}
	}
	return out
}

// intermediaryAttempts bounds the random choices of an intermediary.
const intermediaryAttempts = 8

// intermediary returns an entry that forwards an ask to an issuer that doesn't answer. It is
// in another failure domain than the issuer and, if possible, than this entry, since two
// domains may be unable to reach each other while a third one reaches both.
func (t *quotas) intermediary(issuer owner.Candidate) (via owner.Candidate, ok bool) {
	if len(t.liveNames) == 0 {
		return via, false
	}
	for range intermediaryAttempts {
		c := t.live[t.liveNames[rand.IntN(len(t.liveNames))]]
		if c.Name == t.gateway.self.Name || c.Name == issuer.Name || c.Place == issuer.Place {
			continue
		}
		via, ok = c, true
		if c.Place != t.gateway.self.Place {
			break
		}
	}
	return via, ok
}

func (t *quotas) send(to string, p relay.Packet) {
	if err := t.gateway.relay.Send(to, p); err != nil {
		t.gateway.log.WithError(err).Debug("quota: packet not sent")
	}
}

// maxAskHops is how often an ask may be forwarded: by an intermediary, and by an entry that
// was the issuer in the view of the asker only.
const maxAskHops = 2

// receiveAsk answers another entry's ask, or forwards it to the issuer of the account.
func (t *quotas) receiveAsk(now time.Time, p relay.Packet, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ask := *p.TokenAsk
	name, since := t.assignment.Issuer(ask.Account)
	issuer, live := t.live[name]
	var g ratelimit.Grant
	switch {
	case name == t.gateway.self.Name:
		g = t.issuer.Grant(now, ask.Asker, since, ask.Ask)
	case live && ask.Hops < maxAskHops && name != ask.Asker && issuer.PeerAddress != from:
		ask.Hops++
		t.send(issuer.PeerAddress, relay.Packet{Kind: relay.TokenRequest, Address: p.Address, TokenAsk: &ask})
		return
	case t.passing(now, ask.Account):
		return
	default:
		g = ratelimit.Grant{Account: ask.Account, Sequence: ask.Sequence, NotIssuer: true}
	}
	t.send(from, relay.Packet{Kind: relay.TokenResponse, Address: p.Address, TokenGrant: &g})
}

// receiveGrant applies the response to an ask, or forwards it to the entry that asked. A
// forwarded response has no address, so that it is never forwarded again: an address that leads
// back to this entry would make it circulate forever.
func (t *quotas) receiveGrant(now time.Time, p relay.Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if to := p.Address; to != "" && to != t.gateway.self.PeerAddress {
		p.Address = ""
		t.send(to, p)
		return
	}
	t.perform(now, t.client.Receive(now, *p.TokenGrant, t.queue[:0]))
}

// update applies the live entries, the accounts in force and the share at which buckets fill. A
// change of the live entries is applied at once.
func (t *quotas) update(now time.Time, table *route.Table, live []owner.Candidate, liveChanged bool, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuer.SetTolerance(now, tolerance(*t.gateway.bounds.Load()))
	t.issuer.SetRestarted(now, allRestarted(now, live))
	t.issuer.SetShare(now, share)
	if !liveChanged && table == t.table && t.live != nil {
		return
	}
	if t.live == nil {
		close(t.started)
	}
	t.table = table
	t.live, t.liveNames = make(map[string]owner.Candidate, len(live)), t.liveNames[:0]
	for _, c := range live {
		t.live[c.Name] = c
		t.liveNames = append(t.liveNames, c.Name)
	}
	t.passOn(now, t.assignment.Update(now, limitedAccounts(table), t.liveNames))
}

// restartTime is how long after its start an entry counts as having just started. It covers
// the time in which the entries learn of each other, with some difference of their clocks.
const restartTime = 3 * time.Second

// allRestarted reports whether all live entries have just started. The boot number of an entry
// is its start time.
func allRestarted(now time.Time, live []owner.Candidate) bool {
	for _, c := range live {
		if now.Sub(time.Unix(0, int64(c.Boot))) > restartTime {
			return false
		}
	}
	return true
}

// limitedAccounts returns the names of the accounts that have a limit.
func limitedAccounts(table *route.Table) (names []string) {
	if table == nil || table.Config.Accounts == nil {
		return nil
	}
	for a := range table.Config.Accounts.All() {
		if !a.Limit.Unlimited() {
			names = append(names, a.Name)
		}
	}
	return names
}

// updateQuotas passes the control loop's state to the quotas, if the configuration has
// accounts.
func (c *control) updateQuotas(now time.Time, live []owner.Candidate) {
	if c.config.Accounts == nil && !c.quotasUsed {
		return
	}
	c.quotasUsed = true
	c.gateway.quotas.update(now, c.table, live, c.quotasLiveVersion != c.liveVersion, c.quotaShare(now))
	c.quotasLiveVersion = c.liveVersion
}

// overLimitInterval is the time between log lines about an account that is over its limit.
const overLimitInterval = 10 * time.Second

// logOverLimit logs that an account is over its limit.
func (t *quotas) logOverLimit(now time.Time, a *account.Account) {
	t.mu.Lock()
	at, logged := t.overLimit[a.Name]
	due := !logged || now.Sub(at) >= overLimitInterval
	if due {
		t.overLimit[a.Name] = now
	}
	issuer, _ := t.assignment.Issuer(a.Name)
	t.mu.Unlock()
	if due {
		fields := log.Fields{logFieldAccount: a.Name, "rate": a.Limit.Rate, "burst": a.Limit.Burst, "issuer": issuer}
		t.gateway.addShare(fields)
		t.gateway.log.WithFields(fields).Warn("quota: account over its limit")
	}
}

// updateGauges sets the gauges of the buckets that this entry issues from.
func (t *quotas) updateGauges(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.issuer.Status(now) {
		t.gateway.instruments.accounts.setTokens(b.Account, b.Tokens)
	}
	t.countHeld()
	for name, at := range t.overLimit {
		if now.Sub(at) >= overLimitInterval {
			delete(t.overLimit, name)
		}
	}
}
