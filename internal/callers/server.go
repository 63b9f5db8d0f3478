package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
)

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// Concurrent reports whether a request may be served while earlier ones of its connection
	// are. Other requests wait for all earlier ones, and all later ones wait for them. Nil
	// means that no request may.
	Concurrent func(*http.Request) bool
	// ConnContext returns the context of the requests of a connection; nil means ctx.
	ConnContext func(ctx context.Context, c net.Conn) context.Context

	// HeaderTimeout returns the time for reading a request head, from its first byte. Nil or 0 means
	// ReadTimeout.
	HeaderTimeout func() time.Duration
	// ReadTimeout bounds the reading of a body, from the time at which the request is served,
	// so that a request that waits for its turn doesn't use it up; 0 means none.
	ReadTimeout time.Duration
	// IdleTimeout returns for how long a connection may have no request under way. It is called
	// at each start of that time and must not block; nil or 0 means that there is no limit.
	IdleTimeout func() time.Duration

	// MaxHeaderBytes returns the bound of the request line, and of the header lines. Nil or 0 means
	// http.DefaultMaxHeaderBytes. A head of up to twice the bound is read, so that the handler can
	// tell its caller; see Response.
	MaxHeaderBytes func() int
	MaxRequests    int // requests of one connection that are under way; 0 means 1
	// Pipelines reports whether a new connection may have MaxRequests under way, and not just one;
	// nil means that it may.
	Pipelines       func() bool
	MaxWaitingBytes int // bytes of responses of one connection that wait for earlier ones

	Guard Guard         // nil admits everything
	Log   log.Interface // nil means log.Log
}

// writeTimeout is how long a write may make no progress before its connection is closed. It
// covers several retransmissions to a caller whose link is lossy.
const writeTimeout = 30 * time.Second

// Server serves connections.
type Server struct {
	cfg          Config
	writeTimeout time.Duration
	leaving      atomic.Bool // set by Leave
	down         atomic.Bool // Shutdown has begun

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	closed    bool          // Shutdown has given up: new connections are closed at once
	empty     chan struct{} // closed when the last connection has ended after the start of Shutdown
}

// New returns a server.
func New(cfg Config) *Server {
	cfg.MaxRequests = max(cfg.MaxRequests, 1)
	if cfg.Guard == nil {
		cfg.Guard = unguarded{}
	}
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	return &Server{
		cfg: cfg, writeTimeout: writeTimeout,
		listeners: make(map[net.Listener]struct{}), conns: make(map[*conn]struct{}),
	}
}

// Delays of Serve after a failure to accept that may pass, such as a lack of descriptors.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// After refusedBatch connections that weren't admitted, Serve pauses, so that callers who connect again
// at once don't take the processor time of others.
const (
	refusedBatch = 16
	refusedPause = time.Millisecond
)

// Serve accepts connections until the listener or the server is closed. It returns
// http.ErrServerClosed after Shutdown, otherwise the error of the listener.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		l.Close()
		return http.ErrServerClosed
	}
	defer s.removeListener(l)
	delay, refused := minAcceptDelay, 0
	for {
		rwc, err := l.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
			if c := s.add(rwc); c != nil {
				go s.serve(c)
			} else if refused++; refused%refusedBatch == 0 {
				time.Sleep(refusedPause)
			}
		case s.down.Load():
			return http.ErrServerClosed
		case isTemporary(err):
			s.cfg.Log.WithError(err).Warn("could not accept a connection")
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
		default:
			return err
		}
	}
}

// isTemporary reports whether a later Accept may succeed.
func isTemporary(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(rwc net.Conn) {
	if c := s.add(rwc); c != nil {
		s.serve(c)
	}
}

func (s *Server) serve(c *conn) {
	defer s.remove(c)
	c.serve()
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down.Load() {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

// add registers a connection, so that Shutdown waits for it. It closes one that isn't admitted, and
// returns nil.
func (s *Server) add(rwc net.Conn) *conn {
	c := newConn(s, rwc)
	host, _, _ := net.SplitHostPort(c.remote)
	if c.lease = s.cfg.Guard.Connect(host, Actions{Evict: c.fail, Narrow: c.narrow, NarrowSend: c.narrowSend}); c.lease == nil {
		c.cancel()
		rwc.Close()
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.closed {
		c.rwc.Close()
	}
	return c
}

func (s *Server) remove(c *conn) {
	c.lease.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalEmpty()
}

// signalEmpty tells Shutdown that no connection is left. The caller must hold s.mu.
func (s *Server) signalEmpty() {
	if s.empty != nil && len(s.conns) == 0 {
		close(s.empty)
		s.empty = nil
	}
}

// Leave makes connections end with the response to a request that begins from now on, unless further
// requests have arrived.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown closes the listeners of Serve and idle connections, lets the requests under way
// and those that have just arrived finish, and waits for the connections to end. If ctx ends
// first, it closes the others and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.down.Store(true)
	for l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.stopIdle()
	}
	if s.empty == nil {
		s.empty = make(chan struct{})
	}
	empty := s.empty
	s.signalEmpty()
	s.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.fail()
	}
	return ctx.Err()
}
