package members

import (
	"context"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/member"
)

// Gossip answers a peer's message.
func (m *Members) Gossip(ctx context.Context, msg member.Message) (answer member.Message, err error) {
	p := post{event: member.Request{Message: msg}, reply: make(chan member.Message, 1)}
	if err := m.post(ctx, p); err != nil {
		return answer, err
	}
	select {
	case answer = <-p.reply:
		return answer, nil
	case <-ctx.Done():
		return answer, errors.WithMessage(ctx.Err(), "membership")
	}
}

// Ping pings the peer at an address for another entry.
func (m *Members) Ping(ctx context.Context, address string) (id member.ID, err error) {
	timeout := m.cfg.Member.Timeout
	if timeout <= 0 {
		timeout = member.DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.cfg.Client.Ping(ctx, address)
}

// Revised tells the others which revisions are now in force here.
func (m *Members) Revised(ctx context.Context, marks member.Marks) (err error) {
	return m.tell(ctx, member.Revised{Marks: marks})
}

// Ready tells the others that callers may be sent to this entry.
func (m *Members) Ready(ctx context.Context) (err error) {
	return m.tell(ctx, member.Ready{})
}

// Tell starts rumours.
func (m *Members) Tell(ctx context.Context, r member.Rumours) (err error) {
	return m.tell(ctx, member.Tell{Rumours: r})
}

// Seeds replaces the addresses that are tried for a first contact.
func (m *Members) Seeds(ctx context.Context, addresses []string) (err error) {
	return m.tell(ctx, member.Seeds{Addresses: addresses})
}

// Leave announces that this entry will stop. It goes on serving.
func (m *Members) Leave(ctx context.Context) (err error) {
	return m.tell(ctx, member.Leave{})
}

// Depart announces that this entry serves no more, and returns when those that
// were told have answered. Serve must still be running.
func (m *Members) Depart(ctx context.Context) (err error) {
	if err := m.tell(ctx, member.Depart{}); err != nil {
		return err
	}
	told := make(chan struct{})
	go func() {
		m.sends.Wait()
		close(told)
	}()
	select {
	case <-told:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ctx.Err(), "membership")
	}
}
