package main

import (
	"bufio"
	"bytes"
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
)

// waitLimit is the longest time that a test waits for a condition.
const waitLimit = 40 * time.Second

var (
	buildOnce sync.Once
	buildPath string
	buildErr  error
)

// program builds the command once for all tests of this package and returns its path.
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
	if attack() {
		return
	}
	code := m.Run()
	if buildPath != "" {
		os.RemoveAll(filepath.Dir(buildPath))
	}
	os.Exit(code)
}

// process is one process that the test started.
type process struct {
	cmd    *exec.Cmd
	addrs  []string // first lines of its standard output
	stderr *bytes.Buffer
	exited chan struct{}
}

// spawn starts the program and reads the first n lines of its output.
func spawn(t *testing.T, n int, args ...string) *process {
	t.Helper()
	return spawnWith(t, nil, n, args...)
}

// spawnWith does the same with further variables of the environment.
func spawnWith(t *testing.T, env []string, n int, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program(t), args...), stderr: &bytes.Buffer{}, exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	out, err := p.cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	p.cmd.Stderr = p.stderr
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	lines := bufio.NewReader(out)
	for range n {
		line, err := lines.ReadString('\n')
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%v: %s", args, p.stderr))
		p.addrs = append(p.addrs, strings.TrimSpace(line))
	}
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("%v: %s", args, lastBytes(p.stderr.String()))
		}
	})
	return p
}

func lastBytes(s string) string {
	const maxBytes = 2000
	return s[max(0, len(s)-maxBytes):]
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func getJSON(url string, into any) (err error) {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// eventually polls a condition and fails the test if it doesn't hold within waitLimit.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitLimit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
