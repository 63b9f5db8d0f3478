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

// A caller sends its booking and gets no answer that it can use, then sends it
// again through another entry. The second try replays, or is told unknown; it
// runs only if the first surely did not.
func TestResend(t *testing.T) {
	ended := func(e claim.Ended) func(*site) Run {
		return func(s *site) Run {
			run := s.run("k")
			return func(ctx context.Context) claim.Ended {
				if e.Outcome != call.NotRun {
					run(ctx)
				}
				return e
			}
		}
	}
	long := claim.Answer{Status: 200, Body: make([]byte, maxKept+1), Whole: true}
	for _, tt := range []struct {
		name   string
		first  func(s *site) Run
		print  uint64
		kind   claim.Kind
		reason claim.Reason
		runs   int
	}{
		{name: "it ran", kind: claim.Replay, runs: 1},
		{name: "its answer was cut", first: ended(claim.Ended{Reason: "cut"}), kind: claim.Uncertain, reason: claim.ReasonRanUnknown, runs: 1},
		{name: "its answer was too long to keep", first: ended(claim.Ended{Outcome: call.Ran, Answer: long}), kind: claim.Replay, reason: claim.ReasonNotKept, runs: 1},
		{name: "it was shed", first: ended(claim.Ended{Outcome: call.NotRun, Reason: "shed"}), kind: claim.Fresh, runs: 1},
		{name: "another body", print: 2, kind: claim.Conflict, reason: claim.ReasonKeyReused, runs: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t)
			run := s.run("k")
			if tt.first != nil {
				run = tt.first(s)
			}
			s.do(0, "k", run)
			s.settled()
			got := s.entries[1].Do(context.Background(), Request{
				Service: "deposit-ledger", Key: "k", Print: max(tt.print, 1), Deadline: time.Now().Add(time.Second),
			}, s.run("k"))
			s.c.Assert(got.Kind, qt.Equals, tt.kind)
			s.c.Assert(got.Reason, qt.Equals, tt.reason)
			s.c.Assert(s.count("k"), qt.Equals, tt.runs)
		})
	}
}

// The store fails while a key is claimed or its outcome recorded: it is away,
// loses the answer of a write, or does the write late. Whatever the caller is
// told, the key never runs twice, and once the store is well the key is
// answered unless its outcome may be unknown.
func TestStoreFaults(t *testing.T) {
	only := func(op string, n int, f fault) func(string, int) fault {
		return func(o string, i int) fault {
			if o == op && i == n {
				return f
			}
			return none
		}
	}
	for _, tt := range []struct {
		name  string
		fault func(op string, n int) fault
		first claim.Kind
		runs  int // after the first send
	}{
		{"claim refused once", only("put", 0, down), claim.Fresh, 1},
		{"claim's answer lost", only("put", 0, lost), claim.Fresh, 1},
		{"claim done late", only("put", 0, late), claim.Fresh, 1},
		{"claim not done", only("put", 0, timed), claim.Fresh, 1},
		{"claim's answer lost, then no look", func(op string, n int) fault {
			if op == "put" && n == 0 {
				return lost
			}
			if op == "get" && n < 3 {
				return down
			}
			return none
		}, claim.Fresh, 1},
		{"outcome's answer lost", only("update", 0, lost), claim.Fresh, 1},
		{"outcome done late", only("update", 0, late), claim.Fresh, 1},
		{"claim done after it was given up", func(op string, n int) fault {
			if op == "put" && n == 0 {
				return later
			}
			return timed
		}, claim.Uncertain, 0},
		{"away", func(string, int) fault { return down }, claim.Uncertain, 0},
		{"silent", func(string, int) fault { return timed }, claim.Uncertain, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.store.fail(tt.fault)
			began := time.Now()
			got := s.do(0, "k", s.run("k"))
			s.c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
			s.c.Assert(got.Kind, qt.Equals, tt.first, qt.Commentf("%+v", got))
			s.c.Assert(s.count("k"), qt.Equals, tt.runs)
			s.store.fail(nil)
			s.settled()
			time.Sleep(2 * lateness)
			got = s.do(1, "k", s.run("k"))
			s.c.Assert(s.count("k") <= 1, qt.IsTrue)
			s.c.Assert(got.Kind == claim.Replay || got.Kind == claim.Fresh, qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
}

// Random faults hit every call of the store while each key is sent several times
// through both entries, at once and again. No key runs twice, and none that was
// told not-run, and only that, has run.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(seed, 1))
			s.store.fail(func(string, int) fault {
				mu.Lock()
				defer mu.Unlock()
				if rnd.IntN(3) > 0 {
					return none
				}
				return fault(1 + rnd.IntN(4))
			})
			var all sync.WaitGroup
			for n := range 12 {
				key := fmt.Sprint("k", n)
				for entry := range 4 {
					all.Go(func() {
						got := s.do(entry%2, key, s.run(key))
						if got.Kind == claim.Fresh || got.Kind == claim.Replay {
							s.c.Check(string(got.Answer.Body), qt.Equals, key)
						}
					})
				}
			}
			all.Wait()
			s.store.fail(nil)
			s.settled()
			for n := range 12 {
				key := fmt.Sprint("k", n)
				s.do(n%2, key, s.run(key))
				s.c.Check(s.count(key) <= 1, qt.IsTrue, qt.Commentf("%s ran %d times, seed %d", key, s.count(key), seed))
			}
		})
	}
}

