package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// entryDoors are the listeners of an entry and what clients send there.
var entryDoors = []struct {
	name string
	path string
	addr func(c *cluster) string
}{
	{"callers", "/v1/call/" + testService + "/deposits", func(c *cluster) string { return c.callers(0) }},
	{"callers without a service", "/none", func(c *cluster) string { return c.callers(0) }},
	{"operators", "/v1/status", func(c *cluster) string { return c.operators(0) }},
	{"peers", "/twirp/plumpitch.peer.Peer/Gossip", func(c *cluster) string { return c.peers(0) }},
}

// Guards against clients that end an entry, or keep it from serving others, by what they send or leave
// unread.
func TestEntryClientsThatDontBehave(t *testing.T) {
	for i, kind := range misbehaviours {
		for j, d := range entryDoors {
			if !*allDoors && (i+j)%(2*len(entryDoors)) != 0 {
				continue
			}
			t.Run(d.name+"/"+kind.name, func(t *testing.T) {
				t.Parallel()
				c := newStore(t)
				c.vm, c.ip = smallVM, nextLoopbackAddr()
				if *users {
					c.vm = usersVM
				}
				if !*allCores {
					c.env = []string{"GOMAXPROCS=1"}
				}
				c.startTarget(t, time.Millisecond, "--platform", c.store)
				c.startTarget(t, time.Millisecond, "--platform", c.store)
				c.startEntries(t, 1)
				playEntry(t, c, kind, d.path, d.addr(c))
			})
		}
	}
}

// playEntry plays a kind of clients beside ordinary callers and look-ups, and then single requests.
func playEntry(t *testing.T, c *cluster, kind misbehaviour, path, address string) {
	q, e := qt.New(t), c.entries[0]
	ctx, cancel := context.WithTimeout(t.Context(), clientsLoadTime)
	defer cancel()
	calls, lookups, checks := &tally{}, &tally{}, &tally{}
	var all sync.WaitGroup
	repeat := func(counts *tally, send func() bool) {
		all.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(ordinaryPause) {
				began := time.Now()
				counts.add(send(), time.Since(began))
			}
		})
	}
	for range ordinaryCallers {
		repeat(calls, func() bool {
			a := c.post(0, newKey(), ordinaryTimeout)
			if a.status == http.StatusServiceUnavailable {
				a = c.post(0, newKey(), ordinaryTimeout)
			}
			return a.status == http.StatusOK
		})
	}
	fetch := func(url string) func() bool {
		client := &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		return func() bool {
			res, err := client.Get(url)
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		}
	}
	repeat(lookups, fetch("http://"+c.callers(0)+"/v1/locate?service="+testService))
	repeat(checks, fetch("http://"+c.operators(0)+"/v1/status"))
	stop := startAttacker(t, kind, address, path, c.vm.clients)
	limit := int64(c.vm.memoryMB) * 1e6
	var most usage
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		u := usageOf(e.cmd.Process.Pid, c.ip)
		u.sum = u.anon + u.unread + u.unsent
		most.sum, most.sockets = max(most.sum, u.sum), max(most.sockets, u.sockets)
		if u.sum > limit {
			e.signal(syscall.SIGKILL)
			break
		}
	}
	all.Wait()
	t.Logf("%d connections; at most %d MB in all, %d descriptors", stop(), most.sum/1e6, most.sockets)
	t.Logf("callers: %v; look-ups: %v; status: %v", calls, lookups, checks)
	q.Assert(most.sum <= limit, qt.IsTrue, qt.Commentf("the entry is beyond its memory: %d bytes", most.sum))
	q.Check(most.sockets <= int64(c.vm.maxFds), qt.IsTrue)
	for _, s := range []struct {
		name  string
		tally *tally
	}{{"callers", calls}, {"look-ups", lookups}, {"status", checks}} {
		served, failed := s.tally.served.Load(), s.tally.failed.Load()
		q.Check(served >= 9*failed && served > 0, qt.IsTrue, qt.Commentf("%s: %v", s.name, s.tally))
	}
	time.Sleep(200 * time.Millisecond) // connections of the load end
	q.Check(c.post(0, newKey(), singleTimeout).status, qt.Equals, http.StatusOK)
	q.Check(c.get(0, newKey(), singleTimeout).status, qt.Equals, http.StatusOK)
}
