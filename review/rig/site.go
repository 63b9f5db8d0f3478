// Command rig plays the scripted cases of the second review: it starts gateways as separate
// processes on loopback addresses beside stand-ins of the store and of targets.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

// Ports of all gateways. Each has an address of its own.
const (
	frontPort     = 8548
	readyPort     = 8542
	controlPort   = 8544
	directoryPort = 8546
)

const settingsTemplate = `nodeName: %q
role: "gateway"
machineClass: "edge"
serves: ["edge", "directory", "control"]
ip: %q
zone: %q
region: "metro"
zones: {%s}
listen: {front: "%[2]s:8548", ready: "%[2]s:8542", control: "%[2]s:8544", directory: "%[2]s:8546"}
internalPorts: [7540, 7555]
seedNodes: [%[5]s]
bootstrap: true
inTolerance: false
limits: {cpuShare: 0.8, cpuCores: 1, memoryMb: 536, maxFds: 8192, linkMbps: 200.0, diskMb: 0}
dataDir: null
heartbeat: "1500ms"
bounds: [%[6]s]
platform: {address: %[7]q, form: "objects", writesPerS: 1200, readsPerS: 6000, history: "20s", valueBytes: 1048576, minTtl: "1000ms"}
`

// site is one deployment: a store, targets and gateways.
type site struct {
	dir, program, storeAddress string
	bounds                     []string
	zones                      []string
	seeds                      []*gateway
	store                      *objects.Store
	gateways                   []*gateway
	targets                    []*target
	lastIP                     int

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

func newSite(record string, zones, bounds []string) (*site, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &site{
		dir: dir, program: filepath.Join("target", "plumpitch"), storeAddress: listener.Addr().String(), zones: zones, bounds: bounds,
		store: objects.New(), record: out, began: time.Now(),
	}
	go func() { _ = http.Serve(listener, s.store) }()
	playing.Lock()
	defer playing.Unlock()
	playing.site = s
	return s, nil
}

// log writes a line to the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

// close ends all processes that the site has started.
func (s *site) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, t := range s.targets {
		t.Close()
	}
	s.record.Close()
	os.RemoveAll(s.dir)
}

// gateway is a gateway process.
type gateway struct {
	site           *site
	name, zone, ip string
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// newGateway returns a gateway that isn't started yet.
func (s *site) newGateway(name, zone string) *gateway {
	s.lastIP++
	pid := os.Getpid()
	g := &gateway{
		site: s, name: name, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%250, s.lastIP),
		settings: filepath.Join(s.dir, name+".yaml"), exited: make(chan struct{}),
	}
	s.gateways = append(s.gateways, g)
	return g
}

func quoted(list []string) string {
	for i := range list {
		list[i] = fmt.Sprintf("%q", list[i])
	}
	return strings.Join(list, ", ")
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	s := g.site
	var seeds, zones []string
	for _, seed := range s.seeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", seed.ip, controlPort))
	}
	for _, z := range s.zones {
		zones = append(zones, z+`: "metro"`)
	}
	text := fmt.Sprintf(settingsTemplate, g.name, g.ip, g.zone, strings.Join(zones, ", "), quoted(seeds), quoted(append([]string(nil), s.bounds...)), s.storeAddress)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command(s.program, "gateway", "--metrics", "9464")
	g.cmd.Env = append(os.Environ(), "PLUMPITCH_BOOT="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return err
	}
	s.log("started %s at %s, process %d", g.name, g.ip, g.cmd.Process.Pid)
	go func() {
		_ = g.cmd.Wait()
		s.log("%s has ended: %v", g.name, g.cmd.ProcessState)
		close(g.exited)
	}()
	return nil
}

func (g *gateway) signal(sig syscall.Signal) {
	if g.cmd != nil {
		g.site.log("%s gets %v", g.name, sig)
		_ = g.cmd.Process.Signal(sig)
	}
}

// kill ends the process if it runs.
func (g *gateway) kill() {
	if g.cmd == nil {
		return
	}
	select {
	case <-g.exited:
		return
	default:
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
}

func (g *gateway) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

var checkClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether the readiness check of the gateway returns 200.
func (g *gateway) ready() bool {
	res, err := checkClient.Get(fmt.Sprintf("http://%s:%d/readiness", g.ip, readyPort))
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// resolve asks the gateway's directory which gateways serve a host.
func (g *gateway) resolve(host string) (addresses []string) {
	res, err := checkClient.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=metro&zone=%s", g.ip, directoryPort, host, g.zone))
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var answer struct{ Addresses []string }
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// awaitReady waits until all of these gateways are ready.
func awaitReady(gateways []*gateway, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		missing := ""
		for _, g := range gateways {
			if !g.ready() {
				missing = g.name
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s isn't ready after %v", missing, limit)
		}
	}
}

// target is a stand-in of a target with its record in the store.
type target struct{ *worker.Worker }

// addTarget starts a target and writes its record.
func (s *site) addTarget(service, zone string, slots int, work time.Duration) (*target, error) {
	w, err := worker.Start(fmt.Sprintf("i-%s-%d", service, len(s.targets)))
	if err != nil {
		return nil, err
	}
	w.Slots = slots
	w.LimitQueue(4)
	w.SetServiceTime(work)
	s.targets = append(s.targets, &target{w})
	s.store.PutTarget(objects.Target{ID: w.ID, Address: w.Address(), Service: service, Place: zone, Slots: slots, StartedMillis: time.Now().UnixMilli()})
	return s.targets[len(s.targets)-1], nil
}
