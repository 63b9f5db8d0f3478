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
func (c *book) find(ctx context.Context, service string) (addr string, err error) {
	c.mu.Lock()
	found, ok := c.places[service]
	c.mu.Unlock()
	if !ok || time.Now().After(found.until) {
		if found, err = c.ask(ctx, service); err != nil {
			return "", err
		}
	}
	return found.addrs[0], nil
}

// dropAddress removes the preferred address of a service after a request to it failed.
// The next request uses the next address, or a new locate response if none is left.
func (c *book) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.places[service]
	if len(found.addrs) > 1 {
		found.addrs = found.addrs[1:]
		c.places[service] = found
		return
	}
	delete(c.places, service)
}

// locate queries the entries in turn until one responds, beginning after the one that was
// queried last.
func (c *book) ask(ctx context.Context, service string) (found located, err error) {
	if len(c.entries) == 0 {
		return found, errors.New("entries: none given, expected at least one host:port")
	}
	for range c.entries {
		c.mu.Lock()
		entry := c.entries[c.turn%len(c.entries)]
		c.turn++
		c.mu.Unlock()
		if found, err = c.askOne(ctx, entry, service); err == nil {
			c.mu.Lock()
			c.places[service] = found
			c.mu.Unlock()
			return found, nil
		}
	}
	return found, err
}

func (c *book) askOne(ctx context.Context, entry, service string) (found located, err error) {
	defer func() { err = errors.WithMessagef(err, "entry %s", entry) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/locate?service="+url.QueryEscape(service), nil)
	if err != nil {
		return found, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return found, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return found, err
	}
	if res.StatusCode != http.StatusOK {
		return found, errors.Errorf("%s: %s", res.Status, body)
	}
	var response struct {
		Addresses []string `json:"addresses"`
		TTL       int64    `json:"ttl"` // milliseconds
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return found, err
	}
	if len(response.Addresses) == 0 {
		return found, errors.New("addresses: found none, expected at least one")
	}
	return located{response.Addresses, time.Now().Add(time.Duration(response.TTL) * time.Millisecond)}, nil
}
