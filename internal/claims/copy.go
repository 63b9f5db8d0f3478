package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Bounds on one batch of copied records, so that it stays below the longest
// request that a peer takes.
const (
	batchRecords = 1000
	batchBytes   = 1 << 20
	recordBytes  = 256 // of a record without its answer
	batchBound   = 5 * time.Second
)

// copying copies this entry's records whenever a ring asks for it.
func (c *Claims) copying(ctx context.Context) {
	for ctx.Err() == nil {
		r, changed := c.current()
		if claim.Owes(r, c.cfg.Self.Ident) {
			c.copyTo(ctx, r, changed)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// copyTo sends the records that the ring asks for until enough replicas have
// them or the ring changes again.
func (c *Claims) copyTo(ctx context.Context, r ring.Ring, changed <-chan struct{}) {
	c.mu.Lock()
	if c.ring.Revision != r.Revision {
		c.mu.Unlock()
		return
	}
	records := c.table.Records(c.cfg.Now())
	c.mu.Unlock()
	plan := claim.Plan(r, c.cfg.Self.Ident, records)
	for !plan.Done() {
		for _, p := range plan.Parts() {
			if err := c.sendPart(ctx, r, p); err != nil {
				c.cfg.Log("copy records", err)
				continue
			}
			plan.Acked(p.To.Ident)
		}
		if !plan.Done() && !c.pause(ctx, changed) {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.synced = max(c.synced, r.Revision)
}

func (c *Claims) pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(c.cfg.Every)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return false
	case <-timer.C:
		return true
	}
}

func (c *Claims) sendPart(ctx context.Context, r ring.Ring, p claim.Part) (err error) {
	defer func() { err = errors.WithMessagef(err, "to %s", p.To) }()
	rest := p.Records
	for len(rest) > 0 {
		n := batchLen(rest)
		b := Batch{To: p.To.Ident, From: c.cfg.Self.Ident, Ring: r.Revision, Records: rest[:n], Last: n == len(rest)}
		if err = c.sendBatch(ctx, p.To, b); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

func (c *Claims) sendBatch(ctx context.Context, to ring.Member, b Batch) error {
	ctx, cancel := context.WithTimeout(ctx, batchBound)
	defer cancel()
	_, err := c.cfg.Peers.Records(ctx, to, b)
	return err
}

// batchLen gives how many of the records fit one batch, one at the least.
func batchLen(records []claim.Record) (n int) {
	bytes := 0
	for n < len(records) && n < batchRecords {
		bytes += recordBytes
		if a := records[n].Answer; a != nil {
			bytes += len(a.Body)
		}
		if n > 0 && bytes > batchBytes {
			break
		}
		n++
	}
	return n
}
