package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"plumpitch.example/plumpitch/internal/standin/target"
	"plumpitch.example/plumpitch/pkg/call"
)

// cluster is a site whose parts run as processes: a store, targets of one service and
// entries.
type cluster struct {
	store      string
	targets    []*process
	entries    []*process
	entryNames []string
	vm         vmSize   // of further entries; unbounded if it is zero
	ip         string   // on which they listen
	env        []string // further variables of their environment
}

// clusterSlots bounds the number of clusters that run at a time, so that parallel tests
// don't starve each other's entries of CPU time.
var clusterSlots = make(chan struct{}, 3)

const testService = "deposit-ledger"

func (c *cluster) callers(n int) string   { return c.entries[n].addrs[0] }
func (c *cluster) operators(n int) string { return c.entries[n].addrs[1] }
func (c *cluster) peers(n int) string     { return c.entries[n].addrs[2] }

var testPlaces = []string{"fremantle-hall", "subiaco-hall", "joondalup-hall"}

// newCluster starts a cluster and waits until each entry answers keyed requests and sees
// all entries as ready.
func newCluster(t *testing.T, targets, entries int, mean time.Duration) *cluster {
	t.Helper()
	c := newStore(t)
	for range targets {
		c.startTarget(t, mean, "--platform", c.store)
	}
	c.startEntries(t, entries)
	return c
}

// newStore starts a cluster that has only a store with the settings.
func newStore(t *testing.T) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	return &cluster{ip: "127.0.0.1", store: "http://" + spawn(t, 1, "standin", "store", "--settings", "examples/swanbourne.json").addrs[0]}
}

// startTarget adds a target. It registers itself in the VM list only if args contain
// --platform.
func (c *cluster) startTarget(t *testing.T, mean time.Duration, args ...string) *process {
	t.Helper()
	n := len(c.targets)
	p := spawn(t, 1, append([]string{
		"standin", "target", "--name", targetName(n), "--service", testService,
		"--place", testPlaces[n%3], "--mean", mean.String(), "--sigma", "0",
	}, args...)...)
	c.targets = append(c.targets, p)
	return p
}

func targetName(n int) string { return fmt.Sprintf("ledger-%d", n) }

// startEntries adds entries and waits until each serves keyed requests and sees all of
// them as ready.
func (c *cluster) startEntries(t *testing.T, entries int) {
	t.Helper()
	for range entries {
		c.startEntry(t)
	}
	for n := range entries {
		eventually(t, fmt.Sprintf("entry %d serves keyed requests", n), func() bool { return c.ready(n, entries) })
	}
}

// startEntry adds an entry with the first entry as its seed.
func (c *cluster) startEntry(t *testing.T) int {
	t.Helper()
	return c.startNamed(t, fmt.Sprintf("entry-%d", len(c.entries)))
}

