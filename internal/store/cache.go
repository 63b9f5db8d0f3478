package store

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Bounds of the response cache: the number of responses, and the size of one
// response in bytes.
const (
	maxCachedResponses     = 16
	maxCachedResponseBytes = 2 << 20
)

// responseCache keeps the last response to each read together with its ETag, so
// that a read can be made conditional and transfers only a changed response.
// Without it every entry would fetch the whole VM list each second, which is
// 283 KB with 2,000 VMs; all other control traffic of an entry takes 6 KB.
type responseCache struct {
	mu        sync.Mutex
	responses map[string]cachedResponse // by path
}

type cachedResponse struct {
	etag string
	body []byte
}

// makeConditional adds If-None-Match to a read whose response is cached, and
// returns the cached body, or nil if there is none.
func (t *responseCache) makeConditional(r *http.Request) (body []byte) {
	if r.Method != http.MethodGet {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	cached, ok := t.responses[r.URL.Path]
	if !ok {
		return nil
	}
	r.Header.Set("If-None-Match", cached.etag)
	return cached.body
}

// save caches a response that has an ETag. A full cache is cleared, which is rare
// because an entry reads only a few paths.
func (t *responseCache) save(r *http.Request, w *http.Response, body []byte) {
	tag := w.Header.Get("ETag")
	if r.Method != http.MethodGet || tag == "" || len(body) > maxCachedResponseBytes {
		return
	}
	t.put(r.URL.Path, cachedResponse{etag: tag, body: body})
}

// saveWatched caches an object received from a watch, so that the next read of the
// object doesn't transfer it a second time.
func (t *responseCache) saveWatched(o Object, tag string) {
	if tag == "" {
		return
	}
	body, err := json.Marshal(objectJSON(o))
	if err != nil || len(body) > maxCachedResponseBytes {
		return
	}
	t.put(objectPath(o.Kind, o.Name), cachedResponse{etag: tag, body: body})
}

func (t *responseCache) put(path string, response cachedResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.responses == nil || len(t.responses) >= maxCachedResponses {
		t.responses = make(map[string]cachedResponse)
	}
	t.responses[path] = response
}
