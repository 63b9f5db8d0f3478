package store

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxTags bounds the answers that are kept, and maxTagged the bytes of one.
const (
	maxTags   = 16
	maxTagged = 2 << 20
)

// tags keeps the last answer to each read with its entity tag, and asks for the
// answer only if it has changed. Without it every entry would fetch the whole
// VM list each second: 283 KB at 2,000 workers, against 6 KB for all of control.
type tags struct {
	mu   sync.Mutex
	kept map[string]tagged // by path
}

type tagged struct {
	tag  string
	body []byte
}

// condition makes a read conditional and gives the answer that is kept for it,
// or nil.
func (t *tags) condition(r *http.Request) (body []byte) {
	if r.Method != http.MethodGet {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.kept[r.URL.Path]
	if !ok {
		return nil
	}
	r.Header.Set("If-None-Match", k.tag)
	return k.body
}

// keep remembers an answer that has a tag. When there is no room all are
// forgotten: an entry reads a handful of paths, so that this is rare.
func (t *tags) keep(r *http.Request, w *http.Response, body []byte) {
	tag := w.Header.Get("ETag")
	if r.Method != http.MethodGet || tag == "" || len(body) > maxTagged {
		return
	}
	t.put(r.URL.Path, tagged{tag: tag, body: body})
}

// watched remembers what a watch has brought, so that the next read of the
// object doesn't fetch it a second time.
func (t *tags) watched(c changeJSON) {
	if c.Tag == "" {
		return
	}
	body, err := json.Marshal(c.Object)
	if err != nil || len(body) > maxTagged {
		return
	}
	t.put(objectPath(c.Object.Kind, c.Object.Name), tagged{tag: c.Tag, body: body})
}

func (t *tags) put(path string, answer tagged) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kept == nil || len(t.kept) >= maxTags {
		t.kept = make(map[string]tagged)
	}
	t.kept[path] = answer
}
