// Command 2 changes the limit of a request body in the configuration and compares the bodies that
// clients send with those that workers get.
package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/review/harness"
)

const (
	host        = "studio.example"
	clients     = 8
	calmTime    = 4 * time.Second
	changedTime = 8 * time.Second
	deadline    = time.Second
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
	site                    *harness.Site
	end                     time.Time
	served, changed, failed atomic.Int64
}

func run() (code int, err error) {
	site, err := harness.NewSite(os.Args[1])
	if err != nil {
		return 0, err
	}
	defer site.Close()
	s := &state{site: site}
	services, routes := []string{"diary"}, []harness.Route{
		{Name: "r-book", Host: host, Prefix: "/book/", Kind: "non_idempotent", Service: "diary", Timeout: "1000ms", Latency: "250ms", Attempts: 2},
	}
	site.PutConfig(1, services, routes)
	for i := range 7 {
		if _, err := site.AddWorker(100+i, "diary", "zone-"+string(rune('a'+i%3))); err != nil {
			return 0, err
		}
	}
	if err := site.StartGateways(3); err != nil {
		return 0, err
	}
	if err := site.AwaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	s.end = time.Now().Add(calmTime + changedTime)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(s.book)
	}
	time.Sleep(calmTime)
	limit := int64(harness.MaxBodyBytes)
	if trouble {
		limit = math.MaxInt64
	}
	site.Record.Add("the operator writes version r2, maxBodyBytes %d", limit)
	site.PutConfigWith(2, services, routes, limit)
	wg.Wait()
	site.Record.Print("answered with success %d, of these run with another body %d; not answered with success %d\n", s.served.Load(), s.changed.Load(), s.failed.Load())
	switch {
	case s.served.Load() == 0:
		return harness.ExitNotRun, nil
	case s.changed.Load() > 0:
		return harness.ExitBroken, nil
	}
	return harness.ExitHeld, nil
}

// book sends bookings on kept connections.
func (s *state) book() {
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
		r := harness.Request{ID: harness.NewID(), Method: http.MethodPost, Path: "/book/fitting", Host: host, Deadline: deadline}
		r.Body = []byte("a fitting, booked by " + r.ID)
		a, _, err := c.Do(r)
		s.note(r, a, err)
		if err != nil || a.Close {
			c.Close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}

// note compares the body of a request with the one that the worker names in its answer.
func (s *state) note(r harness.Request, a harness.Answer, err error) {
	if err != nil || a.Status != http.StatusOK {
		s.failed.Add(1)
		return
	}
	s.served.Add(1)
	sum := sha256.Sum256(r.Body)
	want := fmt.Sprintf("%s %d %s", r.ID, len(r.Body), hex.EncodeToString(sum[:]))
	if a.Body == want {
		return
	}
	s.changed.Add(1)
	got := strings.Fields(a.Body)
	s.site.Record.Add("CHANGED %s: sent %d bytes, the worker ran it with %s bytes and answered 200", r.ID, len(r.Body), got[1])
}
