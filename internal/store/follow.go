package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// DefaultPoll is the mean period at which a followed object is read besides its
// watch: 300 entries spend about 40 reads a second on it.
const DefaultPoll = 8 * time.Second

// Follow names an object to follow.
type Follow struct {
	Kind string
	Name string
	Poll time.Duration // DefaultPoll when 0
	// Took is called with the object when it is first read and whenever its
	// version differs from the last one, also to a lower one. A version of 0
	// stands for an object that doesn't exist.
	Took func(Object)
}

// next draws the time until the next poll, a quarter more or less than Poll.
func (f Follow) next(r *rand.Rand) time.Duration {
	return f.Poll*3/4 + time.Duration(r.Int64N(int64(f.Poll/2)+1))
}

// Follow reports an object's changes until ctx is done, and opens its watch
// again whenever that ends.
//
// A watch can die without a word: the connection stays open and brings nothing,
// and the entry would stay on old settings for ever. A slow poll finds out and
// opens a new watch; it costs 1 read in Poll, where polling alone would cost
// one for each second of delay that is allowed.
func (s *Client) Follow(ctx context.Context, f Follow) error {
	if f.Poll <= 0 {
		f.Poll = DefaultPoll
	}
	w := follower{client: s, follow: f}
	for n := 0; ctx.Err() == nil; n++ {
		if w.round(ctx) {
			n = 0
		}
		if s.pause(ctx, n) != nil {
			break
		}
	}
	return ctx.Err()
}

type follower struct {
	client *Client
	follow Follow
	seen   uint64
	any    bool // Took was called
}

// round reads the object, watches it until the watch ends or is found silent,
// and tells whether the store answered at all.
func (w *follower) round(ctx context.Context) (answered bool) {
	if !w.poll(ctx) {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, ended := w.watch(ctx)
	timer := time.NewTimer(w.period())
	defer timer.Stop()
	for {
		select {
		case c := <-changes:
			w.took(c)
		case <-ended:
			return true
		case <-timer.C:
			before := w.seen
			if !w.poll(ctx) || w.seen != before {
				return true
			}
			timer.Reset(w.period())
		}
	}
}

// watch runs until ctx is done or the stream ends. The caller has read the last
// change before it sees the end.
func (w *follower) watch(ctx context.Context) (<-chan Change, <-chan struct{}) {
	changes, ended := make(chan Change), make(chan struct{})
	from := w.seen
	go func() {
		defer close(ended)
		_ = w.client.Watch(ctx, w.follow.Kind, from, func(c Change) {
			select {
			case changes <- c:
			case <-ctx.Done():
			}
		})
	}()
	return changes, ended
}

func (w *follower) took(c Change) {
	if c.Object.Name != w.follow.Name {
		return
	}
	if c.Deleted {
		c.Object.Version = 0
	}
	w.report(c.Object)
}

func (w *follower) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*w.client.timeout)
	defer cancel()
	o, err := w.client.Get(ctx, w.follow.Kind, w.follow.Name)
	if errors.Is(err, ErrNotFound) {
		o, err = Object{Kind: w.follow.Kind, Name: w.follow.Name}, nil
	}
	if err != nil {
		return false
	}
	w.report(o)
	return true
}

func (w *follower) report(o Object) {
	if w.any && o.Version == w.seen {
		return
	}
	w.seen, w.any = o.Version, true
	w.follow.Took(o)
}

func (w *follower) period() time.Duration {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	return w.follow.next(w.client.rand)
}
