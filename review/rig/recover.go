package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// The account of the recovery case, the load, and the bounds of its rule.
const (
	recoverRate      = 200.0
	recoverBurst     = 200.0
	recoverPerSecond = 30
	recoverBound     = 15 * time.Second
	recoverShare     = 0.25
	loadTime         = 8 * time.Second
	powerLossTime    = 1500 * time.Millisecond
)

// playRecover kills all five gateways, of which two come back, and then counts what is served of the
// requests of an account that stays far below its limit.
func playRecover(record string, trouble bool) (broken bool, err error) {
	s, err := newSite(record, []string{"zone-a", "zone-b", "zone-c"}, accountBounds)
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range 6 {
		if _, err := s.addTarget("ledger", s.zones[i%3], 8, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	s.store.PutAccountConfig(12, []objects.Route{
		{Name: "r-read", Host: quotaHost, Prefix: "/read/", Timeout: "1000ms", TargetLatency: "400ms", Attempts: 2, Service: "ledger"},
	}, []string{"ledger"}, []objects.Account{{Name: "acme", Keys: []string{quotaKey}, Rate: recoverRate, Burst: recoverBurst}})
	for i := range 5 {
		zone := s.zones[i%3]
		s.newGateway(fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone)
	}
	s.seeds = s.gateways[:3]
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(s.gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	before := s.load(s.gateways)
	s.log("before the fault %.3f of the requests are served", before)
	live := s.gateways
	if trouble {
		for _, g := range s.gateways {
			g.signal(syscall.SIGKILL)
		}
		time.Sleep(powerLossTime)
		live = nil
		for _, g := range s.gateways[3:5] {
			again := s.newGateway(g.name, g.zone)
			again.ip = g.ip
			if err := again.start(); err != nil {
				return false, err
			}
			live = append(live, again)
		}
	}
	if err := awaitReady(live, 10*time.Second); err != nil {
		return false, err
	}
	s.log("the gateways are back")
	time.Sleep(recoverBound)
	after := s.load(live)
	s.log("RECOVER: %.3f of the requests are served later than %v after the gateways are back, bound %.2f", after, recoverBound, recoverShare)
	fmt.Printf("served before the fault: %.3f, later than %v after it: %.3f\n", before, recoverBound, after)
	if before < recoverShare {
		return false, errors.New("too little was served before the fault")
	}
	return after < recoverShare, nil
}

// load sends requests of the account at a steady rate and returns the share that is served. Clients ask
// gateways' directories for addresses, and repeat a request that was refused, as it says, within its deadline.
func (s *site) load(live []*gateway) (served float64) {
	var done sync.WaitGroup
	var mu sync.Mutex
	sent, ok := 0, 0
	tick := time.NewTicker(time.Second / recoverPerSecond)
	defer tick.Stop()
	for end := time.Now().Add(loadTime); time.Now().Before(end); {
		<-tick.C
		sent++
		s.lastID++
		id := s.lastID
		done.Go(func() {
			if s.request(id, live) {
				mu.Lock()
				defer mu.Unlock()
				ok++
			}
		})
	}
	done.Wait()
	return float64(ok) / float64(max(sent, 1))
}

// request sends a request with at most two repetitions and reports whether it was served.
func (s *site) request(id int, live []*gateway) bool {
	const deadline, tries = 1500 * time.Millisecond, 3
	began := time.Now()
	for try := range tries {
		var addresses []string
		for _, i := range rand.Perm(len(live)) {
			if addresses = live[i].resolve(quotaHost); len(addresses) > 0 {
				break
			}
		}
		left := deadline - time.Since(began)
		if len(addresses) == 0 || left <= 0 {
			s.log("r%05d: no address", id)
			return false
		}
		address := addresses[rand.IntN(len(addresses))]
		attempt := fmt.Sprintf("r%05d-%d", id, try)
		r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/read/%d", address, id), nil)
		r.Host = quotaHost
		r.Header.Set("Plumpitch-Request-Id", attempt)
		r.Header.Set("Plumpitch-Request-Deadline", fmt.Sprint(left.Milliseconds()))
		r.Header.Set("Authorization", "Bearer "+quotaKey)
		res, err := floodClient.Do(r)
		if err != nil {
			s.log("%s to %s: %v", attempt, address, err)
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		s.log("%s to %s: %d %s", attempt, address, res.StatusCode, res.Header.Get("Plumpitch-Reason"))
		if res.StatusCode == http.StatusOK {
			return true
		}
		var wait float64
		_, _ = fmt.Sscan(res.Header.Get("Retry-After"), &wait)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), (deadline-time.Since(began))/3))
	}
	return false
}
