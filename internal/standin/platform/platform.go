// Package platform is a small fake of the platform: an object store with versions,
// conditional updates and watches, and the list of VMs. It keeps all data in memory
// and can inject the faults of the real platform.
//
// The protocol is JSON over HTTP. Values are base64 in JSON. An object's version is
// the number of writes to the store up to and including the object's last write.
//
//	GET    /v1/objects/{kind}/{name}            object, or 404
//	GET    /v1/objects/{kind}                   {"objects": [object...], "version": newest}
//	PUT    /v1/objects/{kind}/{name}            {"version": expected, "value": v}; 0 creates; 409 {"version": current}
//	DELETE /v1/objects/{kind}/{name}?version=N  conditional; 409 as with PUT
//	GET    /v1/watch/{kind}?from=N              one JSON line for each change after version N
//	GET    /v1/vms                              {"vms": [vm...]}
//
// A response to a read has an ETag, and a read with a matching If-None-Match gets
// 304. For tests there are these requests, which are not subject to faults:
//
//	PUT    /v1/admin/vms/{id}                   puts a VM, DELETE removes it
//	GET    /v1/admin/faults, PUT                reads and replaces Faults
//	GET    /v1/admin/counts                     calls since the start
//	PUT    /v1/admin/rollback?to=N              removes every write after version N
//
// An object is {"kind", "name", "version", "value"}. A line of a watch is
// {"object": object, "deleted": bool, "tag": ETag of a read of the object}. If an
// object has several changes that a watch has not sent yet, it sends only the last.
// A VM is {"id", "addr", "place", "service", "slots", "boot", "state"}, where the
// state is live or leaving.
package platform

import (
	"net/http"
	"sync"
	"time"
)

// Config configures a Platform.
type Config struct {
	Now func() time.Time // clock; time.Now when nil
}

// Object is one stored object.
type Object struct {
	Kind    string
	Name    string
	Version uint64
	Value   []byte
}

// VM is one element of the VM list.
type VM struct {
	ID      string
	Addr    string // host:port
	Place   string
	Service string
	Slots   int
	Boot    uint64
	State   string // Live or Leaving
}

// States of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Counts are the numbers of calls that reached the platform, including those
// affected by faults.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	VMs     uint64
}

// Platform is the fake platform. It is an http.Handler.
type Platform struct {
	now         func() time.Time
	mux         *http.ServeMux
	mu          sync.Mutex
	version     uint64
	writes      []write
	vms         []vmChange
	faults      Faults
	faultsSince time.Time     // when the faults were set
	changed     chan struct{} // closed and replaced at each change
	counts      Counts
}

type write struct {
	object  Object
	deleted bool
}

type vmChange struct {
	at      time.Time
	vm      VM
	removed bool
}

// New returns an empty Platform without faults.
func New(c Config) *Platform {
	now := c.Now
	if now == nil {
		now = time.Now
	}
	p := &Platform{now: now, changed: make(chan struct{})}
	p.mux = p.routes()
	return p
}

// Counts returns the numbers of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// PutVM adds vm to the VM list. It replaces a VM with the same ID.
func (p *Platform) PutVM(vm VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vmChange{at: p.now(), vm: vm})
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vmChange{at: p.now(), vm: VM{ID: id}, removed: true})
}

// Rollback removes every write after version to. Later writes get the removed
// versions again, as in a store restored from a backup.
func (p *Platform) Rollback(to uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.writes[:0]
	for _, w := range p.writes {
		if w.object.Version <= to {
			kept = append(kept, w)
		}
	}
	p.writes = kept
	p.version = min(p.version, to)
}

func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}
