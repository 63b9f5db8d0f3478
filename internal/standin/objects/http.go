package objects

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

type metaWire struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deletion   bool     `json:"deletionRequested"`
}

type objectWire struct {
	Metadata metaWire        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

func encodeObject(o Object) objectWire {
	return objectWire{
		Metadata: metaWire{Name: o.Name, Revision: o.Revision, CreatedRev: o.Created, Finalizers: []string{}},
		Spec:     o.Spec, Status: json.RawMessage("null"),
	}
}

// writeList writes a response with a list of texts, which need not be JSON.
func writeList(w http.ResponseWriter, field string, list []string, revision uint64, more bool) {
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, `{%q:[%s],"hasMore":%t,"atRev":%d}`, field, strings.Join(list, ","), more, revision)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// text returns the encoding of an object.
func (o Object) text() string {
	if o.raw != nil {
		return o.raw(o.Revision)
	}
	data, err := json.Marshal(encodeObject(o))
	if err != nil {
		panic(err)
	}
	return string(data)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	after, kind := r.URL.Query().Get("after"), r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []Object
	for _, o := range s.objects[kind] {
		if s.rewrite != nil {
			o = s.rewrite(r, kind, o)
		}
		if o.Name > after {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	var items []string
	for _, o := range objects[:min(len(objects), s.pageSize)] {
		items = append(items, o.text())
	}
	writeList(w, "items", items, s.revision, len(objects) > s.pageSize)
}

// serveWatch responds as soon as there are changes, or at the end of the wait time. While
// watches are paused, it responds only at the end of the wait time.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	end := time.After(time.Duration(queryUint(r, "waitMs")) * time.Millisecond)
	for {
		list, revision, gone, changed := s.events(r.PathValue("kind"), queryUint(r, "watch"))
		switch {
		case s.areWatchesPaused():
			changed = nil
		case gone:
			writeJSON(w, http.StatusGone, map[string]any{"error": "history is gone"})
			return
		case len(list) > 0:
			s.writeEvents(w, list, revision)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.writeAfterWait(w, r)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) writeAfterWait(w http.ResponseWriter, r *http.Request) {
	list, revision, gone, _ := s.events(r.PathValue("kind"), queryUint(r, "watch"))
	if gone {
		writeJSON(w, http.StatusGone, map[string]any{"error": "history is gone"})
		return
	}
	s.writeEvents(w, list, revision)
}

func (s *Store) writeEvents(w http.ResponseWriter, list []event, revision uint64) {
	var events []string
	for _, e := range list {
		events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, e.object.text(), e.deleted))
	}
	writeList(w, "events", events, revision, false)
}

func (s *Store) serveCreate(w http.ResponseWriter, r *http.Request) {
	var o objectWire
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "metadata.name"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[r.PathValue("kind")][o.Metadata.Name]; ok {
		writeJSON(w, http.StatusConflict, encodeObject(old))
		return
	}
	writeJSON(w, http.StatusOK, encodeObject(s.put(r.PathValue("kind"), o.Metadata.Name, o.Spec)))
}

func (s *Store) serveReplace(w http.ResponseWriter, r *http.Request) {
	var o objectWire
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "body"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case !ok:
		writeJSON(w, http.StatusNotFound, map[string]any{"error": "no such object"})
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Revision:
		writeJSON(w, http.StatusConflict, encodeObject(old))
	default:
		writeJSON(w, http.StatusOK, encodeObject(s.put(r.PathValue("kind"), old.Name, o.Spec)))
	}
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	rev := queryUint(r, "revision")
	switch {
	case !ok:
		writeJSON(w, http.StatusNotFound, map[string]any{"error": "no such object"})
	case rev != 0 && rev != old.Revision:
		writeJSON(w, http.StatusConflict, encodeObject(old))
	default:
		s.remove(r.PathValue("kind"), old.Name)
		writeJSON(w, http.StatusOK, encodeObject(old))
	}
}
