package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxBody is the maximum size of a request body in bytes: a value of 1 MB in base64
// with the JSON around it.
const maxBody = 1<<21 + 1<<10

func (p *Platform) routes() *http.ServeMux {
	countRead := func(c *Counts) { c.Reads++ }
	countWrite := func(c *Counts) { c.Writes++ }
	countWatch := func(c *Counts) { c.Watches++ }
	countVMs := func(c *Counts) { c.VMs++ }
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/objects/{kind}/{name}", p.withFaults(countRead, p.serveGet))
	m.HandleFunc("GET /v1/objects/{kind}", p.withFaults(countRead, p.serveList))
	m.HandleFunc("PUT /v1/objects/{kind}/{name}", p.withFaults(countWrite, p.servePut))
	m.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.withFaults(countWrite, p.serveDelete))
	m.HandleFunc("GET /v1/watch/{kind}", p.withFaults(countWatch, p.serveWatch))
	m.HandleFunc("GET /v1/vms", p.withFaults(countVMs, p.serveVMs))
	p.adminRoutes(m)
	return m
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.get(pathKey(r), p.readVersion())
	p.mu.Unlock()
	if !ok {
		replyError(w, http.StatusNotFound, 0)
		return
	}
	p.replyWithETag(w, r, encodeObject(o))
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	version := p.readVersion()
	objects := p.list(r.PathValue("kind"), version)
	p.mu.Unlock()
	list := listJSON{Version: version, Objects: []objectJSON{}}
	for _, o := range objects {
		list.Objects = append(list.Objects, encodeObject(o))
	}
	p.replyWithETag(w, r, list)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	var body putJSON
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "put: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.applyWrite(w, pathKey(r), body.Version, body.Value, false)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.applyWrite(w, pathKey(r), version, nil, true)
}

func (p *Platform) applyWrite(w http.ResponseWriter, k key, expected uint64, value []byte, deleted bool) {
	p.mu.Lock()
	version, ok := p.put(k, expected, value, deleted)
	lost := ok && p.loseResponse()
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		replyError(w, http.StatusConflict, version)
		return
	}
	reply(w, versionJSON{Version: version})
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	flush := http.NewResponseController(w).Flush
	_ = flush()
	for {
		p.mu.Lock()
		changed, down, silent := p.changed, p.down(), p.faults.SilentWatches
		writes := p.latest(r.PathValue("kind"), from, p.readVersion())
		p.mu.Unlock()
		if down {
			return
		}
		for _, c := range writes {
			if silent {
				break
			}
			body, err := json.Marshal(encodeWatch(c))
			if err != nil {
				return
			}
			if _, err := io.WriteString(w, p.withOddObject(string(body))+"\n"); err != nil {
				return
			}
			from = c.object.Version
		}
		_ = flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	vms := p.vmsAt(p.now().Add(-p.faults.VMListLag))
	p.mu.Unlock()
	list := vmsJSON{VMs: []vmJSON{}}
	for _, vm := range vms {
		list.VMs = append(list.VMs, vmJSON(vm))
	}
	p.replyWithETag(w, r, list)
}

func pathKey(r *http.Request) key {
	return key{kind: r.PathValue("kind"), name: r.PathValue("name")}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// replyWithETag responds to a read with an ETag, or with 304 if the client already
// has the same response.
func (p *Platform) replyWithETag(w http.ResponseWriter, r *http.Request, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := etag(body)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, p.withOddObject(string(body)))
}

// etag returns the ETag of a response body. It is a hash instead of the version,
// because a store restored with older data assigns its versions again to other
// values.
func etag(body []byte) string {
	return strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
}

func encodeWatch(c write) watchJSON {
	o := encodeObject(c.object)
	out := watchJSON{Object: o, Deleted: c.deleted}
	if body, err := json.Marshal(o); err == nil && !c.deleted {
		out.Tag = etag(body)
	}
	return out
}

func replyError(w http.ResponseWriter, status int, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	b, _ := json.Marshal(versionJSON{Version: version})
	_, _ = io.WriteString(w, string(b)+"\n")
}
