package claims

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
)

// fault is the way in which a call to the store fails.
type fault uint8

const (
	noFault        fault = iota
	refused              // not applied, and the client knows it
	responseLost         // applied, response lost
	appliedLate          // applied after lateDelay, response lost
	timedOut             // not applied, no response
	appliedTooLate       // applied after the attempt has given up, response lost
)

// lateDelay is how long after its call a write with the fault appliedLate is applied.
const lateDelay = 80 * time.Millisecond

// tooLateDelay is longer than an attempt waits for the store, and shorter than
// maxWriteDelay, the time after a write for which the attempt's own record is looked for.
const (
	tooLateDelay  = claimTimeout + 300*time.Millisecond
	maxWriteDelay = 2 * time.Second
)

// fakeStore holds records in memory.
type fakeStore struct {
	mu          sync.Mutex
	objects     map[string]store.Object
	lastVersion uint64
	nextFault   func(op string) fault
}

var errUnavailable = errors.New("unavailable")

func (s *fakeStore) takeFault(op string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault == nil {
		return noFault
	}
	return s.nextFault(op)
}

// call runs f with the fault of this call.
func (s *fakeStore) call(op string, f func() error) error {
	switch s.takeFault(op) {
	case refused:
		return &store.Unavailable{Cause: errUnavailable, NotSent: true}
	case timedOut:
		return &store.Unavailable{Cause: errUnavailable}
	case responseLost:
		_ = s.withLock(f)
		return &store.Unavailable{Cause: errUnavailable}
	case appliedTooLate:
		time.AfterFunc(tooLateDelay, func() { _ = s.withLock(f) })
		return &store.Unavailable{Cause: errUnavailable}
	case appliedLate:
		time.AfterFunc(lateDelay, func() { _ = s.withLock(f) })
		return &store.Unavailable{Cause: errUnavailable}
	}
	return s.withLock(f)
}

func (s *fakeStore) withLock(f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

func (s *fakeStore) Get(_ context.Context, _, name string) (store.Object, error) {
	var found store.Object
	err := s.call("get", func() error {
		var ok bool
		if found, ok = s.objects[name]; !ok {
			return store.ErrNotFound
		}
		return nil
	})
	if err != nil {
		return store.Object{}, err
	}
	return found, nil
}

func (s *fakeStore) List(context.Context, string) (list []store.Object, version uint64, err error) {
	err = s.call("list", func() error {
		for _, o := range s.objects {
			list = append(list, o)
		}
		return nil
	})
	return list, s.lastVersion, err
}

func (s *fakeStore) Put(_ context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
	var version uint64
	op := "put"
	if expected > 0 {
		op = "update"
	}
	err := s.call(op, func() error {
		if o := s.objects[name]; o.Version != expected {
			return &store.ErrConflict{Expected: expected, Current: o.Version}
		}
		s.lastVersion++
		version = s.lastVersion
		s.objects[name] = store.Object{Kind: kind, Name: name, Version: version, Value: value}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

func (s *fakeStore) Delete(_ context.Context, _, name string, expected uint64) error {
	return s.call("delete", func() error {
		o, ok := s.objects[name]
		if !ok {
			return store.ErrNotFound
		}
		if o.Version != expected {
			return &store.ErrConflict{Expected: expected, Current: o.Version}
		}
		delete(s.objects, name)
		return nil
	})
}

// setFaults sets a function that returns the fault of the nth call of an operation,
// from 0.
func (s *fakeStore) setFaults(f func(op string, n int) fault) {
	counts := map[string]int{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFault = nil
	if f != nil {
		s.nextFault = func(op string) fault {
			counts[op]++
			return f(op, counts[op]-1)
		}
	}
}

// testEntries is two entries that share a store.
type testEntries struct {
	c       *qt.C
	store   *fakeStore
	entries [2]*Claims
	now     func() time.Time
	mu      sync.Mutex
	runs    map[string]int
}

func newTestEntries(t *testing.T) *testEntries {
	s := &testEntries{c: qt.New(t), store: &fakeStore{objects: map[string]store.Object{}}, runs: map[string]int{}}
	for i, name := range []string{"a", "b"} {
		s.entries[i] = New(Config{
			Entry: name, Boot: 1, Store: s.store, Log: &log.Logger{Handler: discard.New()},
			ShouldSweep: func() bool { return true }, Now: s.clock, MaxWriteDelay: maxWriteDelay,
		})
		t.Cleanup(s.entries[i].Close)
	}
	return s
}

func (s *testEntries) clock() time.Time {
	if s.now != nil {
		return s.now()
	}
	return time.Now()
}

// run returns a Run that counts the run of a key and returns the key as its response.
func (s *testEntries) run(key string) Run {
	return func(context.Context) claim.RunResult {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs[key]++
		return claim.RunResult{Outcome: call.Ran, Response: claim.Response{Status: 200, Body: []byte(key), Complete: true}}
	}
}

func (s *testEntries) runCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// send sends a request with the key through an entry.
func (s *testEntries) send(entry int, key string, run Run) claim.Result {
	return s.entries[entry].Do(context.Background(), Request{
		Service: "deposit-ledger", Key: key, Fingerprint: 1, Deadline: time.Now().Add(3 * time.Second),
	}, run)
}

// waitSettled waits until no write of an outcome is pending.
func (s *testEntries) waitSettled() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, e := range s.entries {
		s.c.Assert(e.Flush(ctx), qt.IsNil)
	}
}
