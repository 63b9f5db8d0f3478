// Package objects is a fake of the users' metadata store. It has objects by kind and
// name, one revision counter for all objects, conditional writes, paged lists,
// watches, and faults that can be injected.
package objects

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Object is one stored object.
type Object struct {
	Name     string
	Revision uint64
	Created  uint64 // revision at which the object was created
	Spec     json.RawMessage
	raw      func(revision uint64) string // its encoding in lists and watches; may be nil
}

// event is one change in the history.
type event struct {
	kind    string
	object  Object
	deleted bool
}

// Fault is the fault that the store injects into a call. The zero value is a healthy
// store.
type Fault struct {
	Down         bool          // calls get 503
	Silent       bool          // calls get no response
	Delay        time.Duration // before each response
	LoseResponse bool          // writes take effect, and the connection closes without a response
	Era          string        // era in the response in place of the store's; "-" omits the header
}

// Store is the fake store. It is an http.Handler.
type Store struct {
	BodyLimit int64 // bytes of a body in configurations that are put; 0 for DefaultBodyLimit

	mu             sync.Mutex
	objects        map[string]map[string]Object
	history        []event
	revision       uint64        // revision of the newest write
	oldestRevision uint64        // watches from an older revision get 410
	changed        chan struct{} // closed and replaced at each change
	fault          func(r *http.Request) Fault
	rewrite        func(r *http.Request, kind string, o Object) Object
	calls          int
	watchesPaused  bool
	pageSize       int
	era            uint64 // starts at 1 and increases with each restore
}

// defaultPageSize is the default number of objects on a page of a list.
const defaultPageSize = 500

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]map[string]Object), revision: 1, oldestRevision: 1, changed: make(chan struct{}), pageSize: defaultPageSize, era: 1,
		fault: func(*http.Request) Fault { return Fault{} },
	}
}

// SetFaults sets the function that returns the fault of each call; nil removes all faults.
func (s *Store) SetFaults(f func(r *http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == nil {
		f = func(*http.Request) Fault { return Fault{} }
	}
	s.fault = f
}

// RewriteLists sets a function that changes the objects in the responses to lists, for example
// to give each entry other addresses of the others; nil ends that.
func (s *Store) RewriteLists(f func(r *http.Request, kind string, o Object) Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewrite = f
}

// PauseWatches sets whether watches are paused. A paused watch delivers no changes
// until its wait time ends, as on a connection that failed without an error.
func (s *Store) PauseWatches(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesPaused = paused
}

func (s *Store) areWatchesPaused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesPaused
}

// SetPageSize sets the number of objects on a page of a list.
func (s *Store) SetPageSize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact discards the history. Watches from an older revision get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestRevision = nil, s.revision
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes an object, as operators and targets do.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, data).Revision
}

// PutText writes an object with this text as its spec, which need not be JSON.
func (s *Store) PutText(kind, name, spec string) uint64 {
	return s.PutRaw(kind, name, func(revision uint64) string {
		return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s,"status":null}`, name, revision, spec)
	})
}

// PutRaw writes an object that lists and watches return as the text that encode returns.
func (s *Store) PutRaw(kind, name string, encode func(revision uint64) string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putObject(kind, Object{Name: name, raw: encode}).Revision
}

func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	return s.putObject(kind, Object{Name: name, Spec: spec})
}

func (s *Store) putObject(kind string, o Object) Object {
	s.revision++
	name := o.Name
	o.Revision, o.Created = s.revision, s.revision
	if old, ok := s.objects[kind][name]; ok {
		o.Created = old.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, event{kind: kind, object: o})
	s.notifyWatches()
	return o
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Revision = s.revision
	delete(s.objects[kind], name)
	s.history = append(s.history, event{kind: kind, object: o, deleted: true})
	s.notifyWatches()
}

// Names returns the names of a kind's objects.
func (s *Store) Names(kind string) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.objects[kind] {
		names = append(names, n)
	}
	return names
}

// events returns the changes of a kind after a revision. gone reports that the
// history doesn't cover them. changed is closed at the next change.
func (s *Store) events(kind string, after uint64) (list []event, revision uint64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.history {
		if e.kind == kind && e.object.Revision > after {
			list = append(list, e)
		}
	}
	return list, s.revision, after < s.oldestRevision || after > s.revision, s.changed
}

func (s *Store) nextFault(r *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.fault(r)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.nextFault(r)
	if f.Silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(f.Delay)
	if era := s.eraHeader(f); era != "" {
		w.Header().Set("Store-Era", era)
	}
	if f.Down {
		http.Error(w, `{"error":"try later"}`, http.StatusServiceUnavailable)
		return
	}
	if f.LoseResponse && r.Method != http.MethodGet {
		w = &discardingWriter{header: make(http.Header)}
		defer panic(http.ErrAbortHandler)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			s.serveWatch(w, r)
			return
		}
		s.serveList(w, r)
	})
	mux.HandleFunc("POST /objects/{kind}", s.serveCreate)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.serveReplace)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.serveDelete)
	mux.ServeHTTP(w, r)
}

// discardingWriter is a ResponseWriter that discards the response.
type discardingWriter struct{ header http.Header }

func (l *discardingWriter) Header() http.Header         { return l.header }
func (l *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (l *discardingWriter) WriteHeader(int)             {}

func queryUint(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
