package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
)

// attempt is one request that a client sent, and its result.
type attempt struct {
	kind     kind
	id       string
	path     string
	text     string
	once     bool // it must not run twice
	gateway  *gateway
	sent     time.Time
	ended    time.Time
	deadline time.Duration // counted from sentAt
	dialled  bool          // a connection was established
	status   int           // 0 if there was no complete response
	after    time.Duration // Retry-After of the response
	echo     string        // request ID of the response
	signer   string        // ID of the target that signed the response
	body     string
	err      error
}

// loadGenerator runs the clients and records their attempts.
type load struct {
	site   *site
	cancel context.CancelFunc
	done   sync.WaitGroup
	last   atomic.Uint64 // number of the latest request or attempt

	mu       sync.Mutex
	attempts []*attempt
}

func (s *site) startClients() *load {
	ctx, cancel := context.WithCancel(context.Background())
	s.load = &load{site: s, cancel: cancel}
	for i := range s.clientCount {
		c := newClient(s, rand.New(rand.NewPCG(s.seed, uint64(100+i))))
		s.load.done.Go(func() { c.run(ctx) })
	}
	return s.load
}

// stop ends all clients and returns their attempts.
func (l *load) stop() []*attempt {
	l.cancel()
	l.done.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.attempts)
}

// client sends one request after the other over persistent connections to gateways that it
// resolved. It caches the resolved addresses for 1 to 3 s.
type client struct {
	site  *site
	load  *load
	rnd   *rand.Rand
	http  *http.Client
	known []*gateway // result of the latest resolve request
	until time.Time  // when the result expires
}

func newClient(s *site, rnd *rand.Rand) *client {
	return &client{
		site: s, load: s.load, rnd: rnd,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: 4 * time.Second}},
	}
}

func (c *client) close() { c.http.CloseIdleConnections() }

func (c *client) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		n := c.load.last.Add(1)
		k := c.drawKind()
		c.request(k, n)
		c.rest()
	}
}

// pickKind picks a kind of request at random, by weight.
func (c *client) drawKind() kind {
	total := 0
	for _, k := range c.site.kinds {
		total += k.share
	}
	n := c.rnd.IntN(total)
	for _, k := range c.site.kinds {
		if n -= k.share; n < 0 {
			return k
		}
	}
	return c.site.kinds[0]
}

// waitForNext waits until the client's next request: up to 20 ms if the profile sets no
// rate, else an exponentially distributed time.
func (c *client) rest() {
	if c.site.rate == 0 {
		time.Sleep(time.Duration(c.rnd.IntN(20)) * time.Millisecond)
		return
	}
	mean := float64(c.site.clientCount) / c.site.rate * 100 / float64(c.site.rush.Load())
	time.Sleep(time.Duration(c.rnd.ExpFloat64() * mean * float64(time.Second)))
}

// sendWithRetries sends a request and retries it as often as its kind and extraRetries allow.
// It retries at once while extraRetries is set, else after the time in the response. A
// request that must not run twice is retried only if the response guarantees that it
// didn't run.
func (c *client) request(k kind, n uint64) {
	started := time.Now()
	path := k.prefix + "p" + strconv.FormatUint(n%c.site.paths, 10)
	extraRetries := int(c.site.insist.Load())
	for range 1 + k.retries + extraRetries {
		a := c.once(k, path)
		remaining := k.deadline - time.Since(started)
		if a == nil || a.status == http.StatusOK || k.once && !promises(a.status) || remaining <= 0 {
			return
		}
		if extraRetries == 0 {
			time.Sleep(min(a.after, remaining/3))
		}
	}
}

// sendOnce sends one attempt. It returns nil if it knows no gateway.
func (c *client) once(k kind, path string) *attempt {
	if now := time.Now(); len(c.known) == 0 || now.After(c.until) {
		if list := c.site.resolve(c.rnd); len(list) > 0 {
			c.known, c.until = list, now.Add(time.Duration(1+c.rnd.IntN(3))*time.Second)
		}
	}
	if len(c.known) == 0 {
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	a := c.load.send(c.http, c.known[c.rnd.IntN(len(c.known))], k, path)
	if a.status == 0 {
		c.until = time.Time{}
	}
	return a
}

// resolve returns the gateways that clients should connect to. It asks a random gateway for
// them, up to 3 times.
func (s *site) resolve(rnd *rand.Rand) (list []*gateway) {
	for range 3 {
		g := s.gateways[rnd.IntN(len(s.gateways))]
		res, err := quick.Get("http://" + g.ip + ":8546/resolve?region=metro&zone=" + g.place + "&name=" + host)
		if err != nil {
			continue
		}
		var response struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(res.Body).Decode(&response)
		res.Body.Close()
		if err != nil {
			continue
		}
		for _, a := range response.Addresses {
			for _, g := range s.gateways {
				if a == g.ip+":8548" {
					list = append(list, g)
				}
			}
		}
		return list
	}
	return nil
}

// send sends one attempt to a gateway and records it.
func (l *load) send(c *http.Client, g *gateway, k kind, path string) *attempt {
	n := l.last.Add(1)
	a := &attempt{
		kind: k, id: fmt.Sprintf("q%d-%d", l.site.seed, n), path: path, once: k.once, gateway: g, deadline: k.deadline, dialled: true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+g.ip+":8548"+a.path, nil)
	l.site.q.Assert(err, qt.IsNil)
	switch {
	case k.method == http.MethodGet:
	case strings.Contains(path, poison):
		a.text = poison
	default:
		a.text = "b" + a.id
	}
	// The body has no GetBody function, so net/http can't retry the request by itself. An empty
	// body is sent with an unknown length for the same reason.
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(a.text)), int64(len(a.text))
	if a.text == "" {
		r.ContentLength, r.TransferEncoding = -1, []string{"identity"}
	}
	r.Host = host
	r.Header.Set("Plumpitch-Request-Id", a.id)
	r.Header.Set("Plumpitch-Request-Deadline", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	a.sent = time.Now()
	a.answer(c.Do(r))
	a.ended = time.Now()
	l.mu.Lock()
	l.attempts = append(l.attempts, a)
	l.mu.Unlock()
	return a
}

// readResponse records the response. An incomplete response counts as none.
func (a *attempt) answer(res *http.Response, err error) {
	var op *net.OpError
	a.dialled = !(errors.As(err, &op) && op.Op == "dial")
	if a.err = err; err != nil {
		return
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if a.err = err; err != nil {
		return
	}
	a.status, a.body = res.StatusCode, string(b)
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.after = time.Duration(seconds * float64(time.Second))
	}
	a.echo = res.Header.Get("Plumpitch-Request-Id")
	a.signer = strings.TrimPrefix(res.Header.Get("Plumpitch-Response-Signature"), "signed-by-")
}
