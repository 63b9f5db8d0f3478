package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/platform"
)

// settingsTemplate is the settings file of a gateway.
const settingsTemplate = `
nodeName: "%s"
zone: %s
region: metro
ip: "%s"
listen: {front: "%[3]s:8548", ready: "%[3]s:8542", directory: "%[3]s:8546"}
internalPorts: [7540, 7555]
limits: {cpuShare: %g}
bounds: ["grace=%s", "drain=2s", "configApply=2s", "retryBudgetRatio=%g", "retryBudgetSlack=%d"%s]
platform: {address: "%s"}
`

// gateway is a gateway process. It keeps its name over restarts.
type gateway struct {
	site         *site
	name         string
	place        string
	ip           string
	settingsPath string
	logPath      string

	mu           sync.Mutex // guards the fields below
	cmd          *exec.Cmd
	exited       chan struct{}
	stopping     bool       // it was killed or received SIGTERM
	badSettings  bool       // the settings file is invalid
	disturbed    []interval // unplanned exits, starts and pauses
	plannedStops []interval // each from SIGTERM to exit
}

// lastAddress is the number of the latest loopback address in use. Each gateway has an address
// of its own, so that all can use the same ports.
var lastAddress atomic.Int64

func (s *site) addGateway() *gateway {
	n := lastAddress.Add(1)
	g := &gateway{
		site: s, name: fmt.Sprintf("gateway-%d", len(s.gateways)), place: s.place(len(s.gateways)),
		ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, (int64(os.Getpid()/128)+n/250)%250, 1+n%250),
	}
	dir := s.t.TempDir()
	g.settingsPath, g.logPath = filepath.Join(dir, "boot.yaml"), filepath.Join(dir, "log")
	g.writeSettings(cmp.Or(s.grace, "3s"))
	g.start()
	s.gateways = append(s.gateways, g)
	s.t.Cleanup(func() { g.kill() })
	return g
}

// writeBadSettings writes an invalid settings file.
func (g *gateway) writeBadSettings() {
	g.mu.Lock()
	g.badSettings = true
	g.mu.Unlock()
	g.replaceSettings("nodeName: 7\nip: x")
}

// writeSettings writes a valid settings file.
func (g *gateway) writeSettings(grace string) {
	g.mu.Lock()
	g.badSettings = false
	g.mu.Unlock()
	text := fmt.Sprintf(settingsTemplate, g.name, g.place, g.ip, g.site.cores, grace, g.site.retryRatio.Load(), g.site.retrySlack, g.site.accountBounds(), g.site.storeProxy.address())
	g.replaceSettings(text)
}

// replaceSettings replaces the settings file in one step, so that no process reads a part of it.
func (g *gateway) replaceSettings(text string) {
	next := g.settingsPath + ".next"
	g.site.q.Assert(os.WriteFile(next, []byte(text), 0o600), qt.IsNil)
	g.site.q.Assert(os.Rename(next, g.settingsPath), qt.IsNil)
}

func (g *gateway) start() {
	out, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	g.site.q.Assert(err, qt.IsNil)
	defer out.Close()
	begin, err := out.Seek(0, io.SeekEnd) // output of earlier processes ends here
	g.site.q.Assert(err, qt.IsNil)
	cmd, exited := g.command(), make(chan struct{})
	cmd.Stdout, cmd.Stderr = out, out
	g.site.q.Assert(cmd.Start(), qt.IsNil)
	g.mu.Lock()
	g.cmd, g.exited, g.stopping = cmd, exited, false
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		stopping, badSettings := g.state() // read before close, after which another process may be started
		ending := g.ending(cmd, begin)
		close(exited)
		if !stopping {
			g.restart(badSettings, ending)
		}
	}()
}

const metricsPort = 9464

