package entry

import (
	"net/http"

	"plumpitch.example/plumpitch/pkg/account"
	"plumpitch.example/plumpitch/pkg/call"
)

// credentials are the caller's headers and trailers that no target receives while accounts
// are in force. A forged call.HeaderAccount is never forwarded, as one of plumpitch's own.
var credentials = []string{call.HeaderAuthorization}

// readAccount finds the account of the request. It returns an error if the service is not
// public and the request has no known key.
func (q *request) readAccount(accounts *account.Index) error {
	if accounts == nil {
		return nil
	}
	q.omit = credentials
	key, ok := call.BearerKey(q.incoming.Header)
	if ok {
		q.account = accounts.Find(account.NewDigest(key))
	}
	switch {
	case q.account != nil || q.policy.Public:
		return nil
	case ok:
		return finalError{call.Final{Outcome: call.NotRun, Reason: call.ReasonKey, Detail: call.HeaderAuthorization + ": found an unknown key, expected that of an account"}}
	}
	return finalError{call.Final{Outcome: call.NotRun, Reason: call.ReasonKey, Detail: call.HeaderAuthorization + ": found no key, expected one value, Bearer KEY"}}
}

// addAccount adds the header that names the account to the target.
func (q *request) addAccount(h http.Header) http.Header {
	if q.account == nil {
		return h
	}
	if h == nil {
		h = make(http.Header, 1)
	}
	h[call.HeaderAccount] = []string{q.account.Name}
	return h
}

// claimKey returns the idempotency key, within that of the account. Otherwise one account
// would receive the recorded response of another that uses the same key. The space can be in
// neither of the two parts.
func (q *request) claimKey() string {
	if q.account == nil {
		return q.key
	}
	return q.account.Name + " " + q.key
}
