package gateway

import (
	"cmp"
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/ratelimit"
)

// AccountStatus is a limited client account as this entry sees it.
type AccountStatus struct {
	Name    string  `json:"name"`
	Rate    float64 `json:"rate"`    // limit in requests per second, over all entries
	Burst   float64 `json:"burst"`   // limit in requests at once
	Issuer  string  `json:"issuer"`  // entry that issues the tokens
	Since   float64 `json:"since"`   // seconds since it became the issuer in this entry's view
	Tokens  int     `json:"tokens"`  // unspent tokens of this entry
	Waiting int     `json:"waiting"` // requests that wait for a token
	Debt    int     `json:"debt"`    // retries and hedges without a token that the issuer doesn't know yet
	Served  uint64  `json:"granted"` // requests with a token since the start
	Refused uint64  `json:"refused"` // requests over the limit since the start
	// ServedLate and RefusedLate are those of them that couldn't meet their objective any more.
	ServedLate  uint64 `json:"grantedLate"`
	RefusedLate uint64 `json:"refusedLate"`

	GivenUp uint64  `json:"unknown"` // requests for which the issuer was not reached since the start
	Answer  float64 `json:"heard"`   // seconds since the issuer last answered; -1 if never
	// Bucket is the account's bucket if this entry is the issuer and the account is in use.
	Bucket *BucketStatus `json:"bucket,omitempty"`
}

// BucketStatus is a token bucket that this entry issues from.
type BucketStatus struct {
	Tokens float64 `json:"tokens"` // negative after dispatches without a token
	// Demand is how many requests on time ask for tokens each second, at all entries.
	Demand float64 `json:"demand"`
	// PacedRate is the rate at which requests on time get tokens while the bucket is empty, in
	// PacedIn seconds; 0 if no more than the limit's rate.
	PacedRate float64 `json:"pacedRate"`
	PacedIn   float64 `json:"pacedIn"`
	Askers    int     `json:"askers"` // entries that have asked lately
}

// status returns the accounts that are in use at this entry, by name.
func (t *quotas) status(now time.Time) []AccountStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	byName := make(map[string]AccountStatus)
	for _, c := range t.client.Status(now) {
		byName[c.Account] = t.clientStatus(now, c)
	}
	for _, b := range t.issuer.Status(now) {
		s, ok := byName[b.Account]
		if !ok {
			s = t.clientStatus(now, ratelimit.ClientStatus{Account: b.Account})
		}
		s.Bucket = &BucketStatus{Tokens: b.Tokens, Demand: b.Demand, PacedRate: b.PacedRate, PacedIn: b.PacedIn.Seconds(), Askers: b.Askers}
		byName[b.Account] = s
	}
	list := make([]AccountStatus, 0, len(byName))
	for _, s := range byName {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b AccountStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (t *quotas) clientStatus(now time.Time, c ratelimit.ClientStatus) AccountStatus {
	s := AccountStatus{
		Name: c.Account, Tokens: c.Tokens, Waiting: c.Waiting, Debt: c.Debt, Served: c.Admitted, Refused: c.Refused, GivenUp: c.GivenUp, Answer: -1,
		ServedLate: c.AdmittedLate, RefusedLate: c.RefusedLate,
	}
	if !c.LastAnswered.IsZero() {
		s.Answer = now.Sub(c.LastAnswered).Seconds()
	}
	var since time.Time
	if s.Issuer, since = t.assignment.Issuer(c.Account); s.Issuer != "" {
		s.Since = now.Sub(since).Seconds()
	}
	if t.table != nil {
		if a := t.table.Config.Accounts.Lookup(c.Account); a != nil {
			s.Rate, s.Burst = a.Limit.Rate, a.Limit.Burst
		}
	}
	return s
}
