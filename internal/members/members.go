// Package members runs the membership table of an entry over the peer protocol. One
// goroutine owns the table; other goroutines read snapshots.
package members

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/pkg/member"
)

// Config configures Members. The callbacks run in the goroutine that owns the table
// and must not block.
type Config struct {
	Member       member.Config
	Client       *peer.Client
	Now          func() time.Time                                  // time.Now when nil
	OnPeerAhead  func(from member.Ref, revisions member.Revisions) // a peer has newer revisions
	OnRumours    func(r member.Rumours)                            // rumours new to this entry were received
	OnSuperseded func(by member.ID)                                // a later incarnation of this entry is running
}

// Members is the membership of one entry.
type Members struct {
	cfg          Config
	table        *member.Table // owned by Serve
	view         atomic.Pointer[member.View]
	changes      chan struct{}
	queue        chan queuedEvent
	pendingSends sync.WaitGroup
}

// queuedEvent is an event that waits for the goroutine that owns the table.
type queuedEvent struct {
	event member.Event
	reply chan member.Message // receives the response; nil if none is expected
	done  chan struct{}       // closed when the event is handled; may be nil
}

// queueSize is the maximum number of queued events.
const queueSize = 256

// New returns the membership of an entry that knows no other entry yet.
func New(cfg Config) *Members {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Member.Self.Since.IsZero() {
		cfg.Member.Self.Since = cfg.Now()
	}
	m := &Members{
		cfg:     cfg,
		table:   member.New(cfg.Member),
		changes: make(chan struct{}, 1),
		queue:   make(chan queuedEvent, queueSize),
	}
	m.publish()
	return m
}

// View returns the current view of this entry. The caller must not change it.
func (m *Members) View() *member.View { return m.view.Load() }

// Serving returns the entries that requests may be sent to.
func (m *Members) Serving() []member.Entry { return m.View().Serving() }

// Changes returns a channel that receives a value after the view has changed.
// Several changes may be combined into one value.
func (m *Members) Changes() <-chan struct{} { return m.changes }

// Serve runs gossip rounds and handles events until ctx ends. It may then be called
// again.
func (m *Members) Serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			m.handle(ctx, queuedEvent{event: member.Tick{}})
		case q := <-m.queue:
			m.handle(ctx, q)
		}
		timer.Reset(max(m.table.Next().Sub(m.cfg.Now()), time.Millisecond))
	}
}

func (m *Members) handle(ctx context.Context, q queuedEvent) {
	for _, a := range m.table.Handle(m.cfg.Now(), q.event) {
		if r, ok := a.(member.Reply); ok {
			q.reply <- r.Message
			continue
		}
		m.execute(ctx, a)
	}
	if q.done != nil {
		close(q.done)
	}
}

func (m *Members) execute(ctx context.Context, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		m.pendingSends.Go(func() { m.send(ctx, a) })
	case member.IndirectPing:
		m.pendingSends.Go(func() { m.sendIndirectPing(ctx, a) })
	case member.ViewChanged, member.RevisionsChanged:
		m.publish()
	case member.PeerAhead:
		if m.cfg.OnPeerAhead != nil {
			m.cfg.OnPeerAhead(a.Peer, a.Revisions)
		}
	case member.RumoursReceived:
		if m.cfg.OnRumours != nil {
			m.cfg.OnRumours(a.Rumours)
		}
	case member.Superseded:
		if m.cfg.OnSuperseded != nil {
			m.cfg.OnSuperseded(a.By)
		}
	}
}

func (m *Members) publish() {
	v := m.table.View()
	m.view.Store(&v)
	select {
	case m.changes <- struct{}{}:
	default:
	}
}

func (m *Members) send(ctx context.Context, s member.Send) {
	var ev member.Event = member.ExchangeFailed{ExchangeID: s.ExchangeID}
	limited, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	response, err := m.cfg.Client.Gossip(limited, s.To.Address, s.Message)
	if err == nil {
		ev = member.Response{ExchangeID: s.ExchangeID, Message: response}
	}
	_ = m.enqueue(ctx, queuedEvent{event: ev})
}

func (m *Members) sendIndirectPing(ctx context.Context, r member.IndirectPing) {
	var ev member.Event = member.ExchangeFailed{ExchangeID: r.ExchangeID}
	limited, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	id, err := m.cfg.Client.IndirectPing(limited, r.Via.Address, r.Peer.Address)
	if err == nil && id != (member.ID{}) {
		ev = member.IndirectAck{ExchangeID: r.ExchangeID, ID: id}
	}
	_ = m.enqueue(ctx, queuedEvent{event: ev})
}

func (m *Members) enqueue(ctx context.Context, q queuedEvent) (err error) {
	select {
	case m.queue <- q:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ctx.Err(), "membership")
	}
}

// submit enqueues an event and waits until it is handled.
func (m *Members) submit(ctx context.Context, ev member.Event) (err error) {
	q := queuedEvent{event: ev, done: make(chan struct{})}
	if err := m.enqueue(ctx, q); err != nil {
		return err
	}
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ctx.Err(), "membership")
	}
}
