package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of the stall case: the work between the parts of a response, as usual and of a slow target.
const (
	usualWork  = 9 * time.Second
	slowFactor = 4 // as srv_slow
	stallCount = 8
	stallBound = 3
)

// playStall has a target be four times as slow as usual while it works on long responses.
func playStall(record string, trouble bool) (broken bool, err error) {
	s, err := newSite(record, []string{"zone-a", "zone-b"}, []string{
		"drain=2000ms", "grace=6s", "configApply=2000ms", "retryBudgetRatio=0.2", "retryBudgetSlack=56", "budgetWindow=10s", "ttl_max=5s", "stableWindow=3000ms", "probesPerS=60",
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	work := usualWork
	if trouble {
		work *= slowFactor
	}
	t, end, err := s.startArchive(work, "60s", "50s")
	if err != nil {
		return false, err
	}
	defer end()
	var done sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range stallCount {
		g := s.gateways[i%len(s.gateways)]
		done.Go(func() {
			complete, closed := s.fetch(fmt.Sprintf("f%03d", i), g)
			if !complete && closed {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	done.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.runs) < stallCount {
		return false, errors.New("too few requests have run")
	}
	for _, id := range slices.Sorted(maps.Keys(t.runs)) {
		d := t.runs[id]
		s.log("%s ran from %.3f to %.3f, connection closed before its end: %t", id, d.began.Sub(s.began).Seconds(), d.ended.Sub(s.began).Seconds(), d.closed)
	}
	s.log("LOST: %d of %d requests were passed on and their connections closed without a complete answer, bound %d", lost, stallCount, stallBound)
	fmt.Printf("connections closed without a complete answer: %d of %d, bound %d\n", lost, stallCount, stallBound)
	return lost > stallBound, nil
}

// fetch sends a request on a kept connection, behind one that has been answered, and reads its response. It reports
// whether the response is complete, and whether the gateway closed the connection.
func (s *site) fetch(id string, g *gateway) (complete, closed bool) {
	c, err := net.DialTimeout("tcp", g.front(), time.Second)
	if err != nil {
		s.log("%s: %v", id, err)
		return false, false
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for _, path := range []string{"/never-existed/", "/archive/"} {
		fmt.Fprintf(c, "GET %s%s HTTP/1.1\r\nHost: %s\r\nPlumpitch-Request-Id: %s%c\r\nPlumpitch-Request-Deadline: 70000\r\n\r\n", path, id, streamHost, id, path[1])
		sent := time.Now()
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			s.log("%s: sent %s to %s, no response: %v", id, path, g.name, err)
			return false, true
		}
		n, err := io.Copy(io.Discard, res.Body)
		s.log("%s: sent %s to %s, status %d, %d of %d bytes, end %v, after %.3f s", id, path, g.name, res.StatusCode, n, res.ContentLength, err, time.Since(sent).Seconds())
		if err != nil {
			return false, errors.Is(err, io.ErrUnexpectedEOF)
		}
		complete = res.StatusCode == http.StatusOK && n == streamTotal
	}
	return complete, false
}
