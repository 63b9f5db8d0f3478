package ratelimit

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AssignmentConfig configures an Assignment.
type AssignmentConfig struct {
	Self string // name of this entry
}

// Assignment assigns each account to its issuer, the first of the live entries in the
// rendezvous order of the account's name. It is not safe for concurrent use.
type Assignment struct {
	self     string
	names    []string // of the accounts in the last update
	accounts map[string]*assigned
	live     map[string]uint64 // hash by entry name
	// liveSince is when the live entries last changed.
	liveSince time.Time
}

// assigned is the assignment of one account.
type assigned struct {
	hash   uint64
	issuer string
	score  uint64
	since  time.Time
}

// Term is the time in which an entry is the issuer of an account in its own view.
type Term struct {
	Account string
	Since   time.Time
}

// NewAssignment returns an assignment without accounts.
func NewAssignment(c AssignmentConfig) *Assignment {
	return &Assignment{self: c.Self, accounts: make(map[string]*assigned), live: make(map[string]uint64)}
}

// Update sets the accounts and the names of the live entries. An entry that came costs one
// comparison an account. An entry that went costs a search for each account that it issued.
//
// It returns the ended terms of this entry by account: those whose issuer is another one now.
func (a *Assignment) Update(now time.Time, accounts, live []string) (lost []Term) {
	came, went := a.updateLive(live)
	if len(came)+len(went) > 0 {
		a.liveSince = now
		for name, x := range a.accounts {
			before := *x
			a.reassign(now, x, came, went)
			if before.issuer == a.self && x.issuer != a.self {
				lost = append(lost, Term{Account: name, Since: before.since})
			}
		}
	}
	if !slices.Equal(accounts, a.names) {
		a.updateAccounts(accounts)
	}
	slices.SortFunc(lost, func(x, y Term) int { return cmp.Compare(x.Account, y.Account) })
	return lost
}

// updateLive sets the live entries and returns the changes.
func (a *Assignment) updateLive(live []string) (came []string, went map[string]bool) {
	for _, name := range live {
		if _, known := a.live[name]; !known {
			a.live[name] = xxhash.Sum64String(name)
			came = append(came, name)
		}
	}
	if len(a.live) == len(live) {
		return came, nil
	}
	present := make(map[string]bool, len(live))
	for _, name := range live {
		present[name] = true
	}
	went = make(map[string]bool)
	for name := range a.live {
		if !present[name] {
			delete(a.live, name)
			went[name] = true
		}
	}
	return came, went
}

// updateAccounts adds the accounts that are new and removes those that are gone. The issuer of a
// new account counts as such since the live entries last changed: no other entry with this view
// has issued its tokens, and a new account needn't start as after a change of its issuer.
func (a *Assignment) updateAccounts(names []string) {
	old := a.accounts
	a.names, a.accounts = slices.Clone(names), make(map[string]*assigned, len(names))
	for _, name := range names {
		x := old[name]
		if x == nil {
			x = &assigned{hash: xxhash.Sum64String(name), since: a.liveSince}
			a.search(x)
		}
		a.accounts[name] = x
	}
}

// reassign updates the issuer of one account after a change of the live entries.
func (a *Assignment) reassign(now time.Time, x *assigned, came []string, went map[string]bool) {
	before := x.issuer
	if went[before] {
		a.search(x)
	} else {
		for _, name := range came {
			x.offer(name, a.live[name])
		}
	}
	if x.issuer != before {
		x.since = now
	}
}

// search finds the issuer of an account among all live entries.
func (a *Assignment) search(x *assigned) {
	x.issuer, x.score = "", 0
	for name, hash := range a.live {
		x.offer(name, hash)
	}
}

// offer makes an entry the issuer if it precedes the present one.
func (x *assigned) offer(name string, hash uint64) {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], x.hash)
	binary.LittleEndian.PutUint64(b[8:], hash)
	score := xxhash.Sum64(b[:])
	if x.issuer == "" || score > x.score || score == x.score && name < x.issuer {
		x.issuer, x.score = name, score
	}
}

// Issuer returns the issuer of an account and since when it is that in this entry's view. name
// is empty if no entry is live or the account is unknown.
func (a *Assignment) Issuer(account string) (name string, since time.Time) {
	x := a.accounts[account]
	if x == nil {
		return "", time.Time{}
	}
	return x.issuer, x.since
}

// ContactShare returns the share of the rates at which an issuer's buckets fill if it is in
// contact with this share of the known entries. The shares of two parts that together have
// all entries add up to 1.
func ContactShare(contact float64) float64 {
	const lowest, highest = 0.4, 0.6
	return min(max((contact-lowest)/(highest-lowest), 0), 1)
}
