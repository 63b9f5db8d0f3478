package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// One or two of four entries are killed while their keyed requests run at the targets, so
// the callers get no response and no outcome is recorded. Each key is then resent through
// the remaining entries. The outcome must be unknown or the recorded response, never
// not-run, and the targets' logs must show one run of each key.
func TestKeyOfAKilledEntryIsNeverRunAgain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		killed []int
		left   []int
	}{
		{"one of four", []int{1}, []int{0, 2, 3}},
		{"two of four", []int{1, 2}, []int{0, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			q := qt.New(t)
			s := newCluster(t, 3, 4, 500*time.Millisecond)
			keys := make([]string, 6)
			var first sync.WaitGroup
			for n := range keys {
				keys[n] = newKey()
				first.Go(func() { s.post(c.killed[n%len(c.killed)], keys[n], 3*time.Second) })
			}
			eventually(t, "the targets run every request", func() bool { return countRan(s.runs(t), keys) == len(keys) })
			for _, n := range c.killed {
				s.entries[n].signal(syscall.SIGKILL)
			}
			first.Wait()
			var resends sync.WaitGroup
			for _, key := range keys {
				resends.Go(func() {
					for n := range 2 * len(c.left) {
						a := s.post(c.left[n%len(c.left)], key, 3*time.Second)
						ok := a.outcome == call.Unknown.String() || a.replay && a.complete(key)
						q.Check(ok, qt.IsTrue, qt.Commentf("resend %d: %+v", n, a))
					}
				})
			}
			resends.Wait()
			for _, key := range keys {
				q.Check(s.runs(t)[key], qt.Equals, 1, qt.Commentf("key %s", key))
			}
		})
	}
}

// A caller disconnects before its keyed request is answered. The run must go on and be
// recorded, so that the same key gets the recorded response through any other entry.
func TestDisconnectedCallerGetsRecordedResponse(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 2, 3, 300*time.Millisecond)
	for n := range 4 {
		key := newKey()
		a := s.post(1, key, 100*time.Millisecond)
		q.Assert(a.err, qt.IsNotNil)
		a = s.post([]int{0, 2}[n%2], key, 3*time.Second)
		for a.outcome == call.Unknown.String() && a.reason == "in-progress" {
			a = s.post([]int{0, 2}[n%2], key, 3*time.Second)
		}
		q.Check(a.replay && a.complete(key), qt.IsTrue, qt.Commentf("%+v", a))
		q.Check(s.runs(t)[key], qt.Equals, 1)
	}
}

// Keyed requests are sent up to three times each through random entries while an entry
// joins, one stops, and one is killed and restarted under the same name without its state.
// No key may run twice, each answered key must be in the targets' logs, and requests must
// be answered after every change.
func TestEntriesChangeUnderKeyedLoad(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 3, 3, 2*time.Millisecond)
	code, out := s.runCommand(t, 0, "settings", "set", servicePath, "locatettl", "500ms", "--wait")
	q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	l := newKeyedLoad(s, 0, 1, 2)
	l.awaitProgress(t, "before any change")

	joined := s.startEntry(t)
	eventually(t, "the new entry is seen as ready", func() bool { return s.readyEntries(0) == 4 && s.readyEntries(joined) == 4 })
	l.use(s, 0, 1, 2, joined)
	l.awaitProgress(t, "after a join")

	s.entries[1].signal(syscall.SIGTERM)
	l.use(s, 0, 2, joined)
	s.awaitEnd(t, 1)
	eventually(t, "the entry that left is gone", func() bool { return s.readyEntries(0) == 3 })
	l.awaitProgress(t, "after a leave")

	s.entries[2].signal(syscall.SIGKILL)
	l.use(s, 0, joined)
	l.awaitProgress(t, "after a death")
	restarted := s.startNamed(t, s.entryNames[2])
	l.use(s, 0, joined, restarted)
	eventually(t, "the restarted entry is seen as ready", func() bool { return s.readyEntries(restarted) == 3 && s.readyEntries(0) == 3 })
	l.awaitProgress(t, "after a restart under the same name")

	sent := l.stopAndWait()
	for n, k := range sent {
		if n%max(1, len(sent)/200) == 0 {
			k.results = append(k.results, s.post(restarted, k.key, 3*time.Second))
		}
	}
	runs := s.runs(t)
	for _, k := range sent {
		n := runs[k.key]
		q.Check(n <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", k.key, n))
		q.Check(n == 1 || !k.any(answeredOK), qt.IsTrue, qt.Commentf("answered without a run: %+v", k))
		q.Check(n == 0 || k.any(mayHaveRun), qt.IsTrue, qt.Commentf("only outcomes not-run, but it ran: %+v", k))
	}
	t.Logf("%d keys, %d answered", len(sent), l.answered.Load())
}

// sentKey is a key with the result of each request that was sent with it.
type sentKey struct {
	key     string
	results []callResult
}

func (k *sentKey) any(is func(callResult) bool) bool {
	for _, a := range k.results {
		if is(a) {
			return true
		}
	}
	return false
}

func answeredOK(a callResult) bool { return a.err == nil && a.status == http.StatusOK }
func mayHaveRun(a callResult) bool { return a.outcome != call.NotRun.String() }

// keyedLoad sends keyed requests through the entries in use, up to three per key.
type keyedLoad struct {
	answered atomic.Int64
	stop     chan struct{}
	senders  sync.WaitGroup

	mu      sync.Mutex
	cluster *cluster // copy made by the last call of use
	entries []int
	sent    []*sentKey
}

// keyedSenders is the number of concurrent senders.
const keyedSenders = 4

func newKeyedLoad(s *cluster, entries ...int) *keyedLoad {
	l := &keyedLoad{stop: make(chan struct{})}
	l.use(s, entries...)
	for n := range keyedSenders {
		l.senders.Go(func() { l.send(rand.New(rand.NewPCG(uint64(n), 1))) })
	}
	return l
}

// use sets the entries that requests are sent through.
func (l *keyedLoad) use(s *cluster, entries ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := *s
	l.cluster, l.entries = &snapshot, entries
}

func (l *keyedLoad) pick(rnd *rand.Rand) (s *cluster, entry int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cluster, l.entries[rnd.IntN(len(l.entries))]
}

func (l *keyedLoad) send(rnd *rand.Rand) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		k := &sentKey{key: newKey()}
		for range 1 + rnd.IntN(3) {
			s, n := l.pick(rnd)
			k.results = append(k.results, s.post(n, k.key, 2*time.Second))
		}
		if k.any(answeredOK) {
			l.answered.Add(1)
		}
		l.mu.Lock()
		l.sent = append(l.sent, k)
		l.mu.Unlock()
	}
}

// awaitProgress waits until 100 more keys are answered.
func (l *keyedLoad) awaitProgress(t *testing.T, when string) {
	t.Helper()
	want := l.answered.Load() + 100
	eventually(t, "keys are answered "+when, func() bool { return l.answered.Load() >= want })
}

func (l *keyedLoad) stopAndWait() []*sentKey {
	close(l.stop)
	l.senders.Wait()
	return l.sent
}
