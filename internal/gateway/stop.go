package gateway

import (
	"context"
	"sync"
	"time"

	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/grace"
)

// Times of a graceful stop.
const (
	// drainTime is how long a stopping entry still accepts requests: callers may use a
	// directory response for up to three times its TTL.
	drainTime = 3 * directoryTTL
	// lastRequestWait is how long the entry waits for requests on connections that were
	// accepted just before the listener closed: a round trip to callers and the delay of a
	// busy VM. An http.Server drops requests that it reads after its shutdown has begun,
	// and such a caller would see its connection close without a response.
	lastRequestWait = 100 * time.Millisecond
)

// stop stops the entry gracefully. It reports not ready and leaves the directory at once,
// serves requests until callers no longer use its address, and then shuts down.
func (g *Gateway) stop(servers ...shutdowner) {
	began, left := time.Now(), make(chan time.Time, 1)
	period := grace.New(grace.Config{Began: began, Grace: g.bounds.Load().Grace, Drain: drainTime})
	g.period.Store(&period)
	g.leaving.Store(true)
	for _, s := range servers {
		s.Leave()
	}
	g.control.enqueue(context.Background(), leaveStarted{left})
	g.log.Info(logs.MessageStopping)
	ctx, cancel := context.WithDeadline(context.Background(), period.Exits)
	defer cancel()
	giveUp := time.AfterFunc(time.Until(period.Ends), g.endServing)
	defer giveUp.Stop()
	go func() {
		if !g.enrolled.Load() {
			return
		}
		if err := g.store.DeleteEntry(ctx, g.self.Name, 0); err != nil {
			g.log.WithError(err).Warn("could not remove this entry's record from the store")
		}
	}()
	sleep(ctx, time.Until(period.Closes))
	g.frontListener.Close()
	sleep(ctx, min(lastRequestWait, time.Until(period.Ends)/2))
	g.shutdown(ctx, servers)
	g.awaitPassedOn(ctx)
	awaitTransfers(began, left)
	g.control.enqueue(ctx, departed{})
}

// shutdowner is a server of callers' connections.
type shutdowner interface {
	Leave()
	Shutdown(ctx context.Context) error
}

// shutdown shuts the servers down at the same time.
func (g *Gateway) shutdown(ctx context.Context, servers []shutdowner) {
	var done sync.WaitGroup
	for _, s := range servers {
		done.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				g.log.WithError(err).Warn("shutdown deadline passed with requests unfinished")
			}
		})
	}
	done.Wait()
}
