package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// The load of the cold case and the bounds of its rule.
const (
	coldHost      = "menu.example"
	coldTargets   = 3
	coldPerSecond = 100 // requests to all targets
	coldWork      = 20 * time.Millisecond
	coldTime      = 3 * time.Second // the warm-up of the service
	coldRate      = 3.4             // warmupPerS
	coldFactor    = 1.5
	coldSlack     = 8
	coldCrash     = 20 // requests in a second that crash a cold target
	heartbeat     = 1500 * time.Millisecond
)

// coldTarget is a target of a service that doesn't tell its load.
type coldTarget struct {
	id, zone string
	listener net.Listener
	server   *http.Server
	began    time.Time

	mu        sync.Mutex
	coldFrom  time.Time
	coldUntil time.Time
	arrivals  []arrival
	crashed   bool
	lost      int
	conns     map[net.Conn]bool
	running   int
}

type arrival struct {
	id string
	at time.Time
}

func (t *coldTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		t.mu.Lock()
		left := time.Until(t.coldUntil)
		t.mu.Unlock()
		w.Header().Set("Plumpitch-Instance-Id", t.id)
		if left > 0 {
			w.Header().Set("Plumpitch-Warmup-Remaining", fmt.Sprintf("%dms", left.Milliseconds()))
		}
		return
	}
	id := r.Header.Get("Plumpitch-Request-Id")
	w.Header().Set("Plumpitch-Request-Id", id)
	if expected := r.Header.Get("Plumpitch-Target-Instance"); expected != "" && expected != t.id {
		w.Header().Set("Plumpitch-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.begin(id)
	time.Sleep(coldWork)
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	w.Header().Set("Plumpitch-Response-Signature", "signed-by-"+t.id)
	fmt.Fprintf(w, "ran %s", r.URL.Path)
}

// begin notes a request. A cold target that gets far too many of them crashes: it loses all that it runs,
// and isn't back before the end of the case.
func (t *coldTarget) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.arrivals = append(t.arrivals, arrival{id, now})
	t.running++
	if n := len(t.arrivals) - 1 - coldCrash; now.Before(t.coldUntil) && n >= 0 && t.arrivals[n].at.After(t.coldFrom) && now.Sub(t.arrivals[n].at) < time.Second {
		t.crashed = true
		t.lost += t.running
		t.listener.Close()
		for c := range t.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

func (t *coldTarget) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.arrivals)
}

// turnCold makes the target cold for the time of a warm-up.
func (t *coldTarget) turnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldFrom = time.Now()
	t.coldUntil = t.coldFrom.Add(coldTime)
}

// beat writes the target's record again and again.
func (t *coldTarget) beat(store *objects.Store, stop <-chan struct{}) {
	for {
		t.mu.Lock()
		left, crashed := max(time.Until(t.coldUntil), 0), t.crashed
		t.mu.Unlock()
		if crashed {
			return
		}
		store.PutTarget(objects.Target{ID: t.id, Address: t.listener.Addr().String(), Service: "menu", Place: t.zone, Slots: 4, StartedMillis: t.began.UnixMilli(), Warmup: left})
		select {
		case <-time.After(heartbeat):
		case <-stop:
			return
		}
	}
}

func newColdTarget(id, zone string) (t *coldTarget, err error) {
	t = &coldTarget{id: id, zone: zone, began: time.Now(), conns: make(map[net.Conn]bool)}
	if t.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: t, ConnState: func(c net.Conn, s http.ConnState) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if s == http.StateClosed {
			delete(t.conns, c)
		} else {
			t.conns[c] = true
		}
	}}
	go func() { _ = t.server.Serve(t.listener) }()
	return t, nil
}

