package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
	"plumpitch.example/plumpitch/platform"
)

// gatewaySite is a site of gateway processes with fakes of the users' platform.
type gatewaySite struct {
	q        *qt.C
	t        *testing.T
	store    *objects.Store
	url      string
	workers  []*worker.Worker
	gateways []*gatewayProcess
	version  int
	memoryMB int      // memory of the gateways in their settings; 0 for none
	maxFds   int      // descriptors of the gateways in their settings; 0 for none
	bounds   string   // further bounds of the gateways' settings
	env      []string // further variables of the gateways' environment
}

// gatewayProcess is one gateway process, whose output goes to a file.
type gatewayProcess struct {
	name   string
	ip     string
	boot   string // path of its settings file
	log    string // path of its log
	cmd    *exec.Cmd
	exited chan error
}

// lastLoopbackAddr is the number of the last loopback address in use.
var lastLoopbackAddr atomic.Int64

// nextLoopbackAddr returns an address that no other process of the tests has, so that settings can use
// fixed ports.
func nextLoopbackAddr() string {
	n := lastLoopbackAddr.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, n/250, 1+n%250)
}

func newGatewaySite(t *testing.T, targets int) *gatewaySite {
	t.Helper()
	s := &gatewaySite{q: qt.New(t), t: t, store: objects.New()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	s.url = strings.TrimPrefix(server.URL, "http://")
	for i := range targets {
		w, err := worker.Start(fmt.Sprint("i-", i))
		s.q.Assert(err, qt.IsNil)
		t.Cleanup(w.Close)
		s.workers = append(s.workers, w)
		s.store.PutTarget(objects.Target{ID: w.ID, Address: w.Address(), Service: "gowns", Place: "hall", Slots: w.Slots})
	}
	s.configure()
	return s
}

func (s *gatewaySite) configure() {
	s.version++
	s.store.PutConfig(s.version, []objects.Route{{
		Name: "r-a", Host: "veil.example", Prefix: "/a/", NonIdempotent: true, Timeout: "2s", TargetLatency: "200ms", Attempts: 2, Service: "gowns",
	}}, []string{"gowns"})
}

const bootSettings = `
nodeName: "%[1]s"
zone: hall
region: metro
ip: "%[2]s"
listen: {front: "%[2]s:8548", ready: "%[2]s:8542", directory: "%[2]s:8546"}
internalPorts: [7540, 7555]
limits: {cpuShare: 1, memoryMb: %[5]d, maxFds: %[6]d}
bounds: ["grace=%[3]s"%[7]s]
platform: {address: "%[4]s"}
`

// start starts a gateway from the given program and waits until it is ready.
func (s *gatewaySite) start(program string) *gatewayProcess {
	s.t.Helper()
	g := &gatewayProcess{name: fmt.Sprint("gateway-", len(s.gateways)), ip: nextLoopbackAddr(), exited: make(chan error, 1)}
	dir := s.t.TempDir()
	g.boot, g.log = filepath.Join(dir, "boot.yaml"), filepath.Join(dir, "log")
	s.writeSettings(g, "3s")
	out, err := os.Create(g.log)
	s.q.Assert(err, qt.IsNil)
	s.run(g, program, out)
	s.gateways = append(s.gateways, g)
	eventually(s.t, g.name+" ready", func() bool { return g.ready() })
	return g
}

func (s *gatewaySite) writeSettings(g *gatewayProcess, grace string) {
	text := fmt.Sprintf(bootSettings, g.name, g.ip, grace, s.url, s.memoryMB, s.maxFds, s.bounds)
	s.q.Assert(os.WriteFile(g.boot, []byte(text), 0o600), qt.IsNil)
}

func (s *gatewaySite) run(g *gatewayProcess, program string, out *os.File) {
	s.runWith(g, exec.Command(program, "gateway", "--metrics", "9464"), out, s.env...)
}

// runWith starts a gateway by the given command, with further variables of the environment.
func (s *gatewaySite) runWith(g *gatewayProcess, cmd *exec.Cmd, out *os.File, env ...string) {
	g.cmd = cmd
	g.cmd.Env = append(append(os.Environ(), platform.SettingsVariable+"="+g.boot), env...)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	s.q.Assert(g.cmd.Start(), qt.IsNil)
	out.Close()
	go func() { g.exited <- g.cmd.Wait() }()
	s.t.Cleanup(func() {
		_ = g.cmd.Process.Kill()
		if s.t.Failed() {
			text, _ := os.ReadFile(g.log)
			s.t.Logf("%s: %s", g.name, lastBytes(string(text)))
		}
	})
}

func (g *gatewayProcess) ready() bool {
	res, err := http.Get("http://" + g.ip + ":8542/readiness")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (g *gatewayProcess) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// logText returns what the gateway has logged so far.
func (g *gatewayProcess) logText() string {
	b, _ := os.ReadFile(g.log)
	return string(b)
}

// send sends one request without retries. Status 0 means that there was no complete
// response.
func (g *gatewayProcess) send(id string) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.ip+":8548/a/book", strings.NewReader("veil"))
	if err != nil {
		return 0
	}
	r.Host = "veil.example"
	r.Header.Set(platform.HeaderRequestID, id)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// explain runs the explain command over the logs of all gateways.
func (s *gatewaySite) explain(id string) (out string, err error) {
	args := []string{"explain", id}
	for _, g := range s.gateways {
		args = append(args, g.log)
	}
	text, err := exec.Command(program(s.t), args...).CombinedOutput()
	return string(text), err
}

// More requests arrive than the target can answer in time, so the gateway refuses some at
// once. The explain command must show the reason and the retry delay sent to the caller.
func TestExplainRefusal(t *testing.T) {
	t.Parallel()
	s := newGatewaySite(t, 1)
	g := s.start(program(t))
	s.workers[0].SetServiceTime(150 * time.Millisecond)
	for n := range 3 {
		g.send(fmt.Sprint("warm-", n))
	}
	var refused atomic.Pointer[string]
	var all sync.WaitGroup
	for n := range 12 {
		all.Go(func() {
			id := fmt.Sprint("many-", n)
			if g.send(id) == http.StatusServiceUnavailable {
				refused.Store(&id)
			}
		})
	}
	all.Wait()
	s.q.Assert(refused.Load(), qt.IsNotNil)
	eventually(t, "the command shows the reason", func() bool {
		out, err := s.explain(*refused.Load())
		return err == nil && strings.Contains(out, "answered in place of a target") && strings.Contains(out, "reason=full") && strings.Contains(out, "retry=")
	})
}

// A target breaks the connection of a request. The request may have run, so it isn't
// retried. The explain command must show the target, how far the request got and the
// inputs of the balancer's decision.
func TestExplainFailedTarget(t *testing.T) {
	t.Parallel()
	s := newGatewaySite(t, 2)
	g := s.start(program(t))
	for _, w := range s.workers {
		w.SetFaults(func(r *http.Request) worker.Fault {
			return worker.Fault{LoseResponse: r.Header.Get(platform.HeaderRequestID) == "booking"}
		})
	}
	s.q.Assert(g.send("booking"), qt.Equals, http.StatusBadGateway)
	eventually(t, "the command names the target", func() bool {
		out, err := s.explain("booking")
		return err == nil && strings.Contains(out, "dispatch failed") && strings.Contains(out, "ran=maybe") &&
			strings.Contains(out, "target=i-") && strings.Contains(out, "asked=2")
	})
}

// A gateway is killed while a target runs its request, so no log has a line about the
// request. The explain command must name the lost gateway and the gateway that noticed it
// first. It must not report the gateway that was stopped by SIGTERM as lost.
func TestExplainLostGateway(t *testing.T) {
	t.Parallel()
	s := newGatewaySite(t, 2)
	a, b, c := s.start(program(t)), s.start(program(t)), s.start(program(t))
	eventually(t, "all gateways see each other as live", func() bool {
		return strings.Contains(a.logText(), `"live":3`) && strings.Contains(c.logText(), `"live":3`)
	})
	c.signal(syscall.SIGTERM)
	s.q.Assert(<-c.exited, qt.IsNil)
	for _, w := range s.workers {
		w.SetServiceTime(time.Second)
	}
	status := make(chan int, 1)
	go func() { status <- b.send("lost") }()
	eventually(t, "a target runs the request", func() bool { return len(s.workers[0].Runs())+len(s.workers[1].Runs()) == 1 })
	b.signal(syscall.SIGKILL)
	s.q.Assert(<-status, qt.Equals, 0)
	eventually(t, "the command names the gateway", func() bool {
		out, err := s.explain("lost")
		t.Log(out)
		return err != nil && strings.Contains(out, "gateway-1 was lost without a stop") && strings.Contains(out, "gateway-0 missed it first") &&
			!strings.Contains(out, "gateway-2 was lost")
	})
}

// The settings file is replaced by valid and invalid settings in turn, each followed by a
// SIGHUP and requests. Valid settings must come into force, invalid ones must be logged
// and ignored, and no request may fail.
func TestSettingsReloadOnSIGHUP(t *testing.T) {
	t.Parallel()
	s := newGatewaySite(t, 2)
	g := s.start(program(t))
	for n := range 6 {
		if n%2 == 0 {
			s.writeSettings(g, fmt.Sprint(4+n, "s"))
		} else {
			s.q.Assert(os.WriteFile(g.boot, []byte("nodeName: 7\nip: x"), 0o600), qt.IsNil)
		}
		g.signal(syscall.SIGHUP)
		for i := range 5 {
			s.q.Assert(g.send(fmt.Sprint(n, "-", i)), qt.Equals, http.StatusOK)
		}
	}
	eventually(t, "valid and invalid settings are logged", func() bool {
		text := g.logText()
		return strings.Contains(text, "settings reloaded") && strings.Contains(text, `"grace":"8s"`) && strings.Contains(text, "those in force stay")
	})
	s.writeSettings(g, "3s")
	g.signal(syscall.SIGTERM)
	s.q.Assert(<-g.exited, qt.IsNil)
}

// The settings file is replaced without a signal, first by invalid and then by valid
// settings. The invalid ones must be logged and the valid ones must come into force.
func TestSettingsChangeWithoutASignal(t *testing.T) {
	t.Parallel()
	s := newGatewaySite(t, 2)
	g := s.start(program(t))
	s.q.Assert(os.WriteFile(g.boot, []byte("nodeName: 7\nip: x"), 0o600), qt.IsNil)
	eventually(t, "invalid settings are logged", func() bool { return strings.Contains(g.logText(), "those in force stay") })
	s.writeSettings(g, "9s")
	eventually(t, "valid settings are in force", func() bool { return strings.Contains(g.logText(), `"grace":"9s"`) })
	s.q.Assert(g.send("after"), qt.Equals, http.StatusOK)
	g.signal(syscall.SIGTERM)
	s.q.Assert(<-g.exited, qt.IsNil)
}

// A gateway's standard output is a pipe that isn't read and fills up. The gateway must
// keep answering requests, however many log lines they cause.
func TestUnreadLogOutput(t *testing.T) {
	t.Parallel()
	s := newGatewaySite(t, 2)
	g := s.start(program(t))
	g.signal(syscall.SIGKILL)
	<-g.exited
	unread, out, err := os.Pipe()
	s.q.Assert(err, qt.IsNil)
	defer unread.Close()
	s.run(g, program(t), out)
	eventually(t, "ready again", g.ready)
	for _, w := range s.workers {
		w.SetFaults(func(r *http.Request) worker.Fault {
			return worker.Fault{LoseResponse: strings.HasPrefix(r.Header.Get(platform.HeaderRequestID), "lose")}
		})
	}
	began := time.Now()
	const requests = 1500
	for n := range requests {
		id := fmt.Sprint("lose-", n)
		if n%3 == 0 {
			id = fmt.Sprint("serve-", n)
		}
		s.q.Assert(g.send(id) != 0, qt.IsTrue)
	}
	s.q.Assert(time.Since(began) < waitLimit, qt.IsTrue)
	res, err := http.Get("http://" + g.ip + ":9464/metrics")
	s.q.Assert(err, qt.IsNil)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	s.q.Assert(err, qt.IsNil)
	s.q.Assert(bytes.Contains(text, []byte("plumpitch_dispatches_failed")), qt.IsTrue)
}

// The status and check commands work with gateways and their files.
func TestGatewayCommands(t *testing.T) {
	t.Parallel()
	s := newGatewaySite(t, 1)
	g := s.start(program(t))
	config := filepath.Join(t.TempDir(), "config.json")
	s.q.Assert(os.WriteFile(config, []byte(`{"version":"x"}`), 0o600), qt.IsNil)
	tests := []struct {
		name string
		args []string
		want string
		fail bool
	}{
		{"status", []string{"status", "--gateway", g.ip + ":9464"}, "veil.example  gateway-0", false},
		{"status of targets", []string{"status", "--gateway", g.ip + ":9464"}, "gowns: 0 seek a target", false},
		{"status in JSON", []string{"status", "--gateway", g.ip + ":9464", "--json"}, `"state":"open"`, false},
		{"good settings", []string{"check", g.boot, "--as", "boot"}, "gateway gateway-0 in hall", false},
		{"bad configuration", []string{"check", config, "--as", "config"}, `version: found "x"`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out, err := exec.Command(program(t), tt.args...).CombinedOutput()
			qt.Assert(t, err != nil, qt.Equals, tt.fail, qt.Commentf("%s", out))
			qt.Assert(t, string(out), qt.Contains, tt.want)
		})
	}
}
