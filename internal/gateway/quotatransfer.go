package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/ratelimit"
)

const (
	// transferRepeat is the time after which a transfer is sent once more. A datagram that is
	// lost to a full buffer would be lost again right afterwards.
	transferRepeat = 30 * time.Millisecond
	// maxTransferBytes is the size limit of the transfers in a packet, as of entries in a
	// membership message.
	maxTransferBytes = 900
	// passingTime is how long the views of the old and the new issuer may differ without a
	// refusal. It covers two repetitions of an ask.
	passingTime = 100 * time.Millisecond
	// transferOverhead is the most that an encoded transfer takes beside the account's name:
	// four numbers of 9 bytes, four of 11, and the lengths of the name and the whole.
	transferOverhead = 90
	// transferWait is how long after its begin a stop waits for the control loop to send the
	// transfers. The loop is rarely busy for longer than one interval.
	transferWait = tickInterval
)

// Results of transfers in the metrics, beside those of ratelimit.Reception.
const (
	resultSent     = "sent"
	resultReceived = "received"
)

// passOn sends the buckets of accounts that this entry no longer issues to their next issuers.
// The caller holds the lock.
func (t *quotas) passOn(now time.Time, lost []ratelimit.Term) {
	byIssuer := make(map[string][]ratelimit.Transfer)
	for _, term := range lost {
		a := t.table.Config.Accounts.Lookup(term.Account)
		next, _ := t.assignment.Issuer(term.Account)
		if _, live := t.live[next]; !live || a == nil {
			continue
		}
		if x, ok := t.issuer.Release(now, term.Account, a.Limit, term.Since); ok {
			byIssuer[next] = append(byIssuer[next], x)
		}
	}
	t.successors = slices.Sorted(maps.Keys(byIssuer))
	for _, name := range t.successors {
		t.sendTransfers(name, t.live[name].PeerAddress, byIssuer[name])
	}
}

// takeSuccessors returns the entries that the last update passed buckets on to.
func (t *quotas) takeSuccessors() (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	names, t.successors = t.successors, nil
	return names
}

// sendTransfers sends transfers to an entry twice. The second copies go to the same address
// whatever happens meanwhile: two entries must not both use a bucket.
func (t *quotas) sendTransfers(name, address string, list []ratelimit.Transfer) {
	var packets []relay.Packet
	for _, part := range splitTransfers(list) {
		packets = append(packets, relay.Packet{Kind: relay.TokenTransfer, ID: *t.gateway.selfID.Load(), Transfers: part})
	}
	send := func() {
		for _, p := range packets {
			t.send(address, p)
		}
	}
	send()
	time.AfterFunc(transferRepeat, send)
	t.gateway.instruments.bucketTransfers(resultSent).Inc(int64(len(list)))
	t.gateway.log.WithFields(log.Fields{"to": name, "accounts": len(list)}).Info("quota: token buckets passed on")
}

// splitTransfers returns the transfers in parts of at most maxTransferBytes. One that exceeds
// this by itself is omitted, and its successor starts without it.
func splitTransfers(list []ratelimit.Transfer) (parts [][]ratelimit.Transfer) {
	left := 0
	for _, x := range list {
		size := transferOverhead + len(x.Account)
		if size > maxTransferBytes {
			continue
		}
		if size > left {
			parts, left = append(parts, nil), maxTransferBytes
		}
		left -= size
		parts[len(parts)-1] = append(parts[len(parts)-1], x)
	}
	return parts
}

// passing reports whether an account's bucket is on its way from one issuer to the next. An ask
// isn't answered then: the asker repeats it after 20 and 60 ms, by when most views agree, and
// would refuse requests if it were told that there is no issuer.
func (t *quotas) passing(now time.Time, account string) bool {
	at, ok := t.issuer.LastTransfer(account)
	return ok && now.Sub(at) < passingTime
}

// receiveTransfers takes the buckets that another entry no longer issues from. They are kept
// for a while if this entry doesn't know yet that it is their issuer, or has no configuration.
func (t *quotas) receiveTransfers(now time.Time, p relay.Packet) {
	if table := t.gateway.view.Load().table; table != nil && table.Config.Accounts == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[ratelimit.Reception]int)
	for _, x := range p.Transfers {
		counts[t.accept(now, p.ID.Name, x)]++
	}
	delete(counts, ratelimit.Duplicate)
	fields := log.Fields{"from": p.ID.Name}
	for r, n := range counts {
		t.gateway.instruments.bucketTransfers(resultReceived).Inc(int64(n))
		t.gateway.instruments.bucketTransfers(r.String()).Inc(int64(n))
		fields[r.String()] = n
	}
	if len(counts) > 0 {
		t.gateway.log.WithFields(fields).Info("quota: token buckets received")
	}
}

// accept takes one bucket, with the limit of this entry's configuration if that is newer.
func (t *quotas) accept(now time.Time, from string, x ratelimit.Transfer) ratelimit.Reception {
	name, since := t.assignment.Issuer(x.Account)
	if name != t.gateway.self.Name {
		since = time.Time{}
	}
	if t.table != nil && t.table.Config.Accounts != nil {
		if a := t.table.Config.Accounts.Lookup(x.Account); a != nil && a.Limit.Version > x.Limit.Version {
			x.Limit = a.Limit
		}
	}
	return t.issuer.Accept(now, since, from, x)
}

// countHeld counts the transfers that were applied after they had waited. The caller holds the
// lock.
func (t *quotas) countHeld() {
	applied, lowered := t.issuer.TakeHeldCounts()
	t.gateway.instruments.bucketTransfers(ratelimit.Applied.String()).Inc(int64(applied))
	t.gateway.instruments.bucketTransfers(ratelimit.Lowered.String()).Inc(int64(lowered))
}

// awaitTransfers waits until both copies of the last transfers have been sent, if a stop that
// began at a time has had too little time for that. The relay closes afterwards.
func awaitTransfers(began time.Time, left <-chan time.Time) {
	timeout := time.NewTimer(time.Until(began.Add(transferWait)))
	defer timeout.Stop()
	select {
	case at := <-left:
		time.Sleep(time.Until(at.Add(2 * transferRepeat)))
	case <-timeout.C:
	}
}