// command returns the command that runs the program, or this test binary if datagrams are to
// be lost.
func (g *gateway) command() *exec.Cmd {
	cmd := exec.Command(g.site.program, "gateway", "--metrics", strconv.Itoa(metricsPort))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+g.settingsPath)
	if loss := g.site.datagramLoss; loss > 0 {
		cmd.Path = os.Args[0]
		cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%g", lossVariable, loss))
	}
	if g.site.accountCount > 0 || g.site.targetLinks {
		cmd.Path = os.Args[0]
		cmd.Env = append(cmd.Env, linksVariable+"="+g.linksPath())
	}
	return cmd
}

// restart restarts a process that exited by itself, as the platform does. The test fails
// unless the settings file was invalid when the process exited.
func (g *gateway) restart(badSettings bool, ending string) {
	const platformDelay = 300 * time.Millisecond
	from := time.Now()
	g.site.logf("%s exited by itself: %s", g.name, ending)
	if !badSettings {
		g.site.t.Errorf("seed %d: %s exited unexpectedly at %s: %s", g.site.seed, g.name, g.site.timeOffset(from), ending)
	}
	time.Sleep(platformDelay)
	if stopping, _ := g.state(); stopping {
		return
	}
	g.start()
	g.addDisturbance(from, time.Now())
}

// ending describes how a process ended: its exit code or the signal, and the end of its output,
// which begins at the given offset of the log.
func (g *gateway) ending(cmd *exec.Cmd, begin int64) string {
	const maxOutput = 600
	text, err := os.ReadFile(g.logPath)
	if err != nil {
		return fmt.Sprintf("%v, %v", cmd.ProcessState, err)
	}
	text = text[min(int(begin), len(text)):]
	text = text[max(0, len(text)-maxOutput):]
	return fmt.Sprintf("%v after %v, last output: %q", cmd.ProcessState, cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime(), text)
}

// reload sends SIGHUP once the process accepts connections. A process that is starting reads the
// settings anyway, and none can handle a signal before the handler is installed.
func (g *gateway) reload() {
	g.mu.Lock()
	process, exited := g.cmd.Process, g.exited
	g.mu.Unlock()
	if g.listening() {
		_ = process.Signal(syscall.SIGHUP)
		return
	}
	go func() {
		const period = 10 * time.Millisecond
		for !g.listening() {
			select {
			case <-exited:
				return
			case <-time.After(period):
			}
		}
		_ = process.Signal(syscall.SIGHUP)
	}()
}

// listening reports whether the process accepts connections.
func (g *gateway) listening() bool {
	c, err := net.DialTimeout("tcp", g.ip+":8542", time.Second)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// state reports whether the process is stopping and whether its settings are invalid.
func (g *gateway) state() (stopping, badSettings bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping, g.badSettings
}

// markStopping marks the process as stopping, so that its exit is expected.
func (g *gateway) markStopping() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
}

func (g *gateway) kill() {
	g.markStopping()
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	g.waitForExit()
}

func (g *gateway) waitForExit() {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	<-exited
}

// addDisturbance records a time when the process was down, starting or paused.
func (g *gateway) addDisturbance(from, to time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disturbed = append(g.disturbed, interval{from, to})
}

// disturbances returns the times when the process was paused, starting, or down other than
// by a planned stop.
func (g *gateway) disturbances() []interval {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]interval(nil), g.disturbed...)
}

func (g *gateway) ready() bool {
	res, err := checkClient.Get("http://" + g.ip + ":8542/readiness")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// checkClient is the HTTP client for status checks and resolve requests.
var checkClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status is the part of a gateway's status that the tests read.
type status struct {
	Boot     uint64 `json:"boot"`
	Version  int    `json:"version"`
	Epoch    uint64 `json:"epoch"`
	Services []struct {
		Name    string `json:"name"`
		Targets []struct {
			ID string `json:"id"`
		} `json:"targets"`
	} `json:"services"`
}

func (g *gateway) status() (s status, ok bool) {
	res, err := checkClient.Get("http://" + g.ip + ":9464/status")
	if err != nil {
		return s, false
	}
	defer res.Body.Close()
	return s, json.NewDecoder(res.Body).Decode(&s) == nil
}