// playCold has a target turn cold at a time between two of its heartbeats.
func playCold(record string, trouble bool) (broken bool, err error) {
	s, err := newSite(record, []string{"zone-a", "zone-b", "zone-c"}, []string{
		"drain=2500ms", "grace=6s", "configApply=2500ms", "retryBudgetRatio=0.2", "retryBudgetSlack=180", "budgetWindow=10s", "ttl_max=5s", "stableWindow=3000ms",
		"warmupFactor=1.5", "warmupSlack=8", "probesPerS=42",
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	stop := make(chan struct{})
	defer close(stop)
	var targets []*coldTarget
	for i := range coldTargets {
		t, err := newColdTarget(fmt.Sprintf("i-menu-%d", i), s.zones[i%3])
		if err != nil {
			return false, err
		}
		defer t.server.Close()
		targets = append(targets, t)
		go t.beat(s.store, stop)
	}
	s.store.PutConfig(12, []objects.Route{
		{Name: "r-menu", Host: coldHost, Prefix: "/menu/", Timeout: "1000ms", TargetLatency: "400ms", Attempts: 2, Service: "menu"},
	}, []string{"menu"})
	for _, zone := range s.zones {
		s.seeds = append(s.seeds, s.newGateway("edge-"+zone+"-1", zone))
	}
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(s.gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	time.AfterFunc(6*time.Second, func() {
		if trouble {
			busiest := slices.MaxFunc(targets, func(x, y *coldTarget) int { return cmp.Compare(x.count(), y.count()) })
			busiest.turnCold()
			s.log("%s is cold", busiest.id)
		}
	})
	s.browse(14 * time.Second)
	return s.judgeCold(targets)
}

// browse sends requests at a steady rate, by clients that keep their connections.
func (s *site) browse(d time.Duration) {
	addresses := s.gateways[0].resolve(coldHost)
	const clients = 20
	var done sync.WaitGroup
	end := time.Now().Add(d)
	for i := range clients {
		done.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / coldPerSecond)
			tick := time.NewTicker(clients * time.Second / coldPerSecond)
			defer tick.Stop()
			var c net.Conn
			var br *bufio.Reader
			for n := 0; time.Now().Before(end); n++ {
				<-tick.C
				if c == nil {
					var err error
					if c, err = net.DialTimeout("tcp", addresses[rand.IntN(len(addresses))], time.Second); err != nil {
						continue
					}
					br = bufio.NewReader(c)
				}
				id := fmt.Sprintf("c%02d-%04d", i, n)
				status, keep := s.exchange(c, br, id)
				s.log("%s: sent and answered, status %d", id, status)
				if !keep {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		})
	}
	done.Wait()
}

func (s *site) exchange(c net.Conn, br *bufio.Reader, id string) (status int, keep bool) {
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET /menu/%s HTTP/1.1\r\nHost: %s\r\nPlumpitch-Request-Id: %s\r\nPlumpitch-Request-Deadline: 1500\r\n\r\n", id, coldHost, id)
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err == nil && !res.Close
}

// judgeCold counts the requests that each target got within any second while it was cold.
func (s *site) judgeCold(targets []*coldTarget) (broken bool, err error) {
	bound := coldRate*coldFactor + coldSlack
	total, worst := 0, 0
	for _, t := range targets {
		t.mu.Lock()
		var cold []time.Time
		for _, a := range t.arrivals {
			total++
			isCold := a.at.After(t.coldFrom) && a.at.Before(t.coldUntil)
			if isCold {
				cold = append(cold, a.at)
			}
			s.log("%s ran %s at %.3f, cold: %t", t.id, a.id, a.at.Sub(s.began).Seconds(), isCold)
		}
		most, first := 0, 0
		for i := range cold {
			for cold[i].Sub(cold[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		worst = max(worst, most)
		s.log("FAILBACK: %s got %d requests, %d while it was cold, at most %d of these in a second, bound %.1f; it crashed: %t, with %d requests", t.id, len(t.arrivals), len(cold), most, bound, t.crashed, t.lost)
		t.mu.Unlock()
	}
	if total == 0 {
		return false, errors.New("no request has run")
	}
	fmt.Printf("most requests to a cold target in a second: %d, bound %.1f\n", worst, bound)
	return float64(worst) > bound, nil
}
