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
type locateCache struct {
	client  *http.Client
	entries []string

	mu        sync.Mutex
	nextEntry int
	results   map[string]locateResult
}

// locateResult is one cached locate response.
type locateResult struct {
	addrs   []string
	expires time.Time
}

func newLocateCache(client *http.Client, entries []string) *locateCache {
	return &locateCache{client: client, entries: entries, results: make(map[string]locateResult)}
}

// address returns the preferred address for a service. It queries an entry unless a
// cached response is still valid.
func (c *locateCache) address(ctx context.Context, service string) (addr string, err error) {
	c.mu.Lock()
	found, ok := c.results[service]
	c.mu.Unlock()
	if !ok || time.Now().After(found.expires) {
		if found, err = c.locate(ctx, service); err != nil {
			return "", err
		}
	}
	return found.addrs[0], nil
}

// dropAddress removes the preferred address of a service after a request to it failed.
// The next request uses the next address, or a new locate response if none is left.
func (c *locateCache) dropAddress(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.results[service]
	if len(found.addrs) > 1 {
		found.addrs = found.addrs[1:]
		c.results[service] = found
		return
	}
	delete(c.results, service)
}

// locate queries the entries in turn until one responds, beginning after the one that was
// queried last.
func (c *locateCache) locate(ctx context.Context, service string) (found locateResult, err error) {
	if len(c.entries) == 0 {
		return found, errors.New("entries: none given, expected at least one host:port")
	}
	for range c.entries {
		c.mu.Lock()
		entry := c.entries[c.nextEntry%len(c.entries)]
		c.nextEntry++
		c.mu.Unlock()
		if found, err = c.locateFrom(ctx, entry, service); err == nil {
			c.mu.Lock()
			c.results[service] = found
			c.mu.Unlock()
			return found, nil
		}
	}
	return found, err
}

func (c *locateCache) locateFrom(ctx context.Context, entry, service string) (found locateResult, err error) {
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
	body, err := io.ReadAll(http.MaxBytesReader(nil, res.Body, maxResponseBytes))
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
	return locateResult{response.Addresses, time.Now().Add(time.Duration(response.TTL) * time.Millisecond)}, nil
}
