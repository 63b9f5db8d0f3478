package claim

import (
	"fmt"
	"runtime"

	"plumpitch.example/plumpitch/pkg/call"
)

// million gives the bytes of heap for each of a million settled keys.
func million(body int) float64 {
	const keys = 1_000_000
	before := heap()
	tab := table(func(c *Config) { c.Keys = keys; c.Bytes = 1 << 30 })
	for i := range uint64(keys) {
		k := of(fmt.Sprintf("018bcfe5-6800-7000-8000-%012x", i), i)
		tab.Claim(epoch, ask(k))
		tab.Settle(epoch, settle(k, &Answer{Outcome: call.Ran, Status: 201, Body: make([]byte, body), Whole: true}))
	}
	used := heap() - before
	runtime.KeepAlive(tab)
	return float64(used) / keys
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
