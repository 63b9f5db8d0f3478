// Package members runs the membership table of an entry over the peers'
// protocol. One goroutine owns the table; others read snapshots.
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

// Config builds Members. The functions are called by the goroutine that owns
// the table and must not block.
type Config struct {
	Member     member.Config
	Client     *peer.Client
	Now        func() time.Time                          // time.Now when nil
	Behind     func(from member.Ref, marks member.Marks) // a peer has newer revisions
	Learned    func(r member.Rumours)                    // rumours that are new here
	Superseded func(by member.ID)                        // a later incarnation of this name is up
}

// Members is the membership of one entry.
type Members struct {
	cfg     Config
	table   *member.Table // owned by Serve
	view    atomic.Pointer[member.View]
	changes chan struct{}
	posts   chan post
	sends   sync.WaitGroup
}

// post is an event on its way to the owner, and where its reply goes.
type post struct {
	event member.Event
	reply chan member.Message // nil when none is awaited
	done  chan struct{}
}

// postQueue is how many events may wait for the owner.
const postQueue = 256

// New gives the membership of an entry that knows only itself.
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
		posts:   make(chan post, postQueue),
	}
	m.publish()
	return m
}

// View gives what this entry knows at present. It must not be changed.
func (m *Members) View() *member.View { return m.view.Load() }

// Serving gives the entries that requests may be sent to.
func (m *Members) Serving() []member.Entry { return m.View().Serving() }

// Changes gets a value after the view has changed; several changes may share
// one.
func (m *Members) Changes() <-chan struct{} { return m.changes }

// Serve runs rounds until ctx ends. It may be called again after that.
func (m *Members) Serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			m.handle(ctx, post{event: member.Tick{}})
		case p := <-m.posts:
			m.handle(ctx, p)
		}
		timer.Reset(max(m.table.Next().Sub(m.cfg.Now()), time.Millisecond))
	}
}

func (m *Members) handle(ctx context.Context, p post) {
	for _, a := range m.table.Handle(m.cfg.Now(), p.event) {
		if r, ok := a.(member.Reply); ok {
			p.reply <- r.Message
			continue
		}
		m.act(ctx, a)
	}
	if p.done != nil {
		close(p.done)
	}
}

func (m *Members) act(ctx context.Context, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		m.sends.Go(func() { m.send(ctx, a) })
	case member.Reach:
		m.sends.Go(func() { m.reach(ctx, a) })
	case member.Changed, member.Marked:
		m.publish()
	case member.Behind:
		if m.cfg.Behind != nil {
			m.cfg.Behind(a.Peer, a.Marks)
		}
	case member.Learned:
		if m.cfg.Learned != nil {
			m.cfg.Learned(a.Rumours)
		}
	case member.Superseded:
		if m.cfg.Superseded != nil {
			m.cfg.Superseded(a.By)
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
	var ev member.Event = member.NoAnswer{Exchange: s.Exchange}
	limited, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	answer, err := m.cfg.Client.Gossip(limited, s.To.Address, s.Message)
	if err == nil {
		ev = member.Answer{Exchange: s.Exchange, Message: answer}
	}
	_ = m.post(ctx, post{event: ev})
}

func (m *Members) reach(ctx context.Context, r member.Reach) {
	var ev member.Event = member.NoAnswer{Exchange: r.Exchange}
	limited, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	id, err := m.cfg.Client.Reach(limited, r.Via.Address, r.Target.Address)
	if err == nil && id != (member.ID{}) {
		ev = member.Reached{Exchange: r.Exchange, ID: id}
	}
	_ = m.post(ctx, post{event: ev})
}

func (m *Members) post(ctx context.Context, p post) (err error) {
	select {
	case m.posts <- p:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ctx.Err(), "membership")
	}
}

// tell posts an event and waits until it is handled.
func (m *Members) tell(ctx context.Context, ev member.Event) (err error) {
	p := post{event: ev, done: make(chan struct{})}
	if err := m.post(ctx, p); err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ctx.Err(), "membership")
	}
}
