package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
)

// A caller sends a request, then sends it again through another entry. The resend gets
// the recorded response, or the result that the outcome is unknown; with another body it
// gets a conflict. It runs only if the first attempt certainly didn't run.
func TestResend(t *testing.T) {
	ended := func(e claim.RunResult) func(*testEntries) Run {
		return func(s *testEntries) Run {
			run := s.run("k")
			return func(ctx context.Context) claim.RunResult {
				if e.Outcome != call.NotRun {
					run(ctx)
				}
				return e
			}
		}
	}
	oversized := claim.Response{Status: 200, Body: make([]byte, maxStoredBody+1), Complete: true}
	for _, tt := range []struct {
		name   string
		first  func(s *testEntries) Run
		print  uint64
		kind   claim.Kind
		reason claim.Reason
		runs   int
	}{
		{name: "it ran", kind: claim.Replay, runs: 1},
		{name: "its response was cut", first: ended(claim.RunResult{Reason: "cut"}), kind: claim.Uncertain, reason: claim.ReasonRunUnknown, runs: 1},
		{name: "its response was too long to store", first: ended(claim.RunResult{Outcome: call.Ran, Response: oversized}), kind: claim.Replay, reason: claim.ReasonNotRecorded, runs: 1},
		{name: "it was shed", first: ended(claim.RunResult{Outcome: call.NotRun, Reason: "shed"}), kind: claim.Fresh, runs: 1},
		{name: "another body", print: 2, kind: claim.Conflict, reason: claim.ReasonKeyReused, runs: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestEntries(t)
			run := s.run("k")
			if tt.first != nil {
				run = tt.first(s)
			}
			s.send(0, "k", run)
			s.waitSettled()
			got := s.entries[1].Do(context.Background(), Request{
				Service: "deposit-ledger", Key: "k", Fingerprint: max(tt.print, 1), Deadline: time.Now().Add(time.Second),
			}, s.run("k"))
			s.c.Assert(got.Kind, qt.Equals, tt.kind)
			s.c.Assert(got.Reason, qt.Equals, tt.reason)
			s.c.Assert(s.runCount("k"), qt.Equals, tt.runs)
		})
	}
}

// The store fails while a key is claimed or its outcome is recorded: it is unavailable,
// loses the response to a write, or applies the write late. The key never runs twice,
// and once the store has recovered a resend gets a response.
func TestStoreFaults(t *testing.T) {
	only := func(op string, n int, f fault) func(string, int) fault {
		return func(o string, i int) fault {
			if o == op && i == n {
				return f
			}
			return noFault
		}
	}
	for _, tt := range []struct {
		name  string
		fault func(op string, n int) fault
		first claim.Kind
		runs  int // after the first send
	}{
		{"claim refused once", only("put", 0, refused), claim.Fresh, 1},
		{"claim's response lost", only("put", 0, responseLost), claim.Fresh, 1},
		{"claim applied late", only("put", 0, appliedLate), claim.Fresh, 1},
		{"claim not applied", only("put", 0, timedOut), claim.Fresh, 1},
		{"claim's response lost, then reads fail", func(op string, n int) fault {
			if op == "put" && n == 0 {
				return responseLost
			}
			if op == "get" && n < 3 {
				return refused
			}
			return noFault
		}, claim.Fresh, 1},
		{"outcome's response lost", only("update", 0, responseLost), claim.Fresh, 1},
		{"outcome applied late", only("update", 0, appliedLate), claim.Fresh, 1},
		{"claim applied after the attempt has given up", func(op string, n int) fault {
			if op == "put" && n == 0 {
				return appliedTooLate
			}
			return timedOut
		}, claim.Uncertain, 0},
		{"unavailable", func(string, int) fault { return refused }, claim.Uncertain, 0},
		{"no response", func(string, int) fault { return timedOut }, claim.Uncertain, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newTestEntries(t)
			s.store.setFaults(tt.fault)
			start := time.Now()
			got := s.send(0, "k", s.run("k"))
			s.c.Assert(time.Since(start) < 2*time.Second, qt.IsTrue)
			s.c.Assert(got.Kind, qt.Equals, tt.first, qt.Commentf("%+v", got))
			s.c.Assert(s.runCount("k"), qt.Equals, tt.runs)
			s.store.setFaults(nil)
			s.waitSettled()
			time.Sleep(2 * lateDelay)
			got = s.send(1, "k", s.run("k"))
			s.c.Assert(s.runCount("k") <= 1, qt.IsTrue)
			s.c.Assert(got.Kind == claim.Replay || got.Kind == claim.Fresh, qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
}

// Calls to the store fail at random while each key is sent several times through both
// entries, at once and again later. No key runs twice, and each response belongs to its
// key.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newTestEntries(t)
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(seed, 1))
			s.store.setFaults(func(string, int) fault {
				mu.Lock()
				defer mu.Unlock()
				if rnd.IntN(3) > 0 {
					return noFault
				}
				return fault(1 + rnd.IntN(4))
			})
			var senders sync.WaitGroup
			for n := range 12 {
				key := fmt.Sprint("k", n)
				for entry := range 4 {
					senders.Go(func() {
						got := s.send(entry%2, key, s.run(key))
						if got.Kind == claim.Fresh || got.Kind == claim.Replay {
							s.c.Check(string(got.Response.Body), qt.Equals, key)
						}
					})
				}
			}
			senders.Wait()
			s.store.setFaults(nil)
			s.waitSettled()
			for n := range 12 {
				key := fmt.Sprint("k", n)
				s.send(n%2, key, s.run(key))
				s.c.Check(s.runCount(key) <= 1, qt.IsTrue, qt.Commentf("%s ran %d times, seed %d", key, s.runCount(key), seed))
			}
		})
	}
}

