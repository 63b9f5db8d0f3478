package gateway

import (
	"net/http"
	"time"

	"plumpitch.example/plumpitch/pkg/account"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/platform"
)

// Reasons for refusing a request because of its key.
const (
	reasonNoKey      = "nokey"      // the route is not public and the request has no key
	reasonUnknownKey = "unknownkey" // no account holds the key, or no longer
	reasonStaleKeys  = "stalekeys"  // this entry doesn't know whether the key was taken away
)

// maxKeyBytes bounds the length of a key. Longer ones are unknown: hashing them would cost
// CPU time for nothing.
const maxKeyBytes = 1 << 10

// authenticate finds the client account of the request. Without accounts in the configuration,
// or on a public route, a request needs no key. It responds and returns false if the request
// may not be served.
func (q *request) authenticate() (ok bool) {
	accounts := q.table.Config.Accounts
	if accounts == nil {
		return true
	}
	key, hasKey := platform.Key(q.r.Header)
	if hasKey && len(key) <= maxKeyBytes {
		q.key = account.NewDigest(key)
		q.account = accounts.Find(q.key)
	}
	switch {
	case q.account != nil && q.gateway.keysStale(q.arrived):
		q.refuseAs(q.account.Name, reasonStaleKeys, noConfigRetry)
	case q.account != nil || q.route.Public:
		return true
	case hasKey:
		q.respondUnauthorized(reasonUnknownKey)
	default:
		q.respondUnauthorized(reasonNoKey)
	}
	return false
}

// respondUnauthorized responds with status 401.
func (q *request) respondUnauthorized(reason string) {
	q.gateway.instruments.accounts.count(accountUnknown, reason)
	q.w.Header().Set("WWW-Authenticate", "Bearer")
	q.respond(http.StatusUnauthorized, reason)
}

// staleKeysReserve is subtracted from the time until a key that was taken away has to stop
// working, for requests that are then on their way to a target.
const staleKeysReserve = 500 * time.Millisecond

// keysStale reports whether the settings require this entry to refuse requests with keys,
// because the configuration was not confirmed for so long that a key may have been taken away.
func (g *Gateway) keysStale(now time.Time) bool {
	b := g.bounds.Load()
	return b.StrictRevoke && b.Revoke > 0 && g.freshness.age(now, resourceConfig) > max(b.Revoke-staleKeysReserve, b.Revoke/2)
}

// keyRevoked reports whether the key of the request, which was known when it arrived, must no
// longer be used, and the reason. It is checked right before each dispatch, since a request may
// have waited for seconds.
func (q *request) keyRevoked(now time.Time) (reason call.Reason, revoked bool) {
	if q.account == nil {
		return "", false
	}
	if q.gateway.keysStale(now) {
		return reasonStaleKeys, true
	}
	table := q.gateway.view.Load().table
	if table == q.table || table.Config.Accounts == nil {
		return "", false
	}
	a := table.Config.Accounts.Find(q.key)
	return reasonUnknownKey, a == nil || a.Name != q.account.Name
}

// dropRevoked withdraws the request from the target that was chosen for it, because its key
// was taken away while it waited.
func (q *request) dropRevoked(now time.Time, reason call.Reason) call.Actions {
	q.service.cancel(now, q.pendingID)
	q.pendingID = 0
	return q.call.Decline(now, call.Decline{Reason: reason, RetryAfter: noConfigRetry})
}

// dropAccount makes the request go on without an account, if its key was taken away while it
// waited and its route needs none. It reports whether that is so.
func (q *request) dropAccount(now time.Time, reason call.Reason) bool {
	e := q.gateway.view.Load().table.Find(q.r.Host, q.r.URL.EscapedPath())
	if reason != reasonUnknownKey || !q.route.Public || e == nil || !e.Public {
		return false
	}
	if q.hasToken && q.dispatchCount() == 0 {
		q.gateway.quotas.giveBack(now, q.account.Name, q.admitted)
	}
	q.account, q.hasToken = nil, false
	return true
}

// accountName returns the name of the request's account, or an empty string.
func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

// priority returns the priority of the request: that of its account, else of its route.
func (q *request) priority() int {
	if q.account != nil && q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// targetHeader returns the headers that this entry adds to the request for a target.
func (q *request) targetHeader(target string) http.Header {
	h := platform.TargetHeader(target)
	if q.account != nil {
		for name, values := range platform.AccountHeader(q.account.Name) {
			h[name] = values
		}
	}
	return h
}

// omittedHeaders returns the names of the caller's headers that are not forwarded. Targets
// rely on these headers as soon as there are accounts, also for a request that has waited since.
func (q *request) omittedHeaders() []string {
	if q.table.Config.Accounts == nil && q.gateway.view.Load().table.Config.Accounts == nil {
		return nil
	}
	return platform.CredentialHeaders
}
