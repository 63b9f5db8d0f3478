package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An entry boots while the store, which also serves the VM list, is down. It gets the
// settings from its peers, but has no targets and refuses all requests. Locate responses
// may name it only once it can serve: every entry in any locate response must answer.
func TestEntryBootedInStoreOutageServesOnceNamed(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newCluster(t, 2, 2, time.Millisecond)
	code, out := s.runCommand(t, 0, "settings", "set", servicePath, "entries", "3", "--wait")
	q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	s.setFaults(t, `{"down":true}`)
	n := s.startEntry(t)
	s.awaitRevision(t, s.revision(0), time.Now(), n)
	eventually(t, "every entry sees the new one as live", func() bool { return s.liveEntries(0) == 3 && s.liveEntries(1) == 3 && s.liveEntries(n) == 3 })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for queried := range s.entries {
			for _, named := range s.preferredEntries(t, queried) {
				id := newKey()
				a := s.get(named, id, 5*time.Second)
				q.Assert(a.complete(id), qt.IsTrue, qt.Commentf("named by entry %d, entry %d: %+v", queried, named, a))
			}
		}
	}
	s.setFaults(t, `{}`)
	eventually(t, "the new entry is named once the store is back", func() bool { return len(s.preferredEntries(t, 0)) == 3 && len(s.preferredEntries(t, n)) == 3 })
}

// liveEntries returns the number of entries that an entry sees as live.
func (c *cluster) liveEntries(n int) (count int) {
	var s struct {
		Entries []struct {
			Live bool `json:"live"`
		} `json:"entries"`
	}
	_ = getJSON("http://"+c.operators(n)+"/v1/status", &s)
	for _, e := range s.Entries {
		if e.Live {
			count++
		}
	}
	return count
}
