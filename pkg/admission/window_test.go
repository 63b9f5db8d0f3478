package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/memory"
)

// Guards against unread bytes beyond their bound, and against windows of connections that send
// nothing which keep others from having one.
func TestWindows(t *testing.T) {
	const (
		unread  = 4 << 20
		conn    = 16 << 10
		windows = 1 << 20
		conns   = (unread - windows) / conn
		size    = 256 << 10
	)
	c := qt.New(t)
	b := New(Config{
		Memory: memory.Config{Limit: simMemory, Start: 64 << 10, WaitCharge: 128 << 10, Conns: simMemory / 4},
		Conns:  conns, Conn: simConn, Kernel: unread, ConnKernel: conn, Windows: windows,
	})
	now, random := time.Unix(1_000_000, 0), rand.New(rand.NewPCG(1, 1))
	wide, used := make(map[ID]int64), make(map[ID]bool) // as a guard would know
	var open []ID
	drop := func(ids []ID) {
		for _, id := range ids {
			delete(wide, id)
			delete(used, id)
		}
	}
	narrow := func(fits func() bool) bool { // as a guard does
		for !fits() {
			id := b.Resting()
			if id == 0 {
				return false
			}
			c.Assert(used[id], qt.IsFalse)
			if random.IntN(4) == 0 { // more has arrived
				b.Resume(id)
				used[id] = true
				continue
			}
			b.Narrow(id)
			delete(wide, id)
		}
		return true
	}
	for step := range 20_000 {
		now = now.Add(time.Millisecond)
		switch n := random.IntN(10); {
		case n < 5 || len(open) == 0:
			id, evicted := b.Connect(now, Traffic, fmt.Sprint(step%500))
			drop(evicted)
			narrow(b.WindowsFit)
			if id != 0 {
				open = append(open, id)
			}
		case n < 8:
			id := open[random.IntN(len(open))]
			if narrow(func() bool { return b.Widen(id, size) }) {
				wide[id], used[id] = size, true
			}
		case n < 9:
			id := open[random.IntN(len(open))]
			b.Rest(now, id)
			delete(used, id)
		default:
			i := random.IntN(len(open))
			b.Disconnect(now, open[i])
			drop(open[i : i+1])
			open = append(open[:i], open[i+1:]...)
		}
		sum := b.Usage(Traffic).Conns * conn
		for _, bytes := range wide {
			sum += bytes
		}
		// Windows in use may outlive the arrival of connections.
		inUse := int64(len(used)) * size
		c.Assert(sum <= unread || sum-inUse <= unread-windows && inUse <= unread, qt.IsTrue, qt.Commentf("%d bytes, %d in use, step %d", sum, inUse, step))
	}
	id, _ := b.Connect(now, Traffic, "newcomer")
	c.Assert(id, qt.Not(qt.Equals), ID(0))
	for _, id := range open {
		b.Rest(now, id)
	}
	c.Assert(narrow(func() bool { return b.Widen(id, size) }), qt.IsTrue)
}
