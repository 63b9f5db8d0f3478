package ring

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.UnixMilli(1_800_000_000_000).UTC()

func member(name string, boot uint64, place string) Member {
	return Member{Ident{name, boot}, "127.0.0.1:1", "127.0.0.1:2", place, "perth-metro"}
}

func fleet(n int) []Member {
	places := []string{"fremantle-hall", "subiaco-hall", "joondalup-hall"}
	var out []Member
	for i := range n {
		out = append(out, member(fmt.Sprintf("e%d", i), 1, places[i%len(places)]))
	}
	return out
}

func names(members []Member) map[string]bool {
	out := map[string]bool{}
	for _, m := range members {
		out[m.Name] = true
	}
	return out
}

func TestReplicas(t *testing.T) {
	for _, tc := range []struct {
		name   string
		n      int
		size   int
		places int
	}{
		{"one entry", 1, 1, 1},
		{"two entries", 2, 2, 2},
		{"three places", 14, 3, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			for i := range 200 {
				set := Replicas(fleet(tc.n), "deposit-ledger", fmt.Sprint(i))
				c.Assert(set, qt.HasLen, tc.size)
				places := map[string]bool{}
				for _, m := range set {
					places[m.Place] = true
				}
				c.Assert(places, qt.HasLen, tc.places)
			}
		})
	}
}

// A caller resends a key after an entry left. If that moved the replicas of
// every key, each small change of the fleet would copy all records.
func TestLeaverMovesOnlyItsOwnKeys(t *testing.T) {
	c := qt.New(t)
	all := fleet(14)
	moved := 0
	for i := range 3000 {
		key := fmt.Sprint(i)
		before := Replicas(all, "s", key)
		after := Replicas(all[1:], "s", key)
		if !names(before)["e0"] {
			c.Assert(after, qt.DeepEquals, before)
			continue
		}
		moved++
	}
	c.Assert(moved > 400 && moved < 900, qt.IsTrue, qt.Commentf("moved %d of 3000", moved))
}

func TestCodec(t *testing.T) {
	c := qt.New(t)
	r := Ring{
		Revision: 7,
		Members:  fleet(3),
		Old:      fleet(4),
		Losses:   []Loss{{At: epoch, Sealed: epoch.Add(time.Second), Members: fleet(4), Missing: []Ident{{"e1", 1}}}},
	}
	data, err := Encode(r)
	c.Assert(err, qt.IsNil)
	back, err := Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.DeepEquals, r)
}

func TestDecodeRefuses(t *testing.T) {
	for _, tc := range []struct{ name, data, want string }{
		{"cut", `{"format":1,`, ".*unexpected end.*"},
		{"format", `{"format":9}`, ".*format: found 9, expected 1"},
		{"no revision", `{"format":1,"members":[{"name":"a"}]}`, ".*revision: found 0.*"},
		{"no members", `{"format":1,"revision":2}`, ".*members: found none.*"},
		{"twice", `{"format":1,"revision":2,"members":[{"name":"a"},{"name":"a"}]}`, ".*found \"a\" twice.*"},
		{"nameless", `{"format":1,"revision":2,"members":[{}]}`, ".*members.name: found none.*"},
		{"loss without time", `{"format":1,"revision":2,"members":[{"name":"a"}],"losses":[{}]}`, ".*losses.at.*"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Decode([]byte(tc.data))
			qt.Assert(t, err, qt.ErrorMatches, tc.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := Encode(Ring{Revision: 1, Members: fleet(3)})
	f.Add(good)
	f.Add([]byte(`{"format":1,"revision":18446744073709551615,"members":[{"name":"a"}]}`))
	f.Add([]byte(`{"format":1,"revision":1,"members":[{"name":"a"}],"losses":[{"at":-9223372036854775808}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(r)
		qt.Assert(t, err, qt.IsNil)
		back, err := Decode(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, back.Revision, qt.Equals, r.Revision)
		qt.Assert(t, back.Members, qt.DeepEquals, r.Members)
	})
}