// While the first attempt runs, the caller sends the same key again. At the same entry
// the resend waits for the run; at another one it gets in-progress and a time to retry
// after.
func TestResendWhileRunning(t *testing.T) {
	s := newTestEntries(t)
	started, finish := make(chan struct{}), make(chan struct{})
	run := s.run("k")
	slowRun := func(ctx context.Context) claim.RunResult {
		close(started)
		<-finish
		return run(ctx)
	}
	results := make(chan claim.Result, 2)
	go func() { results <- s.send(0, "k", slowRun) }()
	<-started
	got := s.send(1, "k", run)
	s.c.Assert(got.Kind, qt.Equals, claim.Uncertain)
	s.c.Assert(got.Reason, qt.Equals, claim.ReasonInProgress)
	s.c.Assert(got.RetryAfter > 0, qt.IsTrue)
	go func() { results <- s.send(0, "k", run) }()
	time.Sleep(20 * time.Millisecond)
	close(finish)
	kinds := []claim.Kind{(<-results).Kind, (<-results).Kind}
	s.c.Assert(kinds, qt.Contains, claim.Fresh)
	s.c.Assert(kinds, qt.Contains, claim.Replay)
	s.c.Assert(s.runCount("k"), qt.Equals, 1)
}

// A caller sends its key again through the same entry before the outcome is stored. It
// still gets the recorded response.
func TestResendBeforeTheOutcomeIsStored(t *testing.T) {
	s := newTestEntries(t)
	s.store.setFaults(func(op string, n int) fault {
		if op == "update" && n < 2 {
			return refused
		}
		return noFault
	})
	s.c.Assert(s.send(0, "k", s.run("k")).Kind, qt.Equals, claim.Fresh)
	for range 3 {
		s.c.Assert(s.send(0, "k", s.run("k")).Kind, qt.Equals, claim.Replay)
	}
	s.waitSettled()
	s.c.Assert(s.entries[0].active, qt.HasLen, 0)
	s.c.Assert(s.send(1, "k", s.run("k")).Kind, qt.Equals, claim.Replay)
	s.c.Assert(s.runCount("k"), qt.Equals, 1)
}

// An entry is killed between its claim and the write of the outcome. A resend half the
// retention time later gets run-unknown and isn't run: a claim must not expire earlier.
func TestKilledEntry(t *testing.T) {
	s := newTestEntries(t)
	s.store.setFaults(func(op string, _ int) fault {
		if op == "update" {
			return refused
		}
		return noFault
	})
	s.send(0, "k", s.run("k"))
	s.entries[0].Close()
	s.store.setFaults(nil)
	s.now = func() time.Time { return time.Now().Add(claim.Retention / 2) }
	got := s.send(1, "k", s.run("k"))
	s.c.Assert(got.Kind, qt.Equals, claim.Uncertain)
	s.c.Assert(got.Reason, qt.Equals, claim.ReasonRunUnknown)
	s.c.Assert(s.runCount("k"), qt.Equals, 1)
}

// A sweep removes expired records and no others.
func TestSweep(t *testing.T) {
	s := newTestEntries(t)
	s.send(0, "old", s.run("old"))
	s.waitSettled()
	s.now = func() time.Time { return time.Now().Add(claim.Retention + time.Second) }
	s.send(0, "new", s.run("new"))
	s.waitSettled()
	s.c.Assert(s.entries[0].sweep(t.Context()), qt.IsNil)
	s.c.Assert(s.store.objects, qt.HasLen, 1)
	s.c.Assert(s.send(1, "new", s.run("new")).Kind, qt.Equals, claim.Replay)
}

// A malformed record fails to decode with an error that names the field.
func TestMalformedRecords(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"not JSON", "{", "claim record: .*"},
		{"no print", `{"id":"a"}`, `claim record: print: found "".*`},
		{"no attempt", `{"print":"1"}`, `claim record: id: found nothing.*`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decodeRecord([]byte(tt.text))
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// A request ends, and the caller sends it again through the same entry before the
// outcome is stored. The resend must get the outcome, not in-progress: with that the
// caller would retry in vain for as long as the store is unavailable.
func TestResendWhileTheOutcomeIsRecorded(t *testing.T) {
	for _, tt := range []struct {
		name   string
		result claim.RunResult
		want   claim.Result
	}{
		{"outcome unknown", claim.RunResult{Reason: "panic"}, claim.Result{Reason: claim.ReasonRunUnknown}},
		{
			"it ran",
			claim.RunResult{Outcome: call.Ran, Response: claim.Response{Status: 201, Complete: true}},
			claim.Result{Kind: claim.Replay, Response: claim.Response{Outcome: call.Ran, Status: 201, Complete: true}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestEntries(t)
			s.store.setFaults(func(op string, _ int) fault {
				if op == "update" {
					return refused
				}
				return noFault
			})
			s.send(0, "k", func(context.Context) claim.RunResult { return tt.result })
			s.c.Assert(s.send(0, "k", s.run("k")), qt.DeepEquals, tt.want)
			s.c.Assert(s.runCount("k"), qt.Equals, 0)
			s.store.setFaults(nil)
			s.waitSettled()
			s.c.Assert(s.send(1, "k", s.run("k")).Kind, qt.Equals, tt.want.Kind)
		})
	}
}
