package member

import (
	"math"
	"slices"
	"time"
)

// maxReportAge is the age up to which a suspicion or death is believed without
// verification. If an older one is news to an entry that believes the suspect alive, it
// comes from the other side of a network partition.
const maxReportAge = 15 * time.Second

// maxUnverified bounds the suspicions that wait for verification.
const maxUnverified = 64

// merge merges a peer's update about an incarnation. all is set if the peer has sent
// its view, in response to a join or a Fetch.
func (t *Table) merge(now time.Time, e Entry, all bool) {
	if e.ID.Name == t.self.ID.Name {
		t.refute(now, e)
		return
	}
	r, ok := t.records[e.ID.Name]
	if !ok || e.ID.Boot > r.ID.Boot {
		t.mergeUnknown(now, e, all)
		return
	}
	if !e.newer(r.Entry) {
		return
	}
	if (e.State == Suspect || e.State == Dead) && !r.State.Gone() {
		t.mergeSuspicion(now, r, e)
		return
	}
	t.update(now, r, e)
}

func (t *Table) mergeUnknown(now time.Time, e Entry, all bool) {
	if e.State.Gone() && !(all && e.State == Dead) {
		if e.State == Left {
			delete(t.forgotten, e.ID.Name)
			t.viewChanged = true
		}
		return
	}
	if e.IsSummary() {
		t.missingAddresses = append(t.missingAddresses, e.ID.Name)
		return
	}
	r := t.add(e)
	if e.State == Suspect {
		r.deadline = now.Add(t.suspicionTimeout())
	}
	if !all {
		t.announce(r)
	}
}

// refute overrides a wrong update about this entry with a higher sequence number,
// which takes precedence everywhere.
func (t *Table) refute(now time.Time, e Entry) {
	if e.ID.Boot > t.self.ID.Boot {
		t.supersede(now, e.ID)
		return
	}
	if e.ID.Boot < t.self.ID.Boot || !e.newer(t.self.Entry) || t.self.State == Left {
		return
	}
	t.updateSelf(now, func(s *Entry) { s.Sequence = e.Sequence })
}

func (t *Table) supersede(now time.Time, by ID) {
	if t.cfg.ExclusiveName {
		t.updateSelf(now, func(s *Entry) { s.ID.Boot = by.Boot + 1 })
		t.enqueue(t.self, true)
		return
	}
	if t.superseded {
		return
	}
	t.superseded = true
	t.emit(Superseded{By: by})
}

// mergeSuspicion merges a suspicion or death of an entry that is believed up.
//
// When a network partition heals, each side believes the other dead. Merging that
// directly would remove many responsive entries from the view at once, for a while.
// An old suspicion is therefore verified with the suspect itself. A recent death is
// merged as a suspicion first, which gives the suspect time to refute it.
func (t *Table) mergeSuspicion(now time.Time, r *record, e Entry) {
	if r.State != Suspect && now.Sub(e.Since) > maxReportAge {
		t.deferVerification(e)
		return
	}
	if r.State == Alive {
		e.State = Suspect
	}
	t.update(now, r, e)
}

// takeSuspectDigests returns suspects for a message, by the digest of the update that
// was in force before the suspicion. It returns none unless many entries fail at once.
// Summaries take 17 times as many bytes: of 260 failures among 472 entries, sent as
// summaries and all detected within 1 s, the last took 3 s to reach every entry.
func (t *Table) takeSuspectDigests() (digests []uint32) {
	if !t.massFailure() {
		return nil
	}
	all := t.byName()
	start := t.rand.IntN(len(all))
	for i := range all {
		r := all[(start+i)%len(all)]
		if r.State == Suspect && r.suspectSends > 0 && len(digests) < maxSuspectDigests {
			r.suspectSends--
			digests = append(digests, r.suspectDigest)
		}
	}
	return digests
}

// receiveSuspectDigests merges a peer's suspicions that are sent by digest.
func (t *Table) receiveSuspectDigests(now time.Time, digests []uint32) {
	for _, digest := range digests {
		r := t.byDigest[digest]
		if r == nil || r.State != Alive {
			continue
		}
		e := r.Entry
		e.State, e.Since = Suspect, now
		if r == t.self {
			t.refute(now, e)
			continue
		}
		t.update(now, r, e)
	}
}

func (t *Table) deferVerification(e Entry) {
	for _, d := range t.unverified {
		if d.ID == e.ID {
			return
		}
	}
	if len(t.unverified) < maxUnverified {
		t.unverified = append(t.unverified, e)
	}
}

// update merges a newer update about a known incarnation. Its addresses, place, region,
// capacity and revisions are kept.
func (t *Table) update(now time.Time, r *record, e Entry) {
	e.CallerAddress, e.PeerAddress, e.Place, e.Region, e.Capacity, e.Revisions = r.CallerAddress, r.PeerAddress, r.Place, r.Region, r.Capacity, r.Revisions
	if e.State == Suspect && (r.State != Suspect || e.Sequence != r.Sequence) {
		r.deadline = now.Add(t.suspicionTimeout())
		r.suspectDigest, r.suspectSends = uint32(r.digest), t.sendCount()
	}
	t.setEntry(r, e)
	t.enqueue(r, false)
	t.pushPending = true
}

// suspicionTimeout returns the time that a suspect has to refute the suspicion. It
// grows with the number of rounds that the suspicion needs to spread.
func (t *Table) suspicionTimeout() time.Duration {
	factor := math.Log2(float64(len(t.records))) / suspicionBaseLog2
	return time.Duration(float64(t.cfg.SuspicionTimeout) * max(1, factor))
}

// suspicionBaseLog2 is the binary logarithm of the number of entries up to which
// Config.SuspicionTimeout applies unscaled.
const suspicionBaseLog2 = 4

// suspect records that an incarnation did not respond, and contacts its successor in
// hash order at once: when many entries fail together, the successor and its other
// watchers may have failed too. An entry that had announced its stop becomes dead at
// once, since requests may be sent to a suspect. It doesn't become left, since it may
// still run the requests that it accepted.
func (t *Table) suspect(now time.Time, r *record) {
	e := r.Entry
	e.Since = now
	switch r.State {
	case Alive:
		e.State = Suspect
	case Leaving:
		e.State = Dead
	default:
		return
	}
	before := t.peerGroups().watched
	t.update(now, r, e)
	after := t.peerGroups().watched
	if t.massFailure() {
		after = t.successors(t.peerGroups().ring, massFailureSuccessors)
	}
	for _, next := range after {
		if !slices.Contains(before, next) && !t.exchangePending(next) {
			t.gossip(now, next)
		}
	}
}

// exchangePending reports whether an exchange with an entry has not ended.
func (t *Table) exchangePending(r *record) bool {
	for _, ex := range t.exchanges {
		if ex.to.ID == r.ID {
			return true
		}
	}
	return false
}

// expire declares suspects dead when their suspicion times out, and removes entries
// that have been dead or left for longer than their retention.
func (t *Table) expire(now time.Time) {
	for _, r := range t.byName() {
		switch {
		case r.State == Suspect && !now.Before(r.deadline):
			e := r.Entry
			e.State = Dead
			e.Since = now
			t.update(now, r, e)
		case r.State == Dead && now.Sub(r.Since) > t.cfg.DeadRetention:
			t.forget(r)
			t.remove(r)
		case r.State == Left && now.Sub(r.Since) > t.cfg.LeftRetention && r != t.self:
			t.remove(r)
		}
	}
	t.expireForgotten(now)
}
