package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/standin/target"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// process is an entry that runs as a separate process.
type process struct {
	cmd                       *exec.Cmd
	callers, operators, peers string // addresses
}

// usage is the total usage of a process since its start.
type usage struct {
	peerBytes  float64 // bytes in and out, HTTP included
	cpuSeconds float64
	residentMB float64
}

// BenchmarkProcesses measures idle entries that run as separate processes on
// loopback, with 27 fake workers and 7 services. It waits for 20 s after the
// start and then measures for 20 s.
func BenchmarkProcesses(b *testing.B) {
	program := filepath.Join(b.TempDir(), "plumpitch")
	build := exec.Command("go", "build", "-o", program, "plumpitch.example/plumpitch")
	out, err := build.CombinedOutput()
	qt.New(b).Assert(err, qt.IsNil, qt.Commentf("%s", out))
	for _, n := range []int{7, 14, 21, 28} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for range b.N {
				measureProcesses(b, program, n)
			}
		})
	}
}

func measureProcesses(b *testing.B, program string, n int) {
	const settle, quiet = 20 * time.Second, 20 * time.Second
	c := qt.New(b)
	platformURL := startPlatform(c)
	var entries []process
	var seeds []string
	for i := range n {
		p := startProcess(c, program, platformURL, i, seeds)
		entries = append(entries, p)
		if i < 3 {
			seeds = append(seeds, p.peers)
		}
	}
	time.Sleep(settle)
	var before []usage
	for _, p := range entries {
		before = append(before, p.usage(c))
	}
	start := time.Now()
	time.Sleep(quiet)
	var peers, cpu, resident []float64
	for i, p := range entries {
		u, secs := p.usage(c), time.Since(start).Seconds()
		peers = append(peers, (u.peerBytes-before[i].peerBytes)/secs)
		cpu = append(cpu, (u.cpuSeconds-before[i].cpuSeconds)/secs*100)
		resident = append(resident, u.residentMB)
	}
	reportMetric(b, "peerB/s", peers)
	reportMetric(b, "cpu%", cpu)
	reportMetric(b, "residentMB", resident)
	for _, p := range entries {
		p.cmd.Process.Kill()
		p.cmd.Wait()
	}
}

func reportMetric(b *testing.B, unit string, v []float64) {
	b.ReportMetric(median(v), unit)
	b.ReportMetric(slices.Max(v), unit+"-max")
}

// startPlatform starts a fake platform and its fake workers, and returns the
// platform's URL.
func startPlatform(c *qt.C) string {
	p := platform.New(platform.Config{})
	srv := httptest.NewServer(p)
	c.Cleanup(srv.Close)
	d, err := newDocument(7)
	c.Assert(err, qt.IsNil)
	s := store.New(store.Config{Addr: srv.URL})
	_, err = s.Put(context.Background(), "settings", "tree", 0, tree.Encode(d))
	c.Assert(err, qt.IsNil)
	for i := range 27 {
		cfg := target.Config{Name: fmt.Sprintf("worker-%02d", i), Service: fmt.Sprintf("service-%03d", i%7), Slots: 2, MeanServiceTime: time.Millisecond}
		w := httptest.NewServer(target.New(cfg))
		c.Cleanup(w.Close)
		p.PutVM(platform.VM{
			ID: cfg.Name, Addr: w.Listener.Addr().String(), Place: fmt.Sprintf("place-%02d", i%3),
			Service: cfg.Service, Slots: cfg.Slots, Boot: 1, State: platform.Live,
		})
	}
	return srv.URL
}

func startProcess(c *qt.C, program, platformURL string, i int, seeds []string) process {
	const anyPort = "127.0.0.1:0"
	file, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("entry-%03d", i), "region": "region-0", "place": fmt.Sprintf("place-%02d", i%3),
		"callers": anyPort, "peers": anyPort, "operators": anyPort, "platform": platformURL, "seeds": seeds, "level": "error",
	})
	c.Assert(err, qt.IsNil)
	path := filepath.Join(c.TempDir(), "entry.json")
	c.Assert(os.WriteFile(path, file, 0o600), qt.IsNil)
	cmd := exec.Command(program, "entry", path)
	stdout, err := cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Start(), qt.IsNil)
	c.Cleanup(func() { cmd.Process.Kill() })
	lines := bufio.NewScanner(stdout)
	nextLine := func() string {
		c.Assert(lines.Scan(), qt.IsTrue, qt.Commentf("entry %d printed no address", i))
		return lines.Text()
	}
	return process{cmd: cmd, callers: nextLine(), operators: nextLine(), peers: nextLine()}
}

var wireBytes = regexp.MustCompile(`(?m)^plumpitch_peer_wire_bytes\S* (\S+)$`)

func (p process) usage(c *qt.C) usage {
	res, err := http.Get("http://" + p.operators + "/metrics")
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	m := wireBytes.FindSubmatch(text)
	c.Assert(m, qt.IsNotNil)
	return usage{peerBytes: parseNumber(c, string(m[1])), cpuSeconds: p.cpu(c), residentMB: p.resident(c)}
}

// cpu returns the CPU time in seconds: utime and stime of /proc/PID/stat, whose
// fields are counted after the command in parentheses.
func (p process) cpu(c *qt.C) float64 {
	const ticksPerSecond = 100 // clock ticks per second, the same on every Linux
	stat := p.readProc(c, "stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	return (parseNumber(c, fields[11]) + parseNumber(c, fields[12])) / ticksPerSecond
}

// resident returns the resident memory in MB.
func (p process) resident(c *qt.C) float64 {
	_, rest, _ := strings.Cut(p.readProc(c, "status"), "VmRSS:")
	return parseNumber(c, strings.Fields(rest)[0]) / 1024
}

func (p process) readProc(c *qt.C, name string) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
	c.Assert(err, qt.IsNil)
	return string(text)
}

func parseNumber(c *qt.C, s string) float64 {
	f, err := strconv.ParseFloat(s, 64)
	c.Assert(err, qt.IsNil)
	return f
}
