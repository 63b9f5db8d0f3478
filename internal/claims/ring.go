package claims

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/ring"
)

// errFork says that two documents carry one revision. It takes a store that
// lost an accepted write while no entry that had seen it could be heard.
var errFork = errors.New("ring: two documents under one revision")

// Offer takes a ring document from a peer or the store. One that can't be read,
// or is not newer, changes nothing.
func (c *Claims) Offer(document []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "offer ring") }()
	r, err := ring.Decode(document)
	if err != nil {
		return err
	}
	c.adopt(r)
	return nil
}

// Newer gives the ring document when its revision is above have, and nothing
// otherwise.
func (c *Claims) Newer(have uint64) (document []byte, err error) {
	r := c.Ring()
	if r.Revision <= have {
		return nil, nil
	}
	return ring.Encode(r)
}

// Serve keeps the ring and copies records until ctx ends.
func (c *Claims) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.copying(ctx) })
	wg.Go(func() { c.probing(ctx) })
	c.keep(ctx)
	wg.Wait()
	return ctx.Err()
}

// keeper is the state of the maintenance loop.
type keeper struct {
	c     *Claims
	due   time.Time // since when a change is due; zero when none is
	under uint64    // ring revision under which it became due
	poll  time.Time // next read of the store
}

func (c *Claims) keep(ctx context.Context) {
	k := &keeper{c: c}
	tick := time.NewTicker(c.cfg.Every)
	defer tick.Stop()
	for ctx.Err() == nil {
		if err := k.look(ctx); err != nil && ctx.Err() == nil {
			c.cfg.Log("ring", err)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		case from := <-c.kick:
			c.fetchFrom(ctx, from)
		}
	}
}

func (c *Claims) fetchFrom(ctx context.Context, id ring.Ident) {
	for _, s := range c.cfg.View().Seen {
		if s.Ident == id {
			c.fetch(ctx, s.Member)
			return
		}
	}
}

// look reads the store when it is time to, takes a newer ring from a peer, and
// proposes a change when one is due and it is this entry's turn.
func (k *keeper) look(ctx context.Context) (err error) {
	c := k.c
	v := c.view()
	c.catchUp(ctx, v)
	now := c.cfg.Now()
	cur := c.Ring()
	next, ok := c.cfg.Bounds.Next(now, cur, v)
	if !ok {
		k.due = time.Time{}
	} else if k.due.IsZero() || k.under != cur.Revision {
		k.due, k.under = now, cur.Revision
	}
	turn := ok && now.Sub(k.due) >= c.turn(v, cur)
	if !turn && cur.Revision > 0 && now.Before(k.poll) {
		return nil
	}
	k.poll = now.Add(c.cfg.Poll)
	if !turn {
		return c.read(ctx)
	}
	return c.propose(ctx, cur, next)
}

// turn staggers the entries, so that they don't all write at once.
func (c *Claims) turn(v ring.View, cur ring.Ring) time.Duration {
	var live []ring.Member
	for _, s := range v.Seen {
		if !s.Leaving {
			live = append(live, s.Member)
		}
	}
	return time.Duration(ring.Rank(live, cur.Revision+1, c.cfg.Self.Ident)) * c.cfg.Turn
}

func (c *Claims) view() ring.View {
	v := c.cfg.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	v.Since = c.since
	if c.synced == c.ring.Revision && c.synced > 0 {
		v.Synced = append(v.Synced, c.cfg.Self.Ident)
	}
	return v
}

// catchUp takes the ring from an entry that has a newer one.
func (c *Claims) catchUp(ctx context.Context, v ring.View) {
	have := c.Ring().Revision
	for _, s := range v.Seen {
		if s.Ident != c.cfg.Self.Ident && (s.Ring > have || have == 0) {
			c.fetch(ctx, s.Member)
			return
		}
	}
}

func (c *Claims) read(ctx context.Context) (err error) {
	document, version, err := c.cfg.Store.Get(ctx)
	if err != nil || version == 0 {
		return err
	}
	return c.Offer(document)
}

// propose writes the next ring on top of the one in force. When the store has a
// newer one, that is taken instead; this also finds an own write whose answer
// was lost. A store that went back gets the ring in force again first.
func (c *Claims) propose(ctx context.Context, cur, next ring.Ring) (err error) {
	defer func() { err = errors.WithMessage(err, "propose ring") }()
	document, version, err := c.cfg.Store.Get(ctx)
	if err != nil {
		return err
	}
	stored, err := decode(document, version)
	switch {
	case err != nil:
		c.cfg.Log("ring in the store can't be read and is replaced", err)
		next = cur
	case stored.Newer(cur):
		c.adopt(stored)
		return nil
	case cur.Newer(stored):
		next = cur
	case !equal(stored, cur):
		return errFork
	}
	if next.Revision == 0 {
		return err
	}
	return c.put(ctx, next, version)
}

func (c *Claims) put(ctx context.Context, next ring.Ring, version uint64) (err error) {
	document, err := ring.Encode(next)
	if err != nil {
		return err
	}
	if err = c.cfg.Store.Put(ctx, document, version); err != nil {
		return err
	}
	return c.Offer(document)
}

func decode(document []byte, version uint64) (ring.Ring, error) {
	if version == 0 {
		return ring.Ring{}, nil
	}
	return ring.Decode(document)
}

func equal(a, b ring.Ring) bool {
	if a.Revision == 0 && b.Revision == 0 {
		return true
	}
	one, err := ring.Encode(a)
	if err != nil {
		return false
	}
	other, err := ring.Encode(b)
	return err == nil && bytes.Equal(one, other)
}
