package claims

import (
	"context"
	"sync"
	"time"

	"plumpitch.example/plumpitch/pkg/ring"
)

// probes is how often a member is asked within ring.Config.Remove, so that a
// few lost answers don't make this entry refuse claims.
const probes = 5

// probing asks the members of the ring whether they are there, each time the
// ring changes and in between. Claims are accepted only while most of them are
// (ring.Config.InContact).
func (c *Claims) probing(ctx context.Context) {
	every := c.cfg.Bounds.Remove / probes
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		r, changed := c.current()
		for _, m := range others(r, c.cfg.Self.Ident) {
			wg.Go(func() { c.probe(ctx, m, every) })
		}
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// probe sends an empty batch of records: its answer tells that the incarnation
// is there, and which ring it has in force. The time that counts is the one
// before the question, since the answer may have been long on its way.
func (c *Claims) probe(ctx context.Context, to ring.Member, bound time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	at := c.cfg.Now()
	b := Batch{To: to.Ident, From: c.cfg.Self.Ident, Ring: c.Ring().Revision}
	revision, err := c.cfg.Peers.Records(ctx, to, b)
	if err != nil {
		return
	}
	if revision > c.Ring().Revision {
		c.fetch(ctx, to)
	}
	c.heard(at, to.Ident, revision)
}

// heard counts an answer unless its sender has a newer ring: claims under the
// one in force here may then be void.
func (c *Claims) heard(at time.Time, id ring.Ident, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.ring.Revision {
		c.contact.Heard(at, id)
	}
}

func others(r ring.Ring, self ring.Ident) (out []ring.Member) {
	seen := map[ring.Ident]bool{self: true}
	for _, list := range [][]ring.Member{r.Members, r.Old} {
		for _, m := range list {
			if !seen[m.Ident] {
				out = append(out, m)
			}
			seen[m.Ident] = true
		}
	}
	return out
}
