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

// oldProgram is the environment variable with the path of the program to upgrade from,
// which scripts/upgrade.sh builds from an earlier commit. If it is unset, the test upgrades
// from the current program.
const oldProgram = "PLUMPITCH_OLD"

// Gateways are upgraded one after the other while callers send requests and the
// configuration changes. Old and new gateways run side by side and must understand each
// other's messages: no request may fail, and each configuration must be in force at all
// gateways within 2 s.
func TestUpgradeInTurn(t *testing.T) {
	t.Parallel()
	s := newGatewaySite(t, 4)
	old := os.Getenv(oldProgram)
	if old == "" {
		old = program(t)
	}
	for range 3 {
		s.start(old)
	}
	callers := s.startCallers(6)
	for _, g := range s.gateways {
		s.changeConfiguration()
		s.upgrade(g)
		s.changeConfiguration()
	}
	failed, sent := callers.stopAndWait()
	s.q.Assert(failed, qt.HasLen, 0)
	s.q.Assert(sent > 300, qt.IsTrue)
}

// changeConfiguration stores a newer configuration and waits until it is in force at all
// gateways.
func (s *gatewaySite) changeConfiguration() {
	s.t.Helper()
	s.configure()
	began := time.Now()
	for _, g := range s.gateways {
		for !strings.Contains(g.logText(), fmt.Sprintf(`"version":%d`, s.version)) {
			if time.Since(began) > 2*time.Second {
				s.t.Fatalf("%s doesn't have version %d after %v", g.name, s.version, time.Since(began))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// upgrade stops a gateway and restarts it with the current program.
func (s *gatewaySite) upgrade(g *gatewayProcess) {
	s.t.Helper()
	g.signal(syscall.SIGTERM)
	s.q.Assert(<-g.exited, qt.IsNil)
	out, err := os.OpenFile(g.log, os.O_APPEND|os.O_WRONLY, 0o600)
	s.q.Assert(err, qt.IsNil)
	s.run(g, program(s.t), out)
	eventually(s.t, g.name+" ready again", g.ready)
}

// callerLoad is a set of callers. Until they are stopped, they send requests to the address
// that the directory returns.
type callerLoad struct {
	stop    chan struct{}
	senders sync.WaitGroup

	mu     sync.Mutex
	sent   int
	failed []string
}

func (s *gatewaySite) startCallers(n int) *callerLoad {
	c := &callerLoad{stop: make(chan struct{})}
	for i := range n {
		c.senders.Go(func() { c.send(s, i) })
	}
	return c
}

func (c *callerLoad) send(s *gatewaySite, i int) {
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

// resolve returns the first address of a resolve response, from the first gateway that
// returns one.
func (s *gatewaySite) resolve() string {
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

// sendTo sends one request on a separate connection. dialled is false if the connection
// was refused.
func sendTo(address, id string) (status int, dialled bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/book", strings.NewReader("veil"))
	if err != nil {
		return 0, true
	}
	r.Host = "veil.example"
	r.Header.Set(platform.HeaderRequestID, id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	res, err := client.Do(r)
	if err != nil {
		return 0, !strings.Contains(err.Error(), "connection refused")
	}
	res.Body.Close()
	return res.StatusCode, true
}

func (c *callerLoad) stopAndWait() (failed []string, sent int) {
	close(c.stop)
	c.senders.Wait()
	return c.failed, c.sent
}
