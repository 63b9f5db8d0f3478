package heap_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

type number int

func (n number) Before(o number) bool { return n < o }

func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOf(rapid.Map(rapid.Int(), func(i int) number { return number(i) })).Draw(t, "in")
		var h heap.Heap[number]
		for _, n := range in {
			h.Push(n)
		}
		var out []number
		for h.Len() > 0 {
			out = append(out, h.Pop())
		}
		slices.Sort(in)
		if !slices.Equal(out, in) {
			t.Fatalf("popped %v, expected %v", out, in)
		}
	})
}
