package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/tree"
)

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// retainedHeap returns the bytes of heap that the result of build retains.
func retainedHeap(build func() any) float64 {
	before := liveHeap()
	result := build()
	used := liveHeap() - before
	runtime.KeepAlive(result)
	return used
}

// liveHeap returns the bytes of heap in use after two garbage collections.
func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// newDocument returns settings with a number of services, each of which overrides
// three values, and with the edits that created them.
func newDocument(services int) (d tree.Document, err error) {
	d = tree.New()
	d, _, err = d.Apply(nextEdit(d, tree.Change{Op: tree.Create, Path: "/site", Kind: tree.GroupKind}), baseTime)
	for i := range services {
		if err != nil {
			return d, err
		}
		path := fmt.Sprintf("/site/service-%03d", i)
		d, _, err = d.Apply(nextEdit(d,
			tree.Change{Op: tree.Create, Path: path, Kind: tree.ServiceKind},
			tree.Change{Op: tree.Set, Path: path, Field: "timeout", Value: "900ms"},
			tree.Change{Op: tree.Set, Path: path, Field: "attempts", Value: "4"},
			tree.Change{Op: tree.Set, Path: path, Field: "hedge", Value: "true"},
		), baseTime)
	}
	return d, err
}

// nextEdit returns an edit that is based on the document's revision.
func nextEdit(d tree.Document, changes ...tree.Change) tree.Edit {
	id := fmt.Sprintf("018bcfe5-6800-7000-8000-%012x", d.Revision)
	return tree.Edit{ID: id, Author: "operator@site", Base: d.Revision, Changes: changes}
}

// runSettings measures the encoded size of the settings: a whole document, and a
// response with one edit.
func runSettings(_ Config, m *messageSizes, w io.Writer) error {
	whole := &series{name: "whole document, B"}
	one := &series{name: "answer with one edit, B"}
	for _, n := range []int{7, 30, 60, 110, 220} {
		d, err := newDocument(n)
		if err != nil {
			return err
		}
		d, e, err := d.Apply(nextEdit(d, tree.Change{Op: tree.Set, Path: "/site/service-003", Field: "timeout", Value: "800ms"}), baseTime)
		if err != nil {
			return err
		}
		whole.add(n, float64(len(tree.Encode(d))))
		response := &wire.SettingsReply{Revision: d.Revision, Edits: [][]byte{tree.EncodeEdit(e)}}
		m.settingsBytes = proto.Size(response)
		one.add(n, float64(m.settingsBytes))
	}
	writeTable(w, "services", whole, one)
	return nil
}

// runMemory measures the heap of an entry's main data structures.
func runMemory(_ Config, _ *messageSizes, w io.Writer) error {
	members := &series{name: "pkg/member Table and view, B"}
	for _, n := range []int{14, 50, 100, 200, 300} {
		members.add(n, retainedHeap(func() any { return memberTable(n) }))
	}
	writeTable(w, "entries", members)
	fmt.Fprintln(w)

	pools := &series{name: "pkg/pool, 18 workers a service, B"}
	for _, n := range []int{180, 500, 1000, 2000, 4000} {
		pools.add(n, retainedHeap(func() any { return newPools(n) }))
	}
	writeTable(w, "workers", pools)
	fmt.Fprintln(w)

	trees := &series{name: "pkg/tree Document, B"}
	for _, n := range []int{7, 30, 60, 110, 220} {
		trees.add(n, retainedHeap(func() any { d, _ := newDocument(n); return d }))
	}
	writeTable(w, "services", trees)
	return nil
}

// memberTable returns a membership table with its view.
func memberTable(entries int) any {
	t := member.New(member.Config{Self: sampleEntry(0), Rand: rand.New(rand.NewPCG(1, 1))})
	var all []member.Entry
	for i := 1; i < entries; i++ {
		all = append(all, sampleEntry(i))
	}
	t.Handle(baseTime, member.Request{Message: member.Message{From: sampleEntry(1).ID, Entries: all}})
	v := t.View()
	return []any{t, &v}
}

// newPools returns a pool for every 18 workers.
func newPools(workers int) any {
	const perService = 18
	var pools []any
	for done := 0; done < workers; done += perService {
		c, err := pool.NewBalancer(pool.PolicyNames()[0], pool.Config{}, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			panic(err)
		}
		var targets []pool.Target
		for i := range min(perService, workers-done) {
			targets = append(targets, pool.Target{
				ID: fmt.Sprintf("worker-%05d", done+i), Boot: 1, Place: "place-01", Slots: 2,
				Addr: fmt.Sprintf("10.2.%d.%d:9000", (done+i)/250, (done+i)%250),
			})
		}
		c.SetTargets(baseTime, targets, nil)
		pools = append(pools, c)
	}
	return pools
}
