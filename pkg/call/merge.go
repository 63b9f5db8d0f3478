package call

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Export returns at most n fingerprints to send to other entries, quarantined ones
// first. For those not in quarantine it reports only crashes that this entry observed:
// counts from peers would be added twice when they return through a third entry. A
// quarantine is exported as CrashLimit crashes with the age of the last one, whichever
// entries observed them.
func (s *Suspects) Export(now time.Time, n int) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.export(nil, now, n, s.quarantined)
	return s.export(out, now, n, s.watched)
}

func (s *Suspects) export(out []Suspect, now time.Time, n int, l *list.List) []Suspect {
	for e := l.Front(); e != nil && len(out) < n; e = e.Next() {
		x := e.Value.(*suspect)
		if s.expired(now, x) || !x.quarantined && !x.cleared && len(x.targets)+len(x.streak.own) == 0 {
			continue
		}
		x.exported = true
		out = append(out, x.export(now, s.cfg.CrashLimit))
	}
	return out
}

// export returns the record that other entries get.
func (x *suspect) export(now time.Time, limit int) Suspect {
	out := Suspect{Fingerprint: x.fingerprint, Crashes: len(x.targets), Age: now.Sub(x.lastEvent)}
	if x.proven {
		out.Crashes = limit
	}
	k := &x.streak
	out.Answered = k.answered
	switch {
	case k.held:
		out.Unanswered, out.Trials = limit, k.trials
		out.Since, out.Last = now.Sub(k.since()), now.Sub(k.last)
	case len(k.own) > 0:
		out.Unanswered = len(k.own)
		out.Since, out.Last = now.Sub(k.own[0]), now.Sub(k.own[len(k.own)-1])
	}
	return out
}

// Merge merges the fingerprints that the entry named peer exported.
func (s *Suspects) Merge(now time.Time, peer string, list []Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := xxhash.Sum64String(peer)
	for _, in := range list {
		s.merge(now, hash, in)
	}
}

func (s *Suspects) merge(now time.Time, peer uint64, in Suspect) {
	if in.Unanswered > 0 {
		s.mergeStreak(now, peer, in)
	}
	if in.Age < 0 || in.Age >= s.cfg.Quarantine || in.Crashes < 0 {
		return
	}
	if in.Crashes < s.cfg.CrashLimit && in.Age >= s.cfg.CrashWindow {
		return
	}
	if in.Crashes == 0 && (in.Unanswered > 0 || s.byFingerprint[in.Fingerprint] == nil) {
		return
	}
	at := now.Add(-in.Age)
	x := s.detach(now, in.Fingerprint)
	switch {
	case in.Crashes == 0:
		if x.streak.drop(at, s.cfg.CrashLimit); !x.lastEvent.After(at) {
			s.clear(x, at, x.streak)
			return
		}
	case in.Crashes > 0 && !(x.cleared && !at.After(x.lastEvent)):
		x.setPeerCount(peerCount{peer: peer, crashes: min(in.Crashes, s.cfg.CrashLimit), last: at})
		x.cleared = false
		x.lastEvent = latest(x.lastEvent, at)
	}
	s.insert(x)
}

// mergeStreak merges the unanswered dispatches that a peer has reported. If this entry has had an
// answer since the first of them, they weren't in a row.
func (s *Suspects) mergeStreak(now time.Time, peer uint64, in Suspect) {
	limit := s.cfg.CrashWindow
	if in.Unanswered >= s.cfg.CrashLimit {
		limit = s.holdTime(in.Trials)
	}
	if in.Since < 0 || in.Last < 0 || in.Trials < 0 || in.Last >= limit {
		return
	}
	since, last := now.Add(-in.Since), now.Add(-in.Last)
	answered := s.lastAnswer(now, in.Fingerprint)
	x := s.detach(now, in.Fingerprint)
	if answered.After(since) {
		x.cleared, x.exported, x.lastEvent = true, true, latest(x.lastEvent, answered)
		s.insert(x)
		return
	}
	x.streak.noteAnswered(answered)
	x.streak.merge(peerStreak{peer: peer, count: min(in.Unanswered, s.cfg.CrashLimit), since: since, last: last}, in.Trials, in.Answered, s.cfg.CrashLimit)
	x.exported = true
	if x.lastEvent.IsZero() {
		x.lastEvent = last
	}
	s.insert(x)
}

// setPeerCount keeps the highest count of each of the first maxPeers peers.
func (x *suspect) setPeerCount(in peerCount) {
	for i := range x.peers {
		p := &x.peers[i]
		if p.crashes != 0 && p.peer != in.peer {
			continue
		}
		if in.crashes > p.crashes {
			*p = in
		}
		return
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
