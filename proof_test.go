package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/load"
	"plumpitch.example/plumpitch/pkg/call"
)

// An entry is killed, or paused and later resumed, while its keyed requests run at their
// targets for 500 ms. The callers get no response and resend the same keys through other
// entries, while the store is up, down or loses responses. No key may run twice, not even
// after the paused entry resumes, and a resend may get the outcome not-run only if the key
// hasn't run.
func TestKeyRunsOnceWhenItsEntryFails(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(e *process)
		after func(e *process)
		store string // store faults, injected once the requests run
	}{
		{"killed", func(e *process) { e.signal(syscall.SIGKILL) }, func(*process) {}, `{}`},
		{"paused", func(e *process) { e.signal(syscall.SIGSTOP) }, func(e *process) { e.signal(syscall.SIGCONT) }, `{}`},
		{"killed, store down", func(e *process) { e.signal(syscall.SIGKILL) }, func(*process) {}, `{"down":true}`},
		{"paused, store loses answers", func(e *process) { e.signal(syscall.SIGSTOP) }, func(e *process) { e.signal(syscall.SIGCONT) }, `{"lose":6}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			q := qt.New(t)
			s := newCluster(t, 2, 3, 500*time.Millisecond)
			keys := make([]string, 4)
			var first sync.WaitGroup
			for n := range keys {
				keys[n] = newKey()
				first.Go(func() { s.post(1, keys[n], 3*time.Second) })
			}
			eventually(t, "the targets run a request of each slot", func() bool { return countRan(s.runs(t), keys) == len(keys) })
			s.setFaults(t, c.store)
			c.fault(s.entries[1])
			for _, key := range keys {
				for n := range 4 {
					a := s.post([]int{0, 2}[n%2], key, 3*time.Second)
					if a.outcome == call.NotRun.String() {
						q.Check(s.runs(t)[key], qt.Equals, 0, qt.Commentf("outcome not-run: %+v", a))
					}
				}
			}
			c.after(s.entries[1])
			first.Wait()
			time.Sleep(600 * time.Millisecond) // a second run would have begun by then
			for _, key := range keys {
				runs := s.runs(t)[key]
				q.Check(runs <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, runs))
			}
		})
	}
}

// countRan returns how many of the keys have been run at least once.
func countRan(runs map[string]int, keys []string) (n int) {
	for _, key := range keys {
		if runs[key] > 0 {
			n++
		}
	}
	return n
}

// storeOutages are the faults that make the store unavailable.
var storeOutages = []struct{ name, faults string }{
	{"down", `{"down":true}`},
	{"slow", `{"delay":"3s"}`},
}

// The store is unavailable. Callers send idempotent and non-idempotent requests without
// keys. All of them must be answered, since the entries keep the last known settings and
// targets.
func TestStoreOutageAffectsNoCaller(t *testing.T) {
	t.Parallel()
	for _, c := range storeOutages {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			q := qt.New(t)
			s := newCluster(t, 3, 3, 2*time.Millisecond)
			code, out := s.runCommand(t, 0, "settings", "set", servicePath, "requirekey", "false", "--wait")
			q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
			s.setFaults(t, c.faults)
			r, err := load.Run(t.Context(), load.Config{
				Entries: []string{s.callers(0), s.callers(1), s.callers(2)}, Services: []string{testService},
				Rate: 150, Requests: 600, Writes: 0.5, Keyless: true, Timeout: 5 * time.Second, Seed: 3,
			})
			q.Assert(err, qt.IsNil)
			q.Check(r.Answered, qt.Equals, r.Sent, qt.Commentf("%+v", reportOf(r)))
		})
	}
}

// The store is unavailable, so an entry can't find out whether a key has run. Keyed
// requests must get the outcome unknown within 2 s, instead of waiting until their callers
// give up, and nothing may run. Once the store is back, the same keys must be answered,
// each by one run.
func TestKeysDuringAStoreOutage(t *testing.T) {
	t.Parallel()
	for _, c := range storeOutages {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			q := qt.New(t)
			s := newCluster(t, 2, 2, 2*time.Millisecond)
			s.setFaults(t, c.faults)
			keys := []string{newKey(), newKey(), newKey()}
			for n, key := range keys {
				began := time.Now()
				a := s.post(n%2, key, 5*time.Second)
				q.Check(a.outcome+" "+a.reason, qt.Equals, "unknown claim-unreachable")
				q.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			}
			q.Check(countRan(s.runs(t), keys), qt.Equals, 0)
			s.setFaults(t, `{}`)
			for _, key := range keys {
				eventually(t, "the key is answered", func() bool { return s.post(0, key, 5*time.Second).complete(key) })
				q.Check(s.runs(t)[key], qt.Equals, 1)
			}
		})
	}
}

// A request crashes every target that gets it, and its caller sends it again with new
// keys through every entry. After a bounded number of crashed connections the request
// must be refused as quarantined.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 4, 3, time.Millisecond)
	for n := range s.targets {
		setTargetFault(t, s, n, `{"Crash":true}`)
	}
	before := totalRuns(s.runs(t))
	for n := range 30 {
		s.post(n%3, newKey(), 2*time.Second)
	}
	crashed := totalRuns(s.runs(t)) - before
	q.Check(crashed <= 6, qt.IsTrue, qt.Commentf("%d dispatches of a request that crashes targets", crashed))
	a := s.post(0, newKey(), time.Second)
	q.Check(fmt.Sprint(a.outcome, a.reason), qt.Equals, "not-runquarantined")
}

func setTargetFault(t *testing.T, s *cluster, n int, fault string) {
	t.Helper()
	res, err := http.Post("http://"+s.targets[n].addrs[0]+"/-/fault", "application/json", strings.NewReader(fault))
	qt.Assert(t, err, qt.IsNil)
	res.Body.Close()
}

func totalRuns(runs map[string]int) (n int) {
	for _, r := range runs {
		n += r
	}
	return n
}
