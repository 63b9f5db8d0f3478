package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// The account of the quota case and the bounds of its rule.
const (
	quotaRate   = 20.0
	quotaBurst  = 20.0
	quotaWindow = 5 * time.Second
	quotaFactor = 0.1
	quotaSlack  = 20.0
	quotaHost   = "pay.example"
	quotaKey    = "h5mgjy5rcpihhacrudde"

	floodPerSecond = 120
	floodTime      = 15 * time.Second
)

// accountBounds are the bounds of a site with client accounts.
var accountBounds = []string{
	"drain=2500ms", "grace=6s", "configApply=2500ms", "retryBudgetRatio=0.2", "retryBudgetSlack=212", "budgetWindow=10s", "quotaWindow=5s",
	"quotaFactor=0.1", "quotaSlack=20", "revoke=5000ms", "strictRevoke=false", "probesPerS=42", "ttl_max=5s", "stableWindow=3000ms",
}

// playQuota replaces three of nine gateways, which are lost for good, by five new ones, and then sends
// more requests of one account than its limit allows.
func playQuota(record string, trouble bool) (broken bool, err error) {
	s, err := newSite(record, []string{"zone-a", "zone-b", "zone-c"}, accountBounds)
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range 8 {
		if _, err := s.addTarget("ledger", s.zones[i%3], 8, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	s.store.PutAccountConfig(12, []objects.Route{
		{Name: "r-read", Host: quotaHost, Prefix: "/read/", Timeout: "1000ms", TargetLatency: "400ms", Attempts: 2, Service: "ledger"},
	}, []string{"ledger"}, []objects.Account{{Name: "acme", Keys: []string{quotaKey}, Rate: quotaRate, Burst: quotaBurst}})

	var old []*gateway
	for i := range 9 {
		zone := s.zones[i%3]
		old = append(old, s.newGateway(fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone))
	}
	s.seeds = old[:3]
	for _, g := range old {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(old, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	s.log("records of gateways in the store: %v", s.store.Names("entries"))

	var added []*gateway
	for i := range 5 {
		added = append(added, s.newGateway(fmt.Sprintf("edge-%s-%d", s.zones[i%3], 4+i/3), s.zones[i%3]))
	}
	if trouble {
		for _, g := range old[:3] {
			g.signal(syscall.SIGKILL)
		}
	}
	for _, g := range added {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(added, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	s.log("records of gateways in the store: %v", s.store.Names("entries"))
	live := append(slices.Clone(old), added...)
	if trouble {
		live = live[3:]
	}
	for _, g := range live {
		s.log("%s names %v", g.name, g.resolve(quotaHost))
	}
	s.flood(live)
	return s.judgeQuota()
}

// flood sends requests of the account at a steady rate. Each client asks a gateway's directory and
// connects to one of the addresses that it names.
func (s *site) flood(live []*gateway) {
	var done sync.WaitGroup
	tick := time.NewTicker(time.Second / floodPerSecond)
	defer tick.Stop()
	end := time.Now().Add(floodTime)
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		g := live[i%len(live)]
		done.Go(func() {
			if addresses := g.resolve(quotaHost); len(addresses) > 0 {
				s.sendQuota(i, addresses[rand.IntN(len(addresses))])
			}
		})
	}
	done.Wait()
}

var floodClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *site) sendQuota(i int, address string) {
	id := fmt.Sprintf("q%06d", i)
	r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/read/%s", address, id), nil)
	r.Host = quotaHost
	r.Header.Set("Plumpitch-Request-Id", id)
	r.Header.Set("Plumpitch-Request-Deadline", "1500")
	r.Header.Set("Authorization", "Bearer "+quotaKey)
	sent := time.Now()
	res, err := floodClient.Do(r)
	if err != nil {
		s.log("sent %s to %s at %.3f: %v", id, address, sent.Sub(s.began).Seconds(), err)
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	s.log("sent %s to %s at %.3f: %d", id, address, sent.Sub(s.began).Seconds(), res.StatusCode)
}

// judgeQuota counts the runs of the account in each window.
func (s *site) judgeQuota() (broken bool, err error) {
	var runs []time.Time
	for _, t := range s.targets {
		for _, r := range t.Runs() {
			s.log("%s ran %s of account %q at %.3f", t.ID, r.Request, r.Account, r.StartedAt.Sub(s.began).Seconds())
			if r.Account == "acme" {
				runs = append(runs, r.StartedAt)
			}
		}
	}
	if len(runs) == 0 {
		return false, errors.New("no request has run")
	}
	slices.SortFunc(runs, time.Time.Compare)
	most, first := 0, 0
	for i := range runs {
		for runs[i].Sub(runs[first]) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaFactor) + quotaSlack
	s.log("QUOTA: most runs of the account in %v: %d, bound %.0f", quotaWindow, most, bound)
	fmt.Printf("most runs of the account in %v: %d, bound %.0f\n", quotaWindow, most, bound)
	return float64(most) > bound, nil
}
