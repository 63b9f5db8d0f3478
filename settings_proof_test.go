package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/pkg/tree"
)

// servicePath is the path of the tested service in the settings tree.
const servicePath = "/swanbourne/" + testService

// inForceBound is the time within which an accepted edit must be in force at every entry.
const inForceBound = 13 * time.Second

// An edit is accepted at one entry and the store fails right after it, in two cases with
// watches that have been silent since before the edit. The other entries can receive the
// edit only from their peers. It must be in force there within inForceBound, and also at
// an entry that boots during the outage.
func TestAcceptedEditIsInForceDespiteStoreFailure(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, before, after string }{
		{"down", `{}`, `{"down":true}`},
		{"watches silent, then down", `{"silent":true}`, `{"silent":true,"down":true}`},
		{"watches silent, then slow", `{"silent":true}`, `{"silent":true,"delay":"30s"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			q := qt.New(t)
			s := newCluster(t, 2, 3, time.Millisecond)
			s.setFaults(t, c.before)
			began := time.Now()
			code, out := s.runCommand(t, 1, "settings", "set", servicePath, "timeout", "4s")
			s.setFaults(t, c.after)
			q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
			took := s.awaitRevision(t, s.revision(1), began, 0, 1, 2)
			t.Logf("edit in force at the last of 3 entries %v after the command began", took)
			q.Check(took < inForceBound, qt.IsTrue, qt.Commentf("took %v", took))
			q.Check(s.value(t, 2, "timeout"), qt.Equals, "4s")

			began = time.Now()
			n := s.startEntry(t)
			took = s.awaitRevision(t, s.revision(1), began, n)
			t.Logf("entry booted during the outage has the settings after %v", took)
			q.Check(took < inForceBound, qt.IsTrue, qt.Commentf("took %v", took))
			q.Check(s.value(t, n, "timeout"), qt.Equals, "4s")
		})
	}
}

// The store comes back with an older settings document than it had accepted. No entry's
// revision may go down, the entries must write the newest document back, and an entry that
// boots afterwards must have the newest one.
func TestOlderStoreRevertsNothing(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 1, 3, time.Millisecond)
	old := s.stored(t)
	for _, timeout := range []string{"4s", "3s"} {
		code, out := s.runCommand(t, 1, "settings", "set", servicePath, "timeout", timeout, "--wait")
		q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	}
	newest := s.revision(1)
	stop := s.watchRevisions(t, 0, 1, 2)
	s.setFaults(t, `{"down":true}`)
	s.admin(t, fmt.Sprintf("/rollback?to=%d", old.Version), "")
	q.Assert(s.stored(t).Revision < newest, qt.IsTrue)
	s.setFaults(t, `{}`)
	began := time.Now()
	eventually(t, "the store has the newest document again", func() bool { return s.stored(t).Revision >= newest })
	t.Logf("the store has the newest document after %v", time.Since(began))
	n := s.startEntry(t)
	s.awaitRevision(t, newest, time.Now(), n)
	q.Check(stop(), qt.HasLen, 0)
	for n := range s.entries {
		q.Check(s.value(t, n, "timeout"), qt.Equals, "3s")
	}
}

// Two operators set the same value at the same time through two entries, based on the same
// revision. One edit must be accepted, and the other rejected with a conflict message that
// shows both values.
func TestConcurrentEditsReportConflict(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 1, 3, time.Millisecond)
	for _, c := range []struct{ field, one, other string }{
		{"timeout", "3s", "4s"},
		{"slots", "3", "5"},
		{"queue", "301", "402"},
	} {
		base := fmt.Sprint(s.revision(0))
		s.awaitRevision(t, s.revision(0), time.Now(), 0, 1, 2)
		var codes [2]int
		var outs [2]string
		var race sync.WaitGroup
		for n, value := range []string{c.one, c.other} {
			race.Go(func() {
				codes[n], outs[n] = s.runCommand(t, n, "settings", "set", servicePath, c.field, value, "--base", base, "--wait")
				if codes[n] == exitOK {
					s.checkEverywhere(t, c.field, value)
				}
			})
		}
		race.Wait()
		comment := qt.Commentf("%q", outs)
		q.Assert(codes[0]+codes[1], qt.Equals, exitOK+exitConflict, comment)
		lost := outs[0]
		if codes[1] == exitConflict {
			lost = outs[1]
		}
		q.Check(strings.Contains(lost, c.one) && strings.Contains(lost, c.other), qt.IsTrue, comment)
	}
}

// An entry is paused while an edit is accepted at another one. The command with --wait
// must not report the edit as in force everywhere before the paused entry has it.
func TestWaitReturnsWhenInForceEverywhere(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 1, 3, time.Millisecond)
	s.entries[2].signal(syscall.SIGSTOP)
	var code int
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		code, _ = s.runCommand(t, 0, "settings", "set", servicePath, "timeout", "4s", "--wait")
	}()
	eventually(t, "the edit is in force at the other entries", func() bool { return s.value(t, 0, "timeout") == "4s" && s.value(t, 1, "timeout") == "4s" })
	select {
	case <-returned:
		t.Error("returned before the paused entry had the edit")
	case <-time.After(500 * time.Millisecond):
	}
	s.entries[2].signal(syscall.SIGCONT)
	<-returned
	q.Assert(code, qt.Equals, exitOK)
	s.checkEverywhere(t, "timeout", "4s")
}

// checkEverywhere checks a value at every entry, without waiting for it.
func (c *cluster) checkEverywhere(t *testing.T, field, value string) {
	t.Helper()
	for n := range c.entries {
		qt.Check(t, c.value(t, n, field), qt.Equals, value, qt.Commentf("entry %d after --wait", n))
	}
}

// value returns the value in force at an entry for a setting of the tested service.
func (c *cluster) value(t *testing.T, n int, field string) string {
	t.Helper()
	node, err := (settings.Client{Addr: c.operators(n)}).Get(t.Context(), servicePath)
	qt.Check(t, err, qt.IsNil)
	for _, v := range node.Values {
		if v.Field == field {
			return v.Value
		}
	}
	return ""
}

// awaitRevision waits until a revision is in force at the entries and returns the time
// since began.
func (c *cluster) awaitRevision(t *testing.T, revision uint64, began time.Time, entries ...int) time.Duration {
	t.Helper()
	for _, n := range entries {
		eventually(t, fmt.Sprintf("entry %d has revision %d", n, revision), func() bool { return c.revision(n) >= revision })
	}
	return time.Since(began)
}

// watchRevisions polls the entries' revisions until stop is called. stop returns a line
// for each time that a revision went down.
func (c *cluster) watchRevisions(t *testing.T, entries ...int) (stop func() []string) {
	t.Helper()
	ended := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	var down []string
	for _, n := range entries {
		addr := c.operators(n)
		all.Go(func() {
			for last := uint64(0); ; time.Sleep(10 * time.Millisecond) {
				select {
				case <-ended:
					return
				default:
				}
				r := revisionAt(addr)
				if r > 0 && r < last {
					mu.Lock()
					down = append(down, fmt.Sprintf("entry %d: %d after %d", n, r, last))
					mu.Unlock()
				}
				last = max(last, r)
			}
		})
	}
	return func() []string {
		close(ended)
		all.Wait()
		return down
	}
}

// storedSettings is the version of the settings object and the revision in it.
type storedSettings struct {
	Version  uint64
	Revision uint64
}

// stored reads the settings object from the store. The revision is 0 if it can't be read.
func (c *cluster) stored(t *testing.T) (s storedSettings) {
	t.Helper()
	var o struct {
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	if getJSON(c.store+"/v1/objects/"+settings.Kind+"/"+settings.Name, &o) != nil || o.Version == 0 {
		return s
	}
	d, err := tree.Decode(o.Value)
	qt.Assert(t, err, qt.IsNil)
	return storedSettings{o.Version, d.Revision}
}
