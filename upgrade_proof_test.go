package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/platform"
)

// oldProgram is the environment variable that names the program to upgrade from;
// scripts/upgrade.sh builds it from an earlier commit. Without it the present one
// stands for both.
const oldProgram = "PLUMPITCH_OLD"

// Gateways are upgraded in turn while callers send and the operators change the
// configuration. Old and new ones run side by side: each must take the other's
// word, so that no request is cut, and every change is in force everywhere
// within 2 s.
func TestUpgradeInTurn(t *testing.T) {
	t.Parallel()
	s := newStudio(t, 4)
	old := os.Getenv(oldProgram)
	if old == "" {
		old = program(t)
	}
	for range 3 {
		s.start(old)
	}
	callers := s.call(6)
	for _, g := range s.gateways {
		s.change()
		s.upgrade(g)
		s.change()
	}
	failed, sent := callers.end()
	s.q.Assert(failed, qt.HasLen, 0)
	s.q.Assert(sent > 300, qt.IsTrue)
}

// change puts a newer configuration and waits until it is in force everywhere.
func (s *studio) change() {
	s.t.Helper()
	s.configure()
	began := time.Now()
	for _, g := range s.gateways {
		for !strings.Contains(g.text(), fmt.Sprintf(`"version":%d`, s.version)) {
			if time.Since(began) > 2*time.Second {
				s.t.Fatalf("%s doesn't have version %d after %v", g.name, s.version, time.Since(began))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// upgrade stops a gateway and starts the present program in its place.
func (s *studio) upgrade(g *gatewayProcess) {
	s.t.Helper()
	g.signal(syscall.SIGTERM)
	s.q.Assert(<-g.ended, qt.IsNil)
	out, err := os.OpenFile(g.log, os.O_APPEND|os.O_WRONLY, 0o600)
	s.q.Assert(err, qt.IsNil)
	s.run(g, program(s.t), out)
	eventually(s.t, g.name+" ready again", g.ready)
}

// callers send without end, each to where the directory sends it.
type callers struct {
	stop chan struct{}
	all  sync.WaitGroup

	mu     sync.Mutex
	sent   int
	failed []string
}

func (s *studio) call(n int) *callers {
	c := &callers{stop: make(chan struct{})}
	for i := range n {
		c.all.Go(func() { c.send(s, i) })
	}
	return c
}

func (c *callers) send(s *studio, i int) {
	address, until := "", time.Time{}
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if time.Now().After(until) {
			address, until = s.resolve(), time.Now().Add(time.Second)
		}
		if address == "" {
			until = time.Time{}
			continue
		}
		status, dialled := sendTo(address, fmt.Sprint(i, "-", n))
		if !dialled {
			until = time.Time{}
			continue
		}
		c.mu.Lock()
		c.sent++
		if status != http.StatusOK {
			c.failed = append(c.failed, fmt.Sprint(address, " ", status))
		}
		c.mu.Unlock()
	}
}

// resolve asks any gateway where to connect.
func (s *studio) resolve() string {
	for _, g := range s.gateways {
		res, err := http.Get("http://" + g.ip + ":8546/resolve?name=veil.example")
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(res.Body).Decode(&a)
		res.Body.Close()
		if err == nil && len(a.Addresses) > 0 {
			return a.Addresses[0]
		}
	}
	return ""
}

// sendTo makes one attempt on a connection of its own.
func sendTo(address, id string) (status int, dialled bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/book", strings.NewReader("veil"))
	if err != nil {
		return 0, true
	}
	r.Host = "veil.example"
	r.Header.Set(platform.HeaderRequest, id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	res, err := client.Do(r)
	if err != nil {
		return 0, !strings.Contains(err.Error(), "connection refused")
	}
	res.Body.Close()
	return res.StatusCode, true
}

func (c *callers) end() (failed []string, sent int) {
	close(c.stop)
	c.all.Wait()
	return c.failed, c.sent
}
