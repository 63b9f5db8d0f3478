package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"plumpitch.example/plumpitch/internal/standin/target"
	"plumpitch.example/plumpitch/pkg/call"
)

// bound is the longest that a test waits for a condition.
const bound = 40 * time.Second

var (
	buildOnce sync.Once
	buildPath string
	buildErr  error
)

// program builds the command once for all tests of this package.
func program(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "plumpitch")
		if err != nil {
			buildErr = err
			return
		}
		buildPath = filepath.Join(dir, "plumpitch")
		out, err := exec.Command("go", "build", "-o", buildPath, ".").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("go build: %w: %s", err, out)
		}
	})
	qt.Assert(t, buildErr, qt.IsNil)
	return buildPath
}

func TestMain(m *testing.M) {
	code := m.Run()
	if buildPath != "" {
		os.RemoveAll(filepath.Dir(buildPath))
	}
	os.Exit(code)
}

// process is one process that the test started.
type process struct {
	cmd   *exec.Cmd
	addrs []string // the lines that it printed first
	errs  *bytes.Buffer
	ended chan struct{}
}

// spawn starts the program and reads the first n lines of its output.
func spawn(t *testing.T, n int, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program(t), args...), errs: &bytes.Buffer{}, ended: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	p.cmd.Stderr = p.errs
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	lines := bufio.NewReader(out)
	for range n {
		line, err := lines.ReadString('\n')
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%v: %s", args, p.errs))
		p.addrs = append(p.addrs, strings.TrimSpace(line))
	}
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			t.Logf("%v: %s", args, tail(p.errs.String()))
		}
	})
	return p
}

func tail(s string) string {
	const most = 2000
	return s[max(0, len(s)-most):]
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// cluster is a site of processes: a store, targets of one service, entries.
type cluster struct {
	store   string
	targets []*process
	entries []*process
}

const provedService = "deposit-ledger"

func (c *cluster) callers(n int) string   { return c.entries[n].addrs[0] }
func (c *cluster) operators(n int) string { return c.entries[n].addrs[1] }
func (c *cluster) peers(n int) string     { return c.entries[n].addrs[2] }

var provedPlaces = []string{"fremantle-hall", "subiaco-hall", "joondalup-hall"}

// newCluster starts a site and waits until keyed requests are answered: each
// entry has settings, targets, and a ring of all entries.
func newCluster(t *testing.T, targets, entries int, mean time.Duration) *cluster {
	t.Helper()
	c := &cluster{store: "http://" + spawn(t, 1, "standin", "store", "--settings", "examples/swanbourne.json").addrs[0]}
	for n := range targets {
		c.targets = append(c.targets, spawn(t, 1, "standin", "target", "--name", fmt.Sprintf("ledger-%d", n),
			"--service", provedService, "--platform", c.store, "--place", provedPlaces[n%3], "--mean", mean.String(), "--sigma", "0"))
	}
	for range entries {
		c.startEntry(t)
	}
	for n := range entries {
		eventually(t, fmt.Sprintf("entry %d serves keyed requests", n), func() bool { return c.ready(n, entries) })
	}
	return c
}

// startEntry adds an entry that knows the first one as its seed.
func (c *cluster) startEntry(t *testing.T) int {
	t.Helper()
	n := len(c.entries)
	var seeds []string
	if n > 0 {
		seeds = []string{c.peers(0)}
	}
	file := filepath.Join(t.TempDir(), "entry.json")
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("entry-%d", n), "region": "perth-metro", "place": provedPlaces[n%3],
		"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
		"platform": c.store, "seeds": seeds,
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(file, text, 0o600), qt.IsNil)
	c.entries = append(c.entries, spawn(t, 3, "entry", file))
	return n
}

// ready tells whether an entry has a stable ring of all entries and gets a
// keyed request answered.
func (c *cluster) ready(n, entries int) bool {
	var s struct {
		Members int  `json:"members"`
		Joint   bool `json:"joint"`
	}
	if getJSON("http://"+c.operators(n)+"/v1/status", &s) != nil || s.Members != entries || s.Joint {
		return false
	}
	return c.post(n, uuid.Must(uuid.NewV7()).String(), time.Second).status == http.StatusOK
}

// told is what a caller got for a request.
type told struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
}

// post sends a keyed request to an entry.
func (c *cluster) post(n int, key string, timeout time.Duration) told {
	return c.postTo(c.callers(n), key, timeout)
}

func (c *cluster) postTo(addr, key string, timeout time.Duration) told {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// A body that can't be replayed keeps the client's transport from sending
	// a keyed request again by itself.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/call/"+provedService+"/deposits", io.NopCloser(strings.NewReader("x")))
	if err != nil {
		return told{err: err}
	}
	req.ContentLength = 1
	req.Header.Set(call.HeaderKey, key)
	req.Header.Set("X-Request-Id", key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return told{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return told{res.StatusCode, res.Header.Get(call.HeaderOutcome), res.Header.Get(call.HeaderReason), string(body), err}
}

// runs counts the runs of each key in the targets' own logs.
func (c *cluster) runs(t *testing.T) map[string]int {
	t.Helper()
	count := make(map[string]int)
	for _, p := range c.targets {
		var log []target.Run
		qt.Assert(t, getJSON("http://"+p.addrs[0]+"/-/log", &log), qt.IsNil)
		for _, r := range log {
			count[r.Key]++
		}
	}
	return count
}

// faults replaces the faults of the store.
func (c *cluster) faults(t *testing.T, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, c.store+"/v1/admin/faults", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	res.Body.Close()
	qt.Assert(t, res.StatusCode, qt.Equals, http.StatusOK)
}

func getJSON(url string, into any) (err error) {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
