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

	"plumpitch.example/plumpitch/internal/standin/worker"
	"plumpitch.example/plumpitch/pkg/call"
)

// attempt is one request that a client sent, and its result.
type attempt struct {
	kind        requestKind
	id          string
	path        string
	requestBody string    // as targets log it
	upload      *upload   // the body, until it was sent, if that is long
	uploadBytes int       // size that the body was made for; 0: it is short
	earlier     *attempt  // the attempt that had this ID before; nil: none
	bodySentAt  time.Time // when the last byte was read for sending; zero if it wasn't
	credentials
	abandoned    bool // the client closed the connection before the response
	behindClose  bool // an earlier response on the connection announced its end
	runOnce      bool // it must not run twice
	gateway      *gateway
	began        time.Time // when the first attempt of the request was sent; only with open loops
	returns      int       // attempts of the request before this one; only with open loops
	sentAt       time.Time
	endedAt      time.Time
	deadline     time.Duration // counted from sentAt
	connected    bool          // a connection was established
	status       int           // 0 if there was no complete response
	retryAfter   time.Duration // Retry-After of the response
	reason       string        // why a gateway didn't serve the request, as its response says
	responseID   string        // request ID of the response
	signer       string        // ID of the target that signed the response
	responseBody string
	err          error
}

// loadGenerator runs the clients and records their attempts.
type loadGenerator struct {
	site       *site
	cancel     context.CancelFunc
	done       sync.WaitGroup
	lastNumber atomic.Uint64 // number of the latest request or attempt

	mu       sync.Mutex
	attempts []*attempt
}

func (s *site) startClients() *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	s.load = &loadGenerator{site: s, cancel: cancel}
	for i := range s.clientCount {
		c := newClient(s, rand.New(rand.NewPCG(s.seed, uint64(100+i))))
		s.load.done.Go(func() { c.run(ctx) })
	}
	return s.load
}

// stop ends all clients and returns their attempts.
func (l *loadGenerator) stop() []*attempt {
	l.cancel()
	l.done.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.attempts)
}

// client sends one request after the other over persistent connections to gateways that it
// resolved. It caches the resolved addresses for 1 to 3 s.
type client struct {
	site          *site
	load          *loadGenerator
	rnd           *rand.Rand
	http          *http.Client
	resolved      []*gateway // result of the latest resolve request
	resolvedUntil time.Time  // when the result expires
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
		n := c.load.lastNumber.Add(1)
		k := c.pickKind()
		c.sendWithRetries(k, n)
		c.waitForNext()
	}
}

