package platform

import (
	"sort"
	"time"
)

type key struct {
	kind string
	name string
}

// get returns an object as of a version.
func (p *Platform) get(k key, upto uint64) (o Object, ok bool) {
	for i := len(p.writes) - 1; i >= 0; i-- {
		w := p.writes[i]
		if w.object.Version > upto || w.object.Kind != k.kind || w.object.Name != k.name {
			continue
		}
		return w.object, !w.deleted
	}
	return Object{}, false
}

// latest returns the last write of each object of a kind with a version in
// (from, upto], in order of version.
func (p *Platform) latest(kind string, from, upto uint64) []write {
	last := map[string]write{}
	for _, w := range p.writes {
		if w.object.Kind == kind && w.object.Version > from && w.object.Version <= upto {
			last[w.object.Name] = w
		}
	}
	list := make([]write, 0, len(last))
	for _, w := range last {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].object.Version < list[j].object.Version
	})
	return list
}

func (p *Platform) list(kind string, upto uint64) []Object {
	objects := []Object{}
	for _, w := range p.latest(kind, 0, upto) {
		if !w.deleted {
			objects = append(objects, w.object)
		}
	}
	return objects
}

// put stores a value, or a deletion, if the object's current version equals
// expected. It returns the new version and true, or the current version and false.
func (p *Platform) put(k key, expected uint64, value []byte, deleted bool) (version uint64, ok bool) {
	old, found := p.get(k, p.version)
	current := uint64(0)
	if found {
		current = old.Version
	}
	if current != expected {
		return current, false
	}
	p.version++
	o := Object{Kind: k.kind, Name: k.name, Version: p.version, Value: value}
	p.writes = append(p.writes, write{object: o, deleted: deleted})
	p.compact(k)
	p.notifyWatches()
	return p.version, true
}

// maxObjectHistory is the number of writes kept for each object, so that
// Faults.ReadVersion can show older data.
const maxObjectHistory = 64

func (p *Platform) compact(k key) {
	n := 0
	for i := len(p.writes) - 1; i >= 0; i-- {
		o := p.writes[i].object
		if o.Kind != k.kind || o.Name != k.name {
			continue
		}
		if n++; n > maxObjectHistory {
			p.writes = append(p.writes[:i], p.writes[i+1:]...)
			return
		}
	}
}

func (p *Platform) vmsAt(t time.Time) []VM {
	byID := map[string]VM{}
	for _, c := range p.vms {
		if c.at.After(t) {
			continue
		}
		if c.removed {
			delete(byID, c.vm.ID)
			continue
		}
		byID[c.vm.ID] = c.vm
	}
	vms := make([]VM, 0, len(byID))
	for _, vm := range byID {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}
