// Command 1 sends uploads within the limits of the configuration to three gateways, and ends a
// gateway whose memory exceeds the limit of its machine, as the platform does.
package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plumpitch.example/plumpitch/review/harness"
)

const (
	host        = "studio.example"
	memoryLimit = 284 << 20 // bytes, by the settings' limits.memoryMb
)

// Load. A burst is 108/64 of the usual uploads, below the dose of the site file: 1.7
// times, for 3 s.
const (
	uploadBytes   = 2750 << 10
	usualUploads  = 64
	burstUploads  = 108
	bursts        = 8
	burstTime     = 3 * time.Second
	burstEvery    = 8 * time.Second
	quietBefore   = 5 * time.Second
	smallClients  = 12
	lostAllowed   = 3
	gatewayNumber = 3
	// uploadPace keeps the uploads at one gateway below the link of its machine, 1000 Mbit/s.
	uploadPace = 1_900_000
)

// trouble is whether the case runs with its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// main takes the path of record.txt as its argument.
func main() {
	if len(os.Args) != 2 {
		fmt.Println("usage: case FILE, the file for the record")
		os.Exit(harness.ExitNotRun)
	}
	code, err := run()
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		code = harness.ExitNotRun
	}
	os.Exit(code)
}

type state struct {
	site                   *harness.Site
	end                    time.Time
	lost, served, uploaded atomic.Int64
	refused, failed        atomic.Int64
	peak                   [3]atomic.Int64
	ends                   [3]atomic.Int64
	workers                []*harness.Worker
}

func run() (code int, err error) {
	site, err := harness.NewSite(os.Args[1])
	if err != nil {
		return 0, err
	}
	defer site.Close()
	s := &state{site: site}
	site.PutConfig(1, []string{"desk", "media"}, []harness.Route{
		{Name: "r-desk", Host: host, Prefix: "/desk/", Kind: "non_idempotent", Service: "desk", Timeout: "3000ms", Latency: "400ms", Attempts: 2},
		{Name: "r-media", Host: host, Prefix: "/media/", Kind: "upload", Service: "media", Timeout: "6000ms", Latency: "4000ms", Attempts: 2},
	})
	for i := range 12 {
		service := "desk"
		if i >= 6 {
			service = "media"
		}
		w, err := site.AddWorker(100+i, service, "zone-"+string(rune('a'+i%3)))
		if err != nil {
			return 0, err
		}
		s.workers = append(s.workers, w)
	}
	if err := site.StartGateways(gatewayNumber); err != nil {
		return 0, err
	}
	if err := site.AwaitReady(); err != nil {
		return 0, err
	}
	s.end = time.Now().Add(quietBefore + time.Duration(bursts)*burstEvery)
	for i, g := range site.Gateways {
		go s.watchMemory(i, g)
	}
	var wg sync.WaitGroup
	for range smallClients {
		wg.Go(s.sendSmall)
	}
	body := make([]byte, uploadBytes)
	for i := range body {
		body[i] = byte(i * 7)
	}
	for range usualUploads {
		wg.Go(func() { s.sendUploads(body, s.end) })
	}
	time.Sleep(quietBefore)
	for range bursts {
		end := time.Now().Add(burstTime)
		if trouble {
			s.site.Record.Add("a burst begins")
			for range burstUploads - usualUploads {
				wg.Go(func() { s.sendUploads(body, end) })
			}
		}
		time.Sleep(burstEvery)
	}
	wg.Wait()
	site.Record.Print("small requests served %d, uploads served %d, refused %d, failed %d; passed on to a sound worker and cut on a kept connection %d\n",
		s.served.Load(), s.uploaded.Load(), s.refused.Load(), s.failed.Load(), s.lost.Load())
	for i, g := range site.Gateways {
		site.Record.Print("%s: ended for its memory %d times, most memory %d MB\n", g.Name, s.ends[i].Load(), s.peak[i].Load()>>20)
	}
	if s.served.Load() == 0 || s.uploaded.Load() == 0 {
		return harness.ExitNotRun, nil
	}
	if s.lost.Load() > lostAllowed {
		return harness.ExitBroken, nil
	}
	return harness.ExitHeld, nil
}

// watchMemory ends a gateway that exceeds its memory, and starts it again.
func (s *state) watchMemory(i int, g *harness.Gateway) {
	for time.Now().Before(s.end) {
		used := memoryOf(g.PID())
		if used > s.peak[i].Load() {
			s.peak[i].Store(used)
		}
		if used > memoryLimit {
			s.ends[i].Add(1)
			s.site.Record.Add("%s has %d MB, the platform ends it", g.Name, used>>20)
			g.Signal(syscall.SIGKILL)
			if err := g.Restart(); err != nil {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// memoryOf returns the anonymous memory of a process.
func memoryOf(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(v), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// sendSmall sends bookings on a kept connection.
func (s *state) sendSmall() {
	var c *harness.Conn
	for time.Now().Before(s.end) {
		if c == nil {
			address, err := s.site.Resolve(host)
			if err == nil {
				c, err = s.site.Dial(address)
			}
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		r := harness.Request{ID: harness.NewID(), Method: http.MethodPost, Path: "/desk/booking", Host: host, Deadline: 3 * time.Second, Body: []byte("a booking")}
		a, sent, err := c.Do(r)
		s.note(r.ID, c, a, sent, err)
		if err != nil || a.Close {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

func (s *state) note(id string, c *harness.Conn, a harness.Answer, sent time.Time, err error) {
	switch {
	case err != nil:
		passedOn := s.passedOn(id)
		s.site.Record.Add("cut %s at %s, kept connection %t, passed on to a worker %t", id, c.Address, c.Used > 0, passedOn)
		if c.Used > 0 && !sent.IsZero() && passedOn {
			s.lost.Add(1)
		}
	case a.Status == http.StatusOK && a.Signed:
		s.served.Add(1)
	case a.Status == http.StatusServiceUnavailable:
		s.refused.Add(1)
	default:
		s.failed.Add(1)
	}
}

// passedOn reports whether a worker has got a request.
func (s *state) passedOn(id string) bool {
	for _, w := range s.workers {
		if w.Started(id) {
			return true
		}
	}
	return false
}

// sendUploads sends one upload after the other until end, each on a new connection.
func (s *state) sendUploads(body []byte, end time.Time) {
	sum := sha256.Sum256(body)
	for time.Now().Before(end) {
		address, err := s.site.Resolve(host)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c, err := s.site.Dial(address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r := harness.Request{ID: harness.NewID(), Method: http.MethodPost, Path: "/media/film", Host: host, Deadline: 6 * time.Second, Body: body, Pace: uploadPace}
		a, _, err := c.Do(r)
		c.Close()
		switch {
		case err != nil:
			s.failed.Add(1)
		case a.Status == http.StatusOK && strings.HasSuffix(a.Body, hex.EncodeToString(sum[:])):
			s.uploaded.Add(1)
		default:
			s.failed.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
