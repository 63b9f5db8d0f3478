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

// book keeps locate answers for as long as they say.
type book struct {
	client  *http.Client
	entries []string

	mu     sync.Mutex
	turn   int
	places map[string]located
}

// located is one locate answer.
type located struct {
	addrs []string
	until time.Time
}

func newBook(client *http.Client, entries []string) *book {
	return &book{client: client, entries: entries, places: make(map[string]located)}
}

// find returns the preferred address for a service.
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

// forget drops an answer whose address could not be reached: the next request
// uses the next address, then asks again.
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

// ask tries each entry once, from the one after the last used.
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
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       int64    `json:"ttl"` // milliseconds
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return at, err
	}
	if len(answer.Addresses) == 0 {
		return at, errors.New("addresses: found none, expected at least one")
	}
	return located{answer.Addresses, time.Now().Add(time.Duration(answer.TTL) * time.Millisecond)}, nil
}
