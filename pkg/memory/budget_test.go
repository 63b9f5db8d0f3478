package memory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testLimit = 16 << 20
	testStart = 64 << 10
	testWait  = 128 << 10
	testConns = 1 << 20
)

// testTime is the time of events whose order doesn't matter.
var testTime = time.Unix(1_000_000, 0)

func newTestBudget() *Budget {
	return New(Config{Limit: testLimit, Start: testStart, WaitCharge: testWait, Conns: testConns})
}

// fill opens large bodies until one more is refused.
func fill(c *qt.C, b *Budget, length int64) {
	for range 10_000 {
		id := b.Open(testTime, Body{Caller: "large", Length: length, Max: testLimit, Deadline: testTime.Add(time.Minute)}).ID
		for held := int64(0); ; {
			n := NextPart(held)
			d := b.Extend(testTime, id, n)
			if d.Verdict == Refuse {
				return
			}
			if held += n; d.Verdict == Wait {
				break
			}
		}
	}
	c.Fatal("there is always room")
}

// Guards against small bodies that are refused, or wait, beside large ones that fill the memory.
func TestSmallBodyBesideLargeOnes(t *testing.T) {
	for _, length := range []int64{100 << 10, 4 << 20, -1} {
		c := qt.New(t)
		b := newTestBudget()
		fill(c, b, length)
		for range 50 {
			d := b.Open(testTime, Body{Caller: "small", Length: 100, Deadline: testTime.Add(time.Second)})
			c.Assert(b.Extend(testTime, d.ID, 100).Verdict, qt.Equals, Grant)
			b.Complete(d.ID)
		}
	}
}

// Guards against a body of unknown length that is refused by a guess of its size while it waits.
func TestUnknownLengthWaits(t *testing.T) {
	c := qt.New(t)
	b := newTestBudget()
	for b.Buffer(32 << 10) { // no room for large bodies
	}
	id := b.Open(testTime, Body{Caller: "a", Length: -1, Max: testLimit, Deadline: testTime.Add(100 * time.Millisecond)}).ID
	held := int64(0)
	for held < testStart {
		n := NextPart(held)
		c.Assert(b.Extend(testTime, id, n).Verdict, qt.Equals, Grant)
		held += n
	}
	c.Assert(b.Extend(testTime.Add(20*time.Millisecond), id, NextPart(held)).Verdict, qt.Equals, Wait)
	c.Assert(b.Plan(testTime.Add(30*time.Millisecond)), qt.HasLen, 0)
	d := b.Plan(testTime.Add(200 * time.Millisecond))
	c.Assert(d, qt.HasLen, 1)
	c.Assert(d[0].Cause, qt.Equals, Late)
}

// Guards against connections and heads that leave no memory for bodies, and against bodies that
// leave none for connections.
func TestConnectionsAreBounded(t *testing.T) {
	const head = 16 << 10
	b := newTestBudget()
	n := int64(0)
	for b.Charge(head, 0) {
		n += head
		qt.Assert(t, n <= testConns+testLimit/connPart, qt.IsTrue)
	}
	qt.Assert(t, n, qt.Equals, int64(testConns+testLimit/connPart))
	fill(qt.New(t), b, 4<<20)
	qt.Assert(t, b.Charge(head, 0), qt.IsFalse)
	b.Release(testTime, n)
	for n = 0; b.Charge(head, 0); n += head {
		qt.Assert(t, n < testLimit, qt.IsTrue)
	}
	qt.Assert(t, n >= testConns, qt.IsTrue)
}
