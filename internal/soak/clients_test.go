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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
)

// attempt is one request of a client, and what came of it.
type attempt struct {
	id       string
	path     string
	once     bool
	gateway  *gateway
	sent     time.Time
	ended    time.Time
	deadline time.Duration
	dialled  bool // the connection was there
	status   int
	echo     string // id that the answer names
	signer   string // target that signed it
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

func (s *site) startClients(n int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{site: s, cancel: cancel}
	for i := range n {
		rnd := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		l.done.Go(func() { l.client(ctx, rnd) })
	}
	return l
}

func (l *load) stop() []*attempt {
	l.cancel()
	l.done.Wait()
	return l.attempts
}

// client sends one request after the other on kept connections, each on the one to an
// address that it was told, and keeps what it was told for some seconds.
func (l *load) client(ctx context.Context, rnd *rand.Rand) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: 4 * time.Second}}
	defer c.CloseIdleConnections()
	var known []*gateway
	var until time.Time
	for ctx.Err() == nil {
		if now := time.Now(); len(known) == 0 || now.After(until) {
			if told := l.resolve(rnd); len(told) > 0 {
				known, until = told, now.Add(time.Duration(1+rnd.IntN(3))*time.Second)
			}
		}
		if len(known) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		a := l.send(c, known[rnd.IntN(len(known))], rnd.IntN(2) == 0)
		if a.status == 0 {
			until = time.Time{}
		}
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	}
}

// resolve asks some gateways where to connect.
func (l *load) resolve(rnd *rand.Rand) (told []*gateway) {
	for range 3 {
		g := l.site.gateways[rnd.IntN(len(l.site.gateways))]
		res, err := quick.Get("http://" + g.ip + ":8546/resolve?region=metro&zone=hall&name=" + host)
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
			for _, g := range l.site.gateways {
				if a == g.ip+":8548" {
					told = append(told, g)
				}
			}
		}
		return told
	}
	return nil
}

func (l *load) send(c *http.Client, g *gateway, once bool) *attempt {
	const deadline = 3 * time.Second
	n := l.last.Add(1)
	a := &attempt{id: fmt.Sprintf("q%d-%d", l.site.seed, n), path: pathTwice, once: once, gateway: g, deadline: deadline, dialled: true}
	if once {
		a.path = pathOnce
	}
	a.path += "p" + strconv.FormatUint(n%7, 10)
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.ip+":8548"+a.path, strings.NewReader("b"+a.id))
	l.site.q.Assert(err, qt.IsNil)
	r.Host = host
	r.GetBody = nil // so that the client's library sends nothing again by itself
	r.Header.Set("Plumpitch-Request-Id", a.id)
	r.Header.Set("Plumpitch-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
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
	a.echo = res.Header.Get("Plumpitch-Request-Id")
	a.signer = strings.TrimPrefix(res.Header.Get("Plumpitch-Response-Signature"), "signed-by-")
}
