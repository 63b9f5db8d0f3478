package claims

import (
	"context"
	"time"

	"plumpitch.example/plumpitch/pkg/claim"
)

// A settlement is sent again until it is acknowledged: a withdrawal that is
// lost holds the key at that replica for the whole retention. The tries end
// well before replicas forget the withdrawn ID (claim.Config.Late).
const (
	tellTries = 9
	tellFirst = 50 * time.Millisecond
	tellBound = 2 * time.Second // of one try
)

func (c *Claims) tell(t claim.Tell) {
	if t.To.Ident == c.cfg.Self.Ident {
		c.Settle(t.Settlement)
		return
	}
	c.telling.Go(func() { c.deliver(t) })
}

func (c *Claims) deliver(t claim.Tell) {
	wait := tellFirst
	for range tellTries {
		if c.tellOnce(t) || !c.Ring().Has(t.To.Ident) {
			return
		}
		if !sleep(c.life, wait) {
			return
		}
		wait *= 2
	}
	c.cfg.Log("settlement not delivered to "+t.To.Name, nil)
}

func (c *Claims) tellOnce(t claim.Tell) bool {
	ctx, cancel := context.WithTimeout(c.life, tellBound)
	defer cancel()
	_, err := c.cfg.Peers.Settle(ctx, t.To, t.Settlement)
	return err == nil
}

// sleep tells whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
