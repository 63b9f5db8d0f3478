package members

import (
	"context"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/member"
)

// Gossip handles a peer's message and returns the response.
func (m *Members) Gossip(ctx context.Context, msg member.Message) (response member.Message, err error) {
	q := queuedEvent{event: member.Request{Message: msg}, reply: make(chan member.Message, 1)}
	if err := m.enqueue(ctx, q); err != nil {
		return response, err
	}
	select {
	case response = <-q.reply:
		return response, nil
	case <-ctx.Done():
		return response, errors.WithMessage(ctx.Err(), "membership")
	}
}

// Ping pings the peer at an address on behalf of another entry.
func (m *Members) Ping(ctx context.Context, address string) (id member.ID, err error) {
	timeout := m.cfg.Member.ExchangeTimeout
	if timeout <= 0 {
		timeout = member.DefaultExchangeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.cfg.Client.Ping(ctx, address)
}

// SetRevisions announces the revisions that are now in force at this entry.
func (m *Members) SetRevisions(ctx context.Context, revisions member.Revisions) (err error) {
	return m.submit(ctx, member.SetRevisions{Revisions: revisions})
}

// SetReady announces that callers may be sent to this entry.
func (m *Members) SetReady(ctx context.Context) (err error) {
	return m.submit(ctx, member.Ready{})
}

// SpreadRumours starts spreading rumours to all entries.
func (m *Members) SpreadRumours(ctx context.Context, r member.Rumours) (err error) {
	return m.submit(ctx, member.SpreadRumours{Rumours: r})
}

// SetSeeds replaces the addresses used for a first contact with other entries.
func (m *Members) SetSeeds(ctx context.Context, addresses []string) (err error) {
	return m.submit(ctx, member.SetSeeds{Addresses: addresses})
}

// Leave announces that this entry will stop. The entry still serves requests.
func (m *Members) Leave(ctx context.Context) (err error) {
	return m.submit(ctx, member.Leave{})
}

// Depart announces that this entry no longer serves requests. It returns once all
// pending messages are acknowledged or have failed. Serve must still be running.
func (m *Members) Depart(ctx context.Context) (err error) {
	if err := m.submit(ctx, member.Depart{}); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		m.pendingSends.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ctx.Err(), "membership")
	}
}
