package claims

import (
	"context"
	"slices"
	"sync"
	"time"

	"plumpitch.example/plumpitch/pkg/ring"
)

// probes is how often within ring.Config.Remove this entry looks whether enough
// members have answered it, and renew is how many looks ahead of the end it asks
// again, so that a few lost answers don't make it refuse claims.
const (
	probes = 5
	renew  = 2
)

// spare is how many members are asked beyond those that have to answer.
const spare = 2

// probing asks members of the ring whether they are there. Claims are accepted
// only while most of them are (ring.Config.InContact). Only as many are asked as
// are lacking: to ask them all would cost each entry bytes in proportion to
// their number several times over.
func (c *Claims) probing(ctx context.Context) {
	every := c.cfg.Bounds.Remove / probes
	asked := make(map[ring.Ident]time.Time)
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		r, changed := c.current()
		now := c.cfg.Now()
		for _, m := range c.toAsk(now, r, c.cfg.Bounds.Remove-renew*every, asked) {
			asked[m.Ident] = now
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

// toAsk picks whom to ask: of each list the members that have not answered for
// a while, least lately asked first, so that dead ones don't use up every turn.
func (c *Claims) toAsk(now time.Time, r ring.Ring, within time.Duration, asked map[ring.Ident]time.Time) (out []ring.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lacking := c.contact.Lacking(now, r, c.cfg.Self.Ident, within)
	if lacking == 0 {
		return nil
	}
	for _, list := range [][]ring.Member{r.Members, r.Old} {
		stale := c.stale(now, list, within, asked)
		out = union(out, stale[:min(len(stale), lacking+spare)])
	}
	return out
}

func (c *Claims) stale(now time.Time, list []ring.Member, within time.Duration, asked map[ring.Ident]time.Time) (out []ring.Member) {
	for _, m := range list {
		if m.Ident != c.cfg.Self.Ident && !c.contact.Fresh(now, m.Ident, within) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b ring.Member) int { return asked[a.Ident].Compare(asked[b.Ident]) })
	return out
}

func union(list, more []ring.Member) []ring.Member {
	for _, m := range more {
		if !slices.ContainsFunc(list, func(l ring.Member) bool { return l.Ident == m.Ident }) {
			list = append(list, m)
		}
	}
	return list
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
