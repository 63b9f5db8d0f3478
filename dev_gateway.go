package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/internal/site"
	"plumpitch.example/plumpitch/platform"
)

// devPause is the time between two requests of a trial with --seconds.
const devPause = 10 * time.Millisecond

// runDevGateways runs Swanbourne's site on stand-ins of the users' platform.
func runDevGateways(ctx context.Context, length time.Duration) (err error) {
	lines := logs.New(os.Stderr)
	defer lines.Close()
	cfg := devSite(&log.Logger{Handler: lines, Level: log.WarnLevel})
	s, err := site.StartGateways(cfg)
	if err != nil {
		return err
	}
	defer s.Close()
	start, cancel := context.WithTimeout(ctx, devStart)
	defer cancel()
	if err := s.Ready(start); err != nil {
		return err
	}
	if length == 0 {
		printDevGateways(s)
		<-ctx.Done()
		fmt.Println("stopping: gateways serve until nobody is sent to them any more")
		return nil
	}
	return tryGateways(ctx, s, cfg, length)
}

func printDevGateways(s *site.Gateways) {
	for _, g := range s.Gateways {
		a := g.Addresses()
		fmt.Printf("gateway: front %s, directory %s, metrics %s\n", a.Front, a.Directory, a.Metrics)
	}
	a := s.Gateways[0].Addresses()
	fmt.Printf(`
try next:
  curl 'http://%s/resolve?name=%s'
  curl -H 'Host: %[2]s' -H '%s: q1' http://%s%sgowns
  curl http://%s/metrics

evacuate a failure domain, watch it, take it back:
  curl -X POST -d '{"metadata":{"name":"subiaco-hall"},"spec":{}}' http://%s/objects/evacuations
  curl http://%[6]s/status
  curl -X DELETE http://%[7]s/objects/evacuations/subiaco-hall

interrupt to stop
`, a.Directory, site.Host, platform.HeaderRequest, a.Front, site.Prefix("gown-catalogue"), a.Metrics, s.Address)
}

// tryGateways sends requests to the gateways in turn and fails if one isn't
// answered by a target.
func tryGateways(ctx context.Context, s *site.Gateways, cfg site.Config, length time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	sent, answered := 0, 0
	for ctx.Err() == nil {
		sv := cfg.Services[sent%len(cfg.Services)].Name
		g := s.Gateways[sent%len(s.Gateways)]
		sent++
		if ok, err := tryGateway(g.Addresses().Front, sv, sent); err != nil {
			return err
		} else if ok {
			answered++
		}
		time.Sleep(devPause)
	}
	fmt.Printf("%d requests, %d answered\n", sent, answered)
	if answered < sent {
		return errors.Errorf("%d of %d requests weren't answered", sent-answered, sent)
	}
	return nil
}

func tryGateway(front, service string, n int) (ok bool, err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+front+site.Prefix(service)+"x", nil)
	if err != nil {
		return false, err
	}
	r.Host = site.Host
	r.Header.Set(platform.HeaderRequest, "dev-"+strconv.Itoa(n))
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return false, err
	}
	defer w.Body.Close()
	return w.StatusCode == http.StatusOK, nil
}
