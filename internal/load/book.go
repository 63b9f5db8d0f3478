package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// locateCache caches locate responses for their TTL.
type book struct {
	client  *http.Client
	entries []string

	mu     sync.Mutex
	turn   int
	places map[string]located
}

// locateResult is one cached locate response.
type located struct {
	addrs []string
	until time.Time
}

func newBook(client *http.Client, entries []string) *book {
	return &book{client: client, entries: entries, places: make(map[string]located)}
}

// address returns the preferred address for a service. It queries an entry unless a
// cached response is still valid.
func (b *book) find(ctx context.Context, service string) (addr string, err error) {
	b.mu.Lock()
	at, ok := b.places[service]
	b.mu.Unlock()
	if !ok || time.Now().After(at.until) {
		if at, err = b.ask(ctx, service); err != nil {
			return "", err
		}
	}
	return at.addrs[0], nil
}

// dropAddress removes the preferred address of a service after a request to it failed.
// The next request uses the next address, or a new locate response if none is left.
func (b *book) forget(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.places[service]
	if len(at.addrs) > 1 {
		at.addrs = at.addrs[1:]
		b.places[service] = at
		return
	}
	delete(b.places, service)
}

// locate queries the entries in turn until one responds, beginning after the one that was
// queried last.
func (b *book) ask(ctx context.Context, service string) (at located, err error) {
	if len(b.entries) == 0 {
		return at, errors.New("entries: none given, expected at least one host:port")
	}
	for range b.entries {
		b.mu.Lock()
		entry := b.entries[b.turn%len(b.entries)]
		b.turn++
		b.mu.Unlock()
		if at, err = b.askOne(ctx, entry, service); err == nil {
			b.mu.Lock()
			b.places[service] = at
			b.mu.Unlock()
			return at, nil
		}
	}
	return at, err
}

func (b *book) askOne(ctx context.Context, entry, service string) (at located, err error) {
	defer func() { err = errors.WithMessagef(err, "entry %s", entry) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/locate?service="+url.QueryEscape(service), nil)
	if err != nil {
		return at, err
	}
	res, err := b.client.Do(req)
	if err != nil {
		return at, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return at, err
	}
	if res.StatusCode != http.StatusOK {
		return at, errors.Errorf("%s: %s", res.Status, body)
	}
	var response struct {
		Addresses []string `json:"addresses"`
		TTL       int64    `json:"ttl"` // milliseconds
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return at, err
	}
	if len(response.Addresses) == 0 {
		return at, errors.New("addresses: found none, expected at least one")
	}
	return located{response.Addresses, time.Now().Add(time.Duration(response.TTL) * time.Millisecond)}, nil
}