// pickKind picks a kind of request at random, by weight.
func (c *client) pickKind() requestKind {
	total := 0
	for _, k := range c.site.kinds {
		total += k.weight
	}
	n := c.rnd.IntN(total)
	for _, k := range c.site.kinds {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return c.site.kinds[0]
}

// waitForNext waits until the client's next request: up to 20 ms if the profile sets no
// rate, else an exponentially distributed time.
func (c *client) waitForNext() {
	if c.site.requestRate == 0 {
		time.Sleep(time.Duration(c.rnd.IntN(20)) * time.Millisecond)
		return
	}
	mean := float64(c.site.clientCount) / c.site.requestRate * 100 / float64(c.site.loadPercent.Load())
	time.Sleep(time.Duration(c.rnd.ExpFloat64() * mean * float64(time.Second)))
}

// sendWithRetries sends a request and retries it as often as its kind and extraRetries allow.
// It retries at once while extraRetries is set, else after the time in the response. A
// request that must not run twice is retried only if the response guarantees that it
// didn't run.
func (c *client) sendWithRetries(k requestKind, n uint64) {
	started := time.Now()
	path := k.prefix + "p" + strconv.FormatUint(n%c.site.pathCount, 10)
	extraRetries := int(c.site.extraRetries.Load())
	for range 1 + k.retries + extraRetries {
		a := c.sendOnce(k, path)
		if a != nil && c.site.againShare > 0 && c.rnd.Float64() < c.site.againShare {
			a = c.sendAgain(a)
		}
		remaining := k.deadline - time.Since(started)
		if a == nil || a.status == http.StatusOK || k.runOnce && !impliesNotRun(a.status) || remaining <= 0 {
			return
		}
		if extraRetries == 0 {
			time.Sleep(min(a.retryAfter, remaining/3))
		}
	}
}

// sendAgain sends a request once more under its ID, to the same gateway, if it got a response after
// which it may run.
func (c *client) sendAgain(a *attempt) *attempt {
	if a.status == 0 || a.runOnce && !impliesNotRun(a.status) {
		return a
	}
	b := c.load.newAttempt(a.gateway, a.kind, a.path, a.credentials)
	b.id, b.requestBody, b.earlier = a.id, a.requestBody, a
	if b.upload != nil {
		b.setUpload(a.id, a.uploadBytes)
	}
	c.load.exchange(c.http, b)
	return b
}

// sendOnce sends one attempt. It returns nil if it knows no gateway.
func (c *client) sendOnce(k requestKind, path string) *attempt {
	g := c.pickGateway()
	if g == nil {
		return nil
	}
	a := c.load.send(c.http, g, k, path)
	if a.status == 0 {
		c.resolvedUntil = time.Time{}
	}
	return a
}

// pickGateway picks one of the resolved gateways at random. It returns nil, after a short
// wait, if it knows none.
func (c *client) pickGateway() *gateway {
	if now := time.Now(); len(c.resolved) == 0 || now.After(c.resolvedUntil) {
		if list := c.site.resolve(c.rnd); len(list) > 0 {
			c.resolved, c.resolvedUntil = list, now.Add(time.Duration(1+c.rnd.IntN(3))*time.Second)
			if c.site.keepsGateways {
				c.resolvedUntil = now.Add(time.Hour)
			}
		}
	}
	if len(c.resolved) == 0 {
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	return c.resolved[c.rnd.IntN(len(c.resolved))]
}

// resolve returns the gateways that clients should connect to. It asks a random gateway for
// them, up to 3 times. With anyGateway it returns all gateways.
func (s *site) resolve(rnd *rand.Rand) (list []*gateway) {
	if s.anyGateway {
		return s.gateways
	}
	for range 3 {
		g := s.gateways[rnd.IntN(len(s.gateways))]
		res, err := checkClient.Get("http://" + g.ip + ":8546/resolve?region=metro&zone=" + g.place + "&name=" + host)
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
func (l *loadGenerator) send(c *http.Client, g *gateway, k requestKind, path string) *attempt {
	return l.sendAs(c, g, k, path, credentials{})
}

// sendAs is like send, with credentials.
func (l *loadGenerator) sendAs(c *http.Client, g *gateway, k requestKind, path string, cr credentials) *attempt {
	a := l.newAttempt(g, k, path, cr)
	l.exchange(c, a)
	return a
}

// exchange sends an attempt, waits for the response and records both.
func (l *loadGenerator) exchange(c *http.Client, a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline+time.Second)
	defer cancel()
	r := a.newRequest(ctx)
	a.sentAt = time.Now()
	a.bodySentAt = a.sentAt
	a.readResponse(c.Do(r))
	a.endedAt = time.Now()
	if a.upload != nil {
		a.bodySentAt, a.upload = a.upload.sentAt(), nil
	}
	l.add(a)
}

func (l *loadGenerator) newAttempt(g *gateway, k requestKind, path string, cr credentials) *attempt {
	n := l.lastNumber.Add(1)
	a := &attempt{
		kind: k, id: fmt.Sprintf("q%d-%d", l.site.seed, n), path: path, runOnce: k.runOnce, gateway: g, credentials: cr, deadline: k.deadline, connected: true,
	}
	switch {
	case k.method == http.MethodGet:
	case strings.Contains(path, poison):
		a.requestBody = poison
	case k.uploadBytes > 0:
		a.setUpload(a.id, int(uploadShare(n)*float64(k.uploadBytes)))
	default:
		a.requestBody = "b" + a.id
	}
	return a
}

// setUpload gives the attempt a body of about a size, made of an ID.
func (a *attempt) setUpload(id string, size int) {
	text := strings.Repeat(id+" ", size/(len(id)+1))
	a.upload, a.uploadBytes, a.requestBody = &upload{text: text, pause: a.kind.uploadPause()}, size, worker.Digest(text)
}

// add records an attempt that has ended.
func (l *loadGenerator) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// newRequest returns the request of an attempt.
func (a *attempt) newRequest(ctx context.Context) *http.Request {
	r, err := http.NewRequestWithContext(ctx, a.kind.method, "http://"+a.gateway.ip+":8548"+a.path, nil)
	a.gateway.site.q.Assert(err, qt.IsNil)
	// The body has no GetBody function, so net/http can't retry the request by itself. An empty
	// body is sent with an unknown length for the same reason.
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(a.requestBody)), int64(len(a.requestBody))
	if a.requestBody == "" {
		r.ContentLength, r.TransferEncoding = -1, []string{"identity"}
	}
	if a.upload != nil {
		r.Body, r.ContentLength = a.upload, int64(len(a.upload.text))
	}
	r.Host = host
	r.Header.Set("Plumpitch-Request-Id", a.id)
	r.Header.Set("Plumpitch-Request-Deadline", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	a.credentials.set(r)
	return r
}

// readResponse records the response. An incomplete response counts as none.
func (a *attempt) readResponse(res *http.Response, err error) {
	var op *net.OpError
	a.connected = !(errors.As(err, &op) && op.Op == "dial")
	if a.err = err; err != nil {
		return
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if a.err = err; err != nil {
		return
	}
	a.status, a.responseBody = res.StatusCode, string(b)
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.reason = res.Header.Get(call.HeaderReason)
	a.responseID = res.Header.Get("Plumpitch-Request-Id")
	a.signer = strings.TrimPrefix(res.Header.Get("Plumpitch-Response-Signature"), "signed-by-")
}
