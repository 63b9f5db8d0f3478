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
	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/internal/site"
	"plumpitch.example/plumpitch/platform"
)

// devSendInterval is the pause between two requests of dev --gateway --seconds.
const devSendInterval = 10 * time.Millisecond

// runDevGateways runs the example site with gateways on fakes of the users'
// platform.
func runDevGateways(ctx context.Context, length time.Duration) (err error) {
	handler := logs.New(os.Stderr)
	defer handler.Close()
	cfg := devSite(&log.Logger{Handler: handler, Level: log.WarnLevel})
	s, err := site.StartGateways(cfg)
	if err != nil {
		return err
	}
	defer s.Close()
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := s.Ready(startCtx); err != nil {
		return err
	}
	if length == 0 {
		printDevGateways(s)
		<-ctx.Done()
		fmt.Println("stopping: gateways keep serving until no directory response names them")
		return nil
	}
	return sendToGateways(ctx, s, cfg, length)
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

evacuate a failure domain, watch the evacuation, end it:
  curl -X POST -d '{"metadata":{"name":"subiaco-hall"},"spec":{}}' http://%s/objects/evacuations
  curl http://%[6]s/status
  curl -X DELETE http://%[7]s/objects/evacuations/subiaco-hall

interrupt to stop
`, a.Directory, site.Host, platform.HeaderRequestID, a.Front, site.Prefix("gown-catalogue"), a.Metrics, s.Address)
}

// sendToGateways sends requests to the gateways in turn for the given time. It returns
// an error if any response isn't a 200.
func sendToGateways(ctx context.Context, s *site.Gateways, cfg site.Config, length time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	sent, answered := 0, 0
	for ctx.Err() == nil {
		sv := cfg.Services[sent%len(cfg.Services)].Name
		g := s.Gateways[sent%len(s.Gateways)]
		sent++
		if ok, err := sendToGateway(g.Addresses().Front, sv, sent); err != nil {
			return err
		} else if ok {
			answered++
		}
		time.Sleep(devSendInterval)
	}
	fmt.Printf("%d requests, %d answered\n", sent, answered)
	if answered < sent {
		return errors.Errorf("%d of %d requests were not answered with status 200", sent-answered, sent)
	}
	return nil
}

func sendToGateway(front, service string, n int) (ok bool, err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+front+site.Prefix(service)+"x", nil)
	if err != nil {
		return false, err
	}
	r.Host = site.Host
	r.Header.Set(platform.HeaderRequestID, "dev-"+strconv.Itoa(n))
	w, err := reply.Client.Do(r)
	if err != nil {
		return false, err
	}
	defer w.Body.Close()
	return w.StatusCode == http.StatusOK, nil
}
