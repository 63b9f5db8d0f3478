package gateway

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Results of the requests of an account, in the metrics. Refusals have their reason.
const (
	resultServed   = "served"
	resultOverload = "overload" // refused for lack of room
	resultFailed   = "failed"   // no response of a target in time, or an invalid one
)

// Labels of requests that are counted for no single account.
const (
	accountUnknown = "none"  // requests without a known key
	accountOther   = "other" // accounts beyond maxAccountLabels
)

// maxAccountLabels bounds the accounts with metrics of their own. Each takes some kilobytes of
// an entry's memory.
const maxAccountLabels = 200

// accountCounters counts the requests of client accounts by result. It is safe for concurrent
// use.
type accountCounters struct {
	scope    tally.Scope
	mu       sync.Mutex
	labels   map[string]bool
	counters map[accountCounter]tally.Counter
	tokens   map[string]tally.Gauge // of the buckets, by label
}

// accountCounter identifies a counter of an account by its name and the value of one more tag.
type accountCounter struct{ account, name, tag, value string }

func newAccountCounters(s tally.Scope) *accountCounters {
	return &accountCounters{scope: s, labels: make(map[string]bool), counters: make(map[accountCounter]tally.Counter), tokens: make(map[string]tally.Gauge)}
}

// count counts one request by its result.
func (c *accountCounters) count(account, result string) {
	c.inc(accountCounter{account, "account_requests", "result", result})
}

// Timings of requests, in the metrics: whether a request could meet its objective when it asked
// for a token.
const (
	timingOnTime = "ontime"
	timingLate   = "late"
)

// countToken counts a token that a request was granted.
func (c *accountCounters) countToken(account string, late bool) {
	timing := timingOnTime
	if late {
		timing = timingLate
	}
	c.inc(accountCounter{account, "quota_granted", "timing", timing})
}

// countRefusedLate counts a late request that was refused by the quota.
func (c *accountCounters) countRefusedLate(account string) {
	c.inc(accountCounter{account, "quota_refused", "timing", timingLate})
}

func (c *accountCounters) inc(key accountCounter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key.account = c.label(key.account)
	counter := c.counters[key]
	if counter == nil {
		counter = c.scope.Tagged(map[string]string{"account": key.account, key.tag: key.value}).Counter(key.name)
		c.counters[key] = counter
	}
	counter.Inc(1)
}

// label returns the label of an account. The caller holds the lock.
func (c *accountCounters) label(account string) string {
	if !c.labels[account] {
		if len(c.labels) >= maxAccountLabels {
			account = accountOther
		}
		c.labels[account] = true
	}
	return account
}

// setTokens sets the gauge of the bucket of an account. Accounts without a label of their own
// have none.
func (c *accountCounters) setTokens(account string, tokens float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	label := c.label(account)
	if label == accountOther {
		return
	}
	gauge := c.tokens[label]
	if gauge == nil {
		gauge = c.scope.Tagged(map[string]string{"account": label}).Gauge("quota_tokens")
		c.tokens[label] = gauge
	}
	gauge.Update(tokens)
}

// countAccount counts the request for its account, if it has one.
func (q *request) countAccount(result string) {
	if q.account != nil && !q.passedOn {
		q.gateway.instruments.accounts.count(q.account.Name, result)
	}
}
