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

// A deposit takes a second at its target. Its entry is killed, or paused and
// later resumed, while it runs. The caller gets no answer and resends the same
// key through another entry, several times, while the store is up, or down from
// then on, or loses answers. The
// targets' logs must show each key once: the resend is told unknown or gets
// the recorded answer, and a paused entry that resumes runs nothing again.
func TestKeyRunsOnceThoughItsEntryFails(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(e *process)
		after func(e *process)
		store string // from when the requests run
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
			eventually(t, "the targets run a request of each slot", func() bool { return ran(s.runs(t), keys) == len(keys) })
			s.faults(t, c.store)
			c.fault(s.entries[1])
			for _, key := range keys {
				for n := range 4 {
					a := s.post([]int{0, 2}[n%2], key, 3*time.Second)
					if a.outcome == call.NotRun.String() {
						q.Check(s.runs(t)[key], qt.Equals, 0, qt.Commentf("told not-run: %+v", a))
					}
				}
			}
			c.after(s.entries[1])
			first.Wait()
			time.Sleep(600 * time.Millisecond) // a second run would take no longer to begin
			for _, key := range keys {
				runs := s.runs(t)[key]
				q.Check(runs <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, runs))
			}
		})
	}
}

// ran counts the keys that a target has run.
func ran(runs map[string]int, keys []string) (n int) {
	for _, key := range keys {
		if runs[key] > 0 {
			n++
		}
	}
	return n
}

// outages are the ways in which the store is away for the whole of a test.
var outages = []struct{ name, faults string }{
	{"down", `{"down":true}`},
	{"slow", `{"delay":"3s"}`},
}

// The store is down for the whole time. Callers browse and send requests that
// must not run twice, without keys; none of them notices, since settings and
// targets stay as they were.
func TestStoreOutageHurtsNoCaller(t *testing.T) {
	t.Parallel()
	for _, c := range outages {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			q := qt.New(t)
			s := newCluster(t, 3, 3, 2*time.Millisecond)
			code, out := s.operate(t, 0, "settings", "set", ledger, "requirekey", "false", "--wait")
			q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
			s.faults(t, c.faults)
			r, err := load.Run(t.Context(), load.Config{
				Entries: []string{s.callers(0), s.callers(1), s.callers(2)}, Services: []string{provedService},
				Rate: 150, Requests: 600, Writes: 0.5, Keyless: true, Timeout: 5 * time.Second, Seed: 3,
			})
			q.Assert(err, qt.IsNil)
			q.Check(r.Answered, qt.Equals, r.Sent, qt.Commentf("%+v", reportOf(r)))
		})
	}
}

// The store is away, so that nobody can tell whether a key has run. Callers of
// keyed requests are told at once that it is unknown and when to come back,
// rather than held until they give up, and nothing runs. Soon after the store's
// return the same keys are answered, each by one run.
func TestKeysDuringAStoreOutage(t *testing.T) {
	t.Parallel()
	for _, c := range outages {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			q := qt.New(t)
			s := newCluster(t, 2, 2, 2*time.Millisecond)
			s.faults(t, c.faults)
			keys := []string{newKey(), newKey(), newKey()}
			for n, key := range keys {
				began := time.Now()
				a := s.post(n%2, key, 5*time.Second)
				q.Check(a.outcome+" "+a.reason, qt.Equals, "unknown claim-unreachable")
				q.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			}
			q.Check(ran(s.runs(t), keys), qt.Equals, 0)
			s.faults(t, `{}`)
			for _, key := range keys {
				eventually(t, "the key is answered", func() bool { return s.post(0, key, 5*time.Second).whole(key) })
				q.Check(s.runs(t)[key], qt.Equals, 1)
			}
		})
	}
}

// A target crashes under one request, which its caller sends again and again
// with new keys through every entry. After a bounded number of crashed
// connections it is refused, and other requests go on.
func TestOneBadRequestIsStopped(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 4, 3, time.Millisecond)
	for n := range s.targets {
		breakTarget(t, s, n, `{"Crash":true}`)
	}
	before := total(s.runs(t))
	for n := range 30 {
		s.post(n%3, newKey(), 2*time.Second)
	}
	crashed := total(s.runs(t)) - before
	q.Check(crashed <= 6, qt.IsTrue, qt.Commentf("%d dispatches of a request that crashes targets", crashed))
	a := s.post(0, newKey(), time.Second)
	q.Check(fmt.Sprint(a.outcome, a.reason), qt.Equals, "not-runquarantined")
}

func breakTarget(t *testing.T, s *cluster, n int, fault string) {
	t.Helper()
	res, err := http.Post("http://"+s.targets[n].addrs[0]+"/-/fault", "application/json", strings.NewReader(fault))
	qt.Assert(t, err, qt.IsNil)
	res.Body.Close()
}

func total(runs map[string]int) (n int) {
	for _, r := range runs {
		n += r
	}
	return n
}
