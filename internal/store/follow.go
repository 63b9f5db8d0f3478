package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// DefaultPoll is the mean interval at which a followed object is polled in
// addition to its watch. 300 entries cause about 40 reads a second with it.
const DefaultPoll = 8 * time.Second

// Follow describes an object to follow.
type Follow struct {
	Kind string
	Name string
	Poll time.Duration // DefaultPoll when 0
	// OnChange is called with the object when it is first read, and whenever its
	// version differs from the last one. The version may be lower, after the store
	// was restored from a backup. Version 0 means that the object doesn't exist.
	OnChange func(Object)
}

// nextPollDelay returns the delay until the next poll: Poll with a jitter of 25%
// either way.
func (f Follow) nextPollDelay(r *rand.Rand) time.Duration {
	return f.Poll*3/4 + time.Duration(r.Int64N(int64(f.Poll/2)+1))
}

// Follow reports an object's changes until ctx is done. It reopens the watch
// whenever the watch ends.
//
// A watch can fail silently: the connection stays open but delivers no events, and
// the entry would keep old settings forever. A slow poll detects this and opens a
// new watch. The poll costs one read per Poll interval; polling without a watch
// would need an interval as short as the delay that is acceptable for a change.
func (s *Client) Follow(ctx context.Context, f Follow) error {
	if f.Poll <= 0 {
		f.Poll = DefaultPoll
	}
	w := follower{client: s, follow: f}
	for n := 0; ctx.Err() == nil; n++ {
		if w.readAndWatch(ctx) {
			n = 0
		}
		if s.pause(ctx, n) != nil {
			break
		}
	}
	return ctx.Err()
}

type follower struct {
	client      *Client
	follow      Follow
	lastVersion uint64
	reported    bool // OnChange was called
}

// readAndWatch reads the object and then watches it until the watch ends or a
// poll shows that the watch missed a change. It reports whether the first read
// succeeded.
func (w *follower) readAndWatch(ctx context.Context) (reachable bool) {
	if !w.poll(ctx) {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, ended := w.watch(ctx)
	timer := time.NewTimer(w.pollDelay())
	defer timer.Stop()
	for {
		select {
		case c := <-changes:
			w.handleChange(c)
		case <-ended:
			return true
		case <-timer.C:
			previous := w.lastVersion
			if !w.poll(ctx) || w.lastVersion != previous {
				return true
			}
			timer.Reset(w.pollDelay())
		}
	}
}

// watch sends the changes of the object's kind to the first channel and closes the
// second one when ctx is done or the stream ends. The first channel is unbuffered, so
// the caller has received every change before the second one is closed.
func (w *follower) watch(ctx context.Context) (<-chan Change, <-chan struct{}) {
	changes, ended := make(chan Change), make(chan struct{})
	from := w.lastVersion
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

func (w *follower) handleChange(c Change) {
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
	if w.reported && o.Version == w.lastVersion {
		return
	}
	w.lastVersion, w.reported = o.Version, true
	w.follow.OnChange(o)
}

func (w *follower) pollDelay() time.Duration {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	return w.follow.nextPollDelay(w.client.rand)
}
