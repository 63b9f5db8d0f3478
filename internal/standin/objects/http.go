package objects

import (
	"encoding/json"
	"net/http"
	"sort"
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

type eventWire struct {
	Object  objectWire `json:"object"`
	Deleted bool       `json:"deleted"`
}

func wire(o Object) objectWire {
	return objectWire{
		Metadata: metaWire{Name: o.Name, Revision: o.Revision, CreatedRev: o.Created, Finalizers: []string{}},
		Spec:     o.Spec, Status: json.RawMessage("null"),
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []objectWire{}
	for _, o := range s.objects[r.PathValue("kind")] {
		if o.Name > after {
			items = append(items, wire(o))
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > s.page
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), s.page)], "hasMore": more, "atRev": s.at})
}

// watch responds as soon as there are changes, or at the end of the wait time. While
// watches are paused, it responds only at the end of the wait time.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	end := time.After(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for {
		list, revision, gone, changed := s.events(r.PathValue("kind"), number(r, "watch"))
		switch {
		case s.isDeaf():
			changed = nil
		case gone:
			answer(w, http.StatusGone, map[string]any{"error": "history is gone"})
			return
		case len(list) > 0:
			s.told(w, list, revision)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.ended(w, r)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) ended(w http.ResponseWriter, r *http.Request) {
	list, revision, gone, _ := s.events(r.PathValue("kind"), number(r, "watch"))
	if gone {
		answer(w, http.StatusGone, map[string]any{"error": "history is gone"})
		return
	}
	s.told(w, list, revision)
}

func (s *Store) told(w http.ResponseWriter, list []event, revision uint64) {
	events := []eventWire{}
	for _, e := range list {
		events = append(events, eventWire{Object: wire(e.object), Deleted: e.deleted})
	}
	answer(w, http.StatusOK, map[string]any{"events": events, "atRev": revision})
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var o objectWire
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		answer(w, http.StatusBadRequest, map[string]any{"error": "metadata.name"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[r.PathValue("kind")][o.Metadata.Name]; ok {
		answer(w, http.StatusConflict, wire(old))
		return
	}
	answer(w, http.StatusOK, wire(s.put(r.PathValue("kind"), o.Metadata.Name, o.Spec)))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	var o objectWire
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": "body"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case !ok:
		answer(w, http.StatusNotFound, map[string]any{"error": "no such object"})
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Revision:
		answer(w, http.StatusConflict, wire(old))
	default:
		answer(w, http.StatusOK, wire(s.put(r.PathValue("kind"), old.Name, o.Spec)))
	}
}

func (s *Store) drop(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	rev := number(r, "revision")
	switch {
	case !ok:
		answer(w, http.StatusNotFound, map[string]any{"error": "no such object"})
	case rev != 0 && rev != old.Revision:
		answer(w, http.StatusConflict, wire(old))
	default:
		s.remove(r.PathValue("kind"), old.Name)
		answer(w, http.StatusOK, wire(old))
	}
}