// While the first try runs, the caller sends the same key again, here and
// elsewhere. Here it waits for the run; elsewhere it is told to come back.
func TestResendWhileRunning(t *testing.T) {
	s := newSite(t)
	started, finish := make(chan struct{}), make(chan struct{})
	run := s.run("k")
	slow := func(ctx context.Context) claim.Ended {
		close(started)
		<-finish
		return run(ctx)
	}
	results := make(chan claim.Result, 2)
	go func() { results <- s.do(0, "k", slow) }()
	<-started
	got := s.do(1, "k", run)
	s.c.Assert(got.Kind, qt.Equals, claim.Uncertain)
	s.c.Assert(got.Reason, qt.Equals, claim.ReasonInProgress)
	s.c.Assert(got.RetryAfter > 0, qt.IsTrue)
	go func() { results <- s.do(0, "k", run) }()
	time.Sleep(20 * time.Millisecond)
	close(finish)
	kinds := []claim.Kind{(<-results).Kind, (<-results).Kind}
	s.c.Assert(kinds, qt.Contains, claim.Fresh)
	s.c.Assert(kinds, qt.Contains, claim.Replay)
	s.c.Assert(s.count("k"), qt.Equals, 1)
}

// A caller sends its key again through the same entry right after the answer,
// before the store has it. It gets the recorded answer all the same.
func TestResendBeforeTheOutcomeIsStored(t *testing.T) {
	s := newSite(t)
	s.store.fail(func(op string, n int) fault {
		if op == "update" && n < 2 {
			return down
		}
		return none
	})
	s.c.Assert(s.do(0, "k", s.run("k")).Kind, qt.Equals, claim.Fresh)
	for range 3 {
		s.c.Assert(s.do(0, "k", s.run("k")).Kind, qt.Equals, claim.Replay)
	}
	s.settled()
	s.c.Assert(s.entries[0].flights, qt.HasLen, 0)
	s.c.Assert(s.do(1, "k", s.run("k")).Kind, qt.Equals, claim.Replay)
	s.c.Assert(s.count("k"), qt.Equals, 1)
}

// An entry is killed between its claim and the outcome. Long after, the same key
// is told that its outcome is unknown, and isn't run; a claim may not lapse.
func TestKilledHolder(t *testing.T) {
	s := newSite(t)
	s.store.fail(func(op string, _ int) fault {
		if op == "update" {
			return down
		}
		return none
	})
	s.do(0, "k", s.run("k"))
	s.entries[0].Close()
	s.store.fail(nil)
	s.now = func() time.Time { return time.Now().Add(claim.Retention / 2) }
	got := s.do(1, "k", s.run("k"))
	s.c.Assert(got.Kind, qt.Equals, claim.Uncertain)
	s.c.Assert(got.Reason, qt.Equals, claim.ReasonRanUnknown)
	s.c.Assert(s.count("k"), qt.Equals, 1)
}

// Records are removed once they have expired, and only these.
func TestSweep(t *testing.T) {
	s := newSite(t)
	s.do(0, "old", s.run("old"))
	s.settled()
	s.now = func() time.Time { return time.Now().Add(claim.Retention + time.Second) }
	s.do(0, "new", s.run("new"))
	s.settled()
	s.c.Assert(s.entries[0].sweep(t.Context()), qt.IsNil)
	s.c.Assert(s.store.objects, qt.HasLen, 1)
	s.c.Assert(s.do(1, "new", s.run("new")).Kind, qt.Equals, claim.Replay)
}

// What is no record is an error that names the field.
func TestMalformedRecords(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"not JSON", "{", "claim record: .*"},
		{"no print", `{"id":"a"}`, `claim record: print: found "".*`},
		{"no attempt", `{"print":"1"}`, `claim record: id: found nothing.*`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decode([]byte(tt.text))
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// A caller's request ends without an outcome, and it sends it again at once, through
// the same entry. The store hasn't taken the outcome yet. The caller must be told what
// became of the request, not that it may be running: that would have it come back for
// nothing, for as long as the store is away.
func TestResendWhileTheOutcomeIsRecorded(t *testing.T) {
	for _, tt := range []struct {
		name  string
		ended claim.Ended
		want  claim.Result
	}{
		{"outcome unknown", claim.Ended{Reason: "panic"}, claim.Result{Reason: claim.ReasonRanUnknown}},
		{
			"it ran",
			claim.Ended{Outcome: call.Ran, Answer: claim.Answer{Status: 201, Whole: true}},
			claim.Result{Kind: claim.Replay, Answer: claim.Answer{Outcome: call.Ran, Status: 201, Whole: true}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t)
			s.store.fail(func(op string, _ int) fault {
				if op == "update" {
					return down
				}
				return none
			})
			s.do(0, "k", func(context.Context) claim.Ended { return tt.ended })
			s.c.Assert(s.do(0, "k", s.run("k")), qt.DeepEquals, tt.want)
			s.c.Assert(s.count("k"), qt.Equals, 0)
			s.store.fail(nil)
			s.settled()
			s.c.Assert(s.do(1, "k", s.run("k")).Kind, qt.Equals, tt.want.Kind)
		})
	}
}
