package gateway

import (
	"context"
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/logs"
)

// Times of a graceful stop.
const (
	// serveOn is how long a stopping entry still serves whoever comes: callers
	// keep a directory answer up to three times as long as it says.
	serveOn = 3 * directoryTTL
	// acceptTime is how long requests are awaited on connections that were made
	// just before the listener closed: a round trip to callers and a busy VM's
	// delay. An http.Server drops what it reads once its shutdown has begun, and
	// a caller whose connection was taken would see it end without an answer.
	acceptTime = 100 * time.Millisecond
	// stopReserve is what is kept of the grace for the end of the process.
	stopReserve = 500 * time.Millisecond
	// answerTime is how long before that requests are given up, so that their callers
	// have an answer when their connections close.
	answerTime = 100 * time.Millisecond
)

// leave stops gracefully: out of the directory and not ready at once, then
// serving until nobody is sent here any more, then closing between requests.
func (g *Gateway) leave(front *http.Server) {
	grace := g.bounds.Load().Grace
	deadline := time.Now().Add(grace - stopReserve)
	g.leaving.Store(true)
	g.control.tell(context.Background(), leaves{})
	g.log.Info(logs.MessageStops)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	giveUp := time.AfterFunc(time.Until(deadline)-answerTime, func() { close(g.ending) })
	defer giveUp.Stop()
	go func() {
		if !g.recorded.Load() {
			return
		}
		if err := g.store.Leave(ctx, g.self.Name, 0); err != nil {
			g.log.WithError(err).Warn("still on record")
		}
	}()
	sleep(ctx, min(serveOn, grace/2))
	g.front.Close()
	sleep(ctx, acceptTime)
	if err := front.Shutdown(ctx); err != nil {
		g.log.WithError(err).Warn("requests cut by the stop")
	}
	g.control.tell(ctx, departs{})
}
