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

// attempt is one request of a client, and what came of it.
type attempt struct {
	kind     kind
	id       string
	path     string
	text     string // body that was sent
	once     bool
	gateway  *gateway
	sent     time.Time
	ended    time.Time
	deadline time.Duration
	dialled  bool // the connection was there
	status   int
	after    time.Duration // when to come back, as the answer says
	echo     string        // id that the answer names
	signer   string        // target that signed it
	body     string
	err      error
}

// load is what clients do.
type load struct {
	site   *site
	cancel context.CancelFunc
	done   sync.WaitGroup
	last   atomic.Uint64

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

func (l *load) stop() []*attempt {
	l.cancel()
	l.done.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.attempts)
}

// client sends one request after the other on kept connections, each on the one to an
// address that it was told, and keeps what it was told for some seconds.
type client struct {
	site  *site
	load  *load
	rnd   *rand.Rand
	http  *http.Client
	known []*gateway
	until time.Time
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

// drawKind draws a kind of request by its share.
func (c *client) drawKind() kind {
	all := 0
	for _, k := range c.site.kinds {
		all += k.share
	}
	n := c.rnd.IntN(all)
	for _, k := range c.site.kinds {
		if n -= k.share; n < 0 {
			return k
		}
	}
	return c.site.kinds[0]
}

// rest waits until the next request.
func (c *client) rest() {
	if c.site.rate == 0 {
		time.Sleep(time.Duration(c.rnd.IntN(20)) * time.Millisecond)
		return
	}
	mean := float64(c.site.clientCount) / c.site.rate * 100 / float64(c.site.rush.Load())
	time.Sleep(time.Duration(c.rnd.ExpFloat64() * mean * float64(time.Second)))
}

// request sends a request, and again where its kind has retries: at once where clients
// insist, else when the answer says, and what may run once only after a refusal.
func (c *client) request(k kind, n uint64) {
	began := time.Now()
	path := k.prefix + "p" + strconv.FormatUint(n%c.site.paths, 10)
	insist := int(c.site.insist.Load())
	for range 1 + k.retries + insist {
		a := c.once(k, path)
		left := k.deadline - time.Since(began)
		if a == nil || a.status == http.StatusOK || k.once && !promises(a.status) || left <= 0 {
			return
		}
		if insist == 0 {
			time.Sleep(min(a.after, left/3))
		}
	}
}

// once sends one attempt; it returns nil where no address is known.
func (c *client) once(k kind, path string) *attempt {
	if now := time.Now(); len(c.known) == 0 || now.After(c.until) {
		if told := c.site.resolve(c.rnd); len(told) > 0 {
			c.known, c.until = told, now.Add(time.Duration(1+c.rnd.IntN(3))*time.Second)
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

// resolve asks some gateways where to connect.
func (s *site) resolve(rnd *rand.Rand) (told []*gateway) {
	for range 3 {
		g := s.gateways[rnd.IntN(len(s.gateways))]
		res, err := quick.Get("http://" + g.ip + ":8546/resolve?region=metro&zone=" + g.place + "&name=" + host)
		if err != nil {
			continue
		}
		var w struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(res.Body).Decode(&w)
		res.Body.Close()
		if err != nil {
			continue
		}
		for _, a := range w.Addresses {
			for _, g := range s.gateways {
				if a == g.ip+":8548" {
					told = append(told, g)
				}
			}
		}
		return told
	}
	return nil
}

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
	// A body of a type that the client's library can't send again by itself, also where it is empty.
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

// answer takes the answer. One that breaks off counts as none.
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