// startNamed adds an entry with the given name. The name may be that of an earlier entry.
func (c *cluster) startNamed(t *testing.T, name string) int {
	t.Helper()
	n := len(c.entries)
	var seeds []string
	if n > 0 {
		seeds = []string{c.peers(0)}
	}
	file := filepath.Join(t.TempDir(), "entry.json")
	text, err := json.Marshal(map[string]any{
		"name": name, "region": "perth-metro", "place": testPlaces[n%3],
		"callers": c.ip + ":0", "peers": c.ip + ":0", "operators": c.ip + ":0",
		"platform": c.store, "seeds": seeds, "memory": c.vm.memoryMB, "files": c.vm.maxFds,
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(file, text, 0o600), qt.IsNil)
	c.entries = append(c.entries, spawnWith(t, c.env, 3, "entry", file))
	c.entryNames = append(c.entryNames, name)
	return n
}

// ready reports whether an entry sees the given number of ready entries and answers a
// keyed request.
func (c *cluster) ready(n, entries int) bool {
	return c.readyEntries(n) == entries && c.post(n, newKey(), time.Second).status == http.StatusOK
}

// readyEntries returns the number of entries that an entry sees as live and ready.
func (c *cluster) readyEntries(n int) (count int) {
	var s struct {
		Entries []struct {
			Live  bool `json:"live"`
			Ready bool `json:"ready"`
		} `json:"entries"`
	}
	_ = getJSON("http://"+c.operators(n)+"/v1/status", &s)
	for _, e := range s.Entries {
		if e.Live && e.Ready {
			count++
		}
	}
	return count
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// callResult is the response to a request, or the error in its place.
type callResult struct {
	status  int
	outcome string
	reason  string
	replay  bool // the response repeats the recorded one of an earlier request
	body    string
	err     error
}

// post sends a keyed request to an entry.
func (c *cluster) post(n int, key string, timeout time.Duration) callResult {
	return c.send(n, http.MethodPost, "/deposits", key, timeout)
}

// get sends an idempotent request to an entry.
func (c *cluster) get(n int, id string, timeout time.Duration) callResult {
	return c.send(n, http.MethodGet, "/deposits", id, timeout)
}

// send sends a request. Unless it is a GET, its id is also its idempotency key.
func (c *cluster) send(n int, method, path, id string, timeout time.Duration) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.callers(n)+"/v1/call/"+testService+path, nil)
	if err != nil {
		return callResult{err: err}
	}
	if method != http.MethodGet {
		// A body that can't be replayed prevents http.Transport from resending
		// a keyed request.
		req.Body = io.NopCloser(strings.NewReader("x"))
		req.ContentLength = 1
		req.Header.Set(call.HeaderKey, id)
	}
	req.Header.Set("X-Request-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	h := res.Header
	return callResult{res.StatusCode, h.Get(call.HeaderOutcome), h.Get(call.HeaderReason), h.Get("Plumpitch-Replay") != "", string(body), err}
}

// complete reports whether the response is the complete response of a fake target to
// the request with this id.
func (a callResult) complete(id string) bool {
	return a.err == nil && a.status == http.StatusOK && strings.HasPrefix(a.body, "id="+id+" ") && strings.HasSuffix(a.body, "\n")
}

// runs returns how many times each key was run, from the targets' own logs.
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

// setFaults replaces the injected faults of the store.
func (c *cluster) setFaults(t *testing.T, body string) {
	t.Helper()
	c.admin(t, "/faults", body)
}

// registerVM adds a VM of the tested service to the VM list.
func (c *cluster) registerVM(t *testing.T, name, addr string) {
	t.Helper()
	c.admin(t, "/vms/"+name, fmt.Sprintf(`{"addr":%q,"place":%q,"service":%q,"slots":2,"boot":%d}`,
		addr, testPlaces[0], testService, time.Now().UnixNano()))
}

// admin makes an admin call to the store. Injected faults don't affect it.
func (c *cluster) admin(t *testing.T, path, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, c.store+"/v1/admin"+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	res.Body.Close()
	qt.Assert(t, res.StatusCode < http.StatusBadRequest, qt.IsTrue, qt.Commentf("%s: %s", path, res.Status))
}

// runCommand runs an operator's command against an entry.
func (c *cluster) runCommand(t *testing.T, n int, args ...string) (code int, out string) {
	t.Helper()
	cmd := exec.Command(program(t), append(args, "--entry", c.operators(n))...)
	text, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatalf("%v: %v", args, err)
	}
	return cmd.ProcessState.ExitCode(), string(text)
}

// preferredEntries returns the entries that an entry's locate response names for the
// tested service, in order of preference.
func (c *cluster) preferredEntries(t *testing.T, n int) (entries []int) {
	t.Helper()
	var l struct {
		Addresses []string `json:"addresses"`
	}
	if getJSON("http://"+c.callers(n)+"/v1/locate?service="+testService, &l) != nil {
		return nil
	}
	for _, addr := range l.Addresses {
		for n := range c.entries {
			if c.callers(n) == addr {
				entries = append(entries, n)
			}
		}
	}
	return entries
}

// revision returns the settings revision in force at an entry, or 0 if the entry doesn't
// respond.
func (c *cluster) revision(n int) uint64 { return revisionAt(c.operators(n)) }

func revisionAt(operators string) uint64 {
	var s struct {
		Settings uint64 `json:"settings"`
	}
	_ = getJSON("http://"+operators+"/v1/status", &s)
	return s.Settings
}
