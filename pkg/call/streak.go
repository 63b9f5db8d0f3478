package call

import (
	"slices"
	"time"
)

// A streak is what is known of the dispatches of a request that got no response, one after the other
// and at all entries together. From CrashLimit on, the request is held like by a circuit breaker: it
// gets one trial at a time, after growing pauses, until one is answered. This needs no proof that a
// target has ended, and frees a request whose targets have only lost connections.
type streak struct {
	own        []time.Time  // of the unanswered dispatches at this entry, at most CrashLimit
	peers      []peerStreak // at most maxPeers
	answered   bool         // targets had answered the request before, at any entry
	held       bool         // there were CrashLimit of them
	heldAt     time.Time    // of the last of these, at the latest
	trials     int          // unanswered trials
	ownTrials  int          // those of this entry
	last       time.Time    // of the last unanswered dispatch, at any entry
	ownLast    time.Time    // of that of this entry
	trialUntil time.Time    // until then a trial of this entry may be in flight
}

// peerStreak is what a peer has reported of its unanswered dispatches.
type peerStreak struct {
	peer        uint64
	count       int
	since, last time.Time
}

// trialPauses are the pauses before each trial, from the last unanswered dispatch on. The first
// shortPauses of them are for targets that have lost connections for a moment, and for
// shortPauseTime only: while trials are rare, each of them would reach targets much later.
var trialPauses = [...]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	8 * time.Second, 80 * time.Second, 800 * time.Second, time.Hour,
}

const (
	shortPauses    = 3
	shortPauseTime = 2 * time.Second
	// maxAnsweredPause bounds the pauses of a request that targets have answered before: they are
	// more likely to have failed than the request to fail them. Each entry sends trials of its own,
	// as another one may be cut off from targets.
	maxAnsweredPause = time.Second
	// rankPause is how much later an entry sends a trial than the entry of the rank before, so that
	// the result of that trial reaches it first.
	rankPause = time.Second
	// trialTimeout is how long a trial without a result keeps its entry from sending another one.
	trialTimeout = 10 * time.Second
	// trialWait is when a caller may return whose request finds another one's trial in progress. The
	// result of that may come at any moment.
	trialWait = 250 * time.Millisecond
	// holdPauses is for how many pauses a request stays held after its last unanswered dispatch,
	// at least for the time of a quarantine.
	holdPauses = 4
)

// longPause returns the pause before the next trial once the short pauses are over.
func longPause(trials int) time.Duration {
	return trialPauses[min(max(trials, shortPauses), len(trialPauses)-1)]
}

// nextTrial returns when this entry may send the next trial. rank returns its rank.
func (k *streak) nextTrial(now time.Time, rank func() int) time.Time {
	if k.answered {
		last := k.ownLast
		if last.IsZero() {
			last = k.heldAt
		}
		return last.Add(min(trialPauses[min(k.ownTrials, shortPauses)], maxAnsweredPause))
	}
	return k.last.Add(time.Duration(rank())*rankPause + k.pause(now, k.trials))
}

// pause returns the pause after so many unanswered trials.
func (k *streak) pause(now time.Time, trials int) time.Duration {
	if trials < shortPauses && now.Sub(k.heldAt) <= shortPauseTime {
		return trialPauses[trials]
	}
	return longPause(trials)
}

// hold makes the request held if it has had limit unanswered dispatches.
func (k *streak) hold(limit int) {
	if k.held || k.count() < limit {
		return
	}
	k.held, k.heldAt = true, k.last
	for _, p := range trialPauses[:min(k.trials, shortPauses)] {
		k.heldAt = k.heldAt.Add(-p)
	}
}

// count returns the number of unanswered dispatches at all entries. The last ones of several
// entries count once if they were simultaneous.
func (k *streak) count() (n int) {
	var last [maxPeers + 1]time.Time
	entries := 0
	if len(k.own) > 0 {
		n = len(k.own)
		last[entries] = k.own[len(k.own)-1]
		entries++
	}
	for _, p := range k.peers {
		n += p.count
		last[entries] = p.last
		entries++
	}
	return n - repeated(last[:entries])
}

// since returns the time of the first unanswered dispatch, zero if there is none.
func (k *streak) since() (t time.Time) {
	if len(k.own) > 0 {
		t = k.own[0]
	}
	for _, p := range k.peers {
		if t.IsZero() || p.since.Before(t) {
			t = p.since
		}
	}
	return t
}

// noteAnswered notes, before the first unanswered dispatch, whether targets have answered the request.
// The memory of answers may be shorter than a failure of the targets.
func (k *streak) noteAnswered(at time.Time) {
	if k.count() == 0 {
		k.answered = !at.IsZero()
	}
}

// endTrial ends the trial that was reserved at a time. It reports false if that trial has ended before.
func (k *streak) endTrial(reserved time.Time) bool {
	if reserved.IsZero() || !k.trialUntil.Equal(reserved.Add(trialTimeout)) {
		return false
	}
	k.trialUntil = time.Time{}
	return true
}

// add records an unanswered dispatch of this entry, a trial if it was reserved as one. Another one that begins before
// at counts as part of the same failure.
func (k *streak) add(at, began, reserved time.Time, limit int) {
	if k.count() > 0 && began.Before(k.last) {
		return
	}
	if k.endTrial(reserved) {
		k.countTrial(at)
	}
	k.last, k.ownLast = latest(k.last, at), latest(k.ownLast, at)
	if len(k.own) < limit {
		k.own = append(k.own, at)
	}
	k.hold(limit)
}

// countTrial counts a trial. The short pauses are over for good once they have taken too long.
func (k *streak) countTrial(at time.Time) {
	k.ownTrials++
	k.trials++
	if at.Sub(k.heldAt) > shortPauseTime {
		k.trials = max(k.trials, shortPauses+1)
	}
}

// merge records what a peer has reported, with its trials and whether it knew of an answer.
func (k *streak) merge(in peerStreak, trials int, answered bool, limit int) {
	k.trials = max(k.trials, trials)
	k.answered = k.answered || answered
	k.last = latest(k.last, in.last)
	i := slices.IndexFunc(k.peers, func(p peerStreak) bool { return p.peer == in.peer })
	switch {
	case i < 0 && len(k.peers) < maxPeers:
		k.peers = append(k.peers, in)
	case i >= 0 && (in.count >= k.peers[i].count || in.since.After(k.peers[i].last)):
		k.peers[i] = in
	}
	k.hold(limit)
}

// drop forgets the dispatches from before an answer.
func (k *streak) drop(answered time.Time, limit int) {
	k.own = slices.DeleteFunc(k.own, func(at time.Time) bool { return !at.After(answered) })
	k.peers = slices.DeleteFunc(k.peers, func(p peerStreak) bool { return !p.since.After(answered) })
	switch n := k.count(); {
	case n == 0:
		*k = streak{}
	case n < limit:
		k.held, k.trials, k.ownTrials = false, 0, 0
	}
}
