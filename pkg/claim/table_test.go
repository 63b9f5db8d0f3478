package claim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/ring"
)

var (
	epoch = time.UnixMilli(1_800_000_000_000).UTC()
	self  = ring.Ident{Name: "e0", Boot: 1}
	other = ring.Ident{Name: "e1", Boot: 1}
	ran   = &Answer{Outcome: call.Ran, Status: 201, Body: []byte("booked"), Whole: true}
)

func table(change ...func(*Config)) *Table {
	cfg := Default(self, epoch)
	for _, c := range change {
		c(&cfg)
	}
	t := New(cfg)
	t.Adopt(4)
	return t
}

// of gives the n-th claim on a key, made for request number n/10.
func of(key string, n uint64) Claim {
	mark := n / 10
	return Claim{Service: "deposit-ledger", Key: key, Print: mark, ID: ID(mark, other, n), By: other}
}

func ask(c Claim) Ask {
	return Ask{Claim: c, To: self, Ring: 4}
}

func settle(c Claim, a *Answer) Settlement {
	return Settlement{To: self, Service: c.Service, Key: c.Key, ID: c.ID, Withdraw: a == nil, Answer: a}
}

func copied(c Claim, age time.Duration, a *Answer) Record {
	return Record{Claim: c, Age: age, Answer: a}
}

// A caller sends its booking again through another entry, so that a replica
// hears of a second claim: at once, after a withdrawal, after the outcome, late
// or in disorder. A replica that accepted both would let the booking run twice.
func TestTable(t *testing.T) {
	x, y, reuse := of("k", 1), of("k", 2), of("k", 11)
	for _, tc := range []struct {
		name   string
		before func(*Table)
		ask    Ask
		want   Verdict
	}{
		{"free", func(*Table) {}, ask(x), Accepted},
		{"the same claim again", func(t *Table) { t.Claim(epoch, ask(x)) }, ask(x), Accepted},
		{"held", func(t *Table) { t.Claim(epoch, ask(x)) }, ask(y), Held},
		{"held for another request", func(t *Table) { t.Claim(epoch, ask(x)) }, ask(reuse), OtherPrint},
		{"withdrawn", func(t *Table) { t.Claim(epoch, ask(x)); t.Settle(epoch, settle(x, nil)) }, ask(y), Accepted},
		{"withdrawn, its own late duplicate", func(t *Table) { t.Settle(epoch, settle(x, nil)) }, ask(x), Held},
		{"withdrawal of another claim", func(t *Table) { t.Claim(epoch, ask(x)); t.Settle(epoch, settle(y, nil)) }, ask(of("k", 3)), Held},
		{"settled", func(t *Table) { t.Claim(epoch, ask(x)); t.Settle(epoch, settle(x, ran)) }, ask(y), Settled},
		{"settled, then a late withdrawal", func(t *Table) {
			t.Claim(epoch, ask(x))
			t.Settle(epoch, settle(x, ran))
			t.Settle(epoch, settle(x, nil))
		}, ask(y), Settled},
		{"settled before the claim is known", func(t *Table) { t.Settle(epoch, settle(x, ran)) }, ask(y), Settled},
		{"settled before the claim is known, another request", func(t *Table) { t.Settle(epoch, settle(x, ran)) }, ask(reuse), OtherPrint},
		{"settled under a claim that lost here", func(t *Table) { t.Claim(epoch, ask(x)); t.Settle(epoch, settle(y, ran)) }, ask(y), Settled},
		{"older ring", func(t *Table) { t.Adopt(5) }, ask(x), WrongRing},
		{"newer ring", func(*Table) {}, Ask{Claim: x, To: self, Ring: 5}, WrongRing},
		{"lower ring is not taken", func(t *Table) { t.Adopt(3) }, ask(x), Accepted},
		{"former incarnation", func(*Table) {}, Ask{Claim: x, To: ring.Ident{Name: "e0"}, Ring: 4}, WrongIncarnation},
		{"full", func(t *Table) { t.Claim(epoch, ask(of("a", 1))); t.Claim(epoch, ask(of("b", 1))) }, ask(x), Full},
		{"full, known key", func(t *Table) { t.Claim(epoch, ask(x)); t.Claim(epoch, ask(of("b", 1))) }, ask(y), Held},
		{"just before the retention ends", func(t *Table) { t.Claim(epoch.Add(time.Second-24*time.Hour), ask(x)) }, ask(y), Held},
		{"retention is over", func(t *Table) { t.Claim(epoch.Add(-24*time.Hour), ask(x)) }, ask(y), Accepted},
		{"copied", func(t *Table) { t.Take(epoch, []Record{copied(x, 0, nil)}) }, ask(y), Held},
		{"copied with outcome", func(t *Table) { t.Take(epoch, []Record{copied(x, 0, ran)}) }, ask(y), Settled},
		{"copied outcome over a held claim", func(t *Table) { t.Claim(epoch, ask(y)); t.Take(epoch, []Record{copied(x, 0, ran)}) }, ask(y), Settled},
		{"copied claim after the outcome", func(t *Table) { t.Settle(epoch, settle(x, ran)); t.Take(epoch, []Record{copied(x, 0, nil)}) }, ask(y), Settled},
		{"copied beside another claim, which is withdrawn", func(t *Table) {
			t.Claim(epoch, ask(y))
			t.Take(epoch, []Record{copied(x, 0, nil)})
			t.Settle(epoch, settle(y, nil))
		}, ask(of("k", 3)), Held},
		{"copied beside another claim, which asks again", func(t *Table) { t.Claim(epoch, ask(y)); t.Take(epoch, []Record{copied(x, 0, nil)}) }, ask(y), Held},
		{"copied after its withdrawal", func(t *Table) { t.Settle(epoch, settle(x, nil)); t.Take(epoch, []Record{copied(x, 0, nil)}) }, ask(y), Accepted},
		{"copied too old", func(t *Table) { t.Take(epoch, []Record{copied(x, 24*time.Hour, nil)}) }, ask(y), Accepted},
		{"copied with its age", func(t *Table) { t.Take(epoch.Add(-time.Hour), []Record{copied(x, 23*time.Hour, nil)}) }, ask(y), Accepted},
		{"copied into a full table", func(t *Table) {
			t.Take(epoch, []Record{copied(of("a", 1), 0, nil), copied(of("b", 1), 0, nil), copied(x, 0, nil)})
		}, ask(y), Held},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, h := range []func(name) uint64{hash, func(name) uint64 { return 7 }} {
				tab := table(func(c *Config) { c.Keys = 2 })
				tab.hash = h
				tc.before(tab)
				got := tab.Claim(epoch, tc.ask)
				qt.Assert(t, got.Verdict, qt.Equals, tc.want)
				if tc.want == Settled {
					qt.Assert(t, got.Answer, qt.DeepEquals, ran)
				}
			}
		})
	}
}

// Two keys whose hashes collide stay apart, whichever goes first.
func TestHashCollision(t *testing.T) {
	for _, first := range []int{0, 1, 2} {
		c := qt.New(t)
		tab := table()
		tab.hash = func(name) uint64 { return 7 }
		for i := range 3 {
			c.Assert(tab.Claim(epoch, ask(of(fmt.Sprint(i), 1))).Verdict, qt.Equals, Accepted)
		}
		tab.Settle(epoch, settle(of(fmt.Sprint(first), 1), nil))
		for i := range 3 {
			want := Held
			if i == first {
				want = Accepted
			}
			c.Assert(tab.Claim(epoch, ask(of(fmt.Sprint(i), 2))).Verdict, qt.Equals, want)
		}
		c.Assert(tab.Len(), qt.Equals, 3)
	}
}

func TestTableWithoutRing(t *testing.T) {
	tab := New(Default(self, epoch))
	qt.Assert(t, tab.Claim(epoch, Ask{Claim: of("k", 1), To: self}).Verdict, qt.Equals, WrongRing)
}

func TestAnswersAreBounded(t *testing.T) {
	for _, tc := range []struct {
		name  string
		body  int
		keys  int
		whole bool
		bytes int
	}{
		{"fits", 10, 1, true, 10},
		{"one too long", 101, 1, false, 0},
		{"no room for the last", 100, 3, false, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			tab := table(func(c *Config) { c.Body = 100; c.Bytes = 250 })
			a := &Answer{Outcome: call.Ran, Status: 200, Body: make([]byte, tc.body), Whole: true}
			for i := range tc.keys {
				k := of(fmt.Sprint(i), 1)
				tab.Claim(epoch, ask(k))
				c.Assert(tab.Settle(epoch, settle(k, a)), qt.IsTrue)
			}
			last := tab.Claim(epoch, ask(of(fmt.Sprint(tc.keys-1), 2)))
			c.Assert(last.Verdict, qt.Equals, Settled)
			c.Assert(last.Answer.Whole, qt.Equals, tc.whole)
			c.Assert(last.Answer.Status, qt.Equals, 200)
			c.Assert(tab.Bytes(), qt.Equals, tc.bytes)
			tab.Claim(epoch.Add(25*time.Hour), ask(of("later", 1)))
			c.Assert(tab.Bytes(), qt.Equals, 0)
			c.Assert(tab.Len(), qt.Equals, 1)
		})
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	c := qt.New(t)
	a, b := table(), table()
	a.Claim(epoch, ask(of("k1", 1)))
	a.Claim(epoch, ask(of("k2", 2)))
	a.Settle(epoch, settle(of("k2", 2), ran))
	a.Take(epoch, []Record{copied(of("k1", 3), time.Minute, nil)})
	later := epoch.Add(time.Minute)
	b.Take(later, a.Records(later))
	c.Assert(b.Records(later), qt.DeepEquals, a.Records(later))
	c.Assert(b.Records(later), qt.HasLen, 3)
}

// BenchmarkMillion prints the memory that a million keys take in one replica.
func BenchmarkMillion(b *testing.B) {
	for _, body := range []int{0, 200} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(million(body), "B/key")
			}
		})
	}
}

func TestParseID(t *testing.T) {
	for _, tc := range []struct {
		name string
		id   string
		mark uint64
		by   ring.Ident
	}{
		{"whole", ID(1<<63+5, other, 12), 1<<63 + 5, other},
		{"name with the separators", ID(5, ring.Ident{Name: "a#1.2", Boot: 1 << 63}, 3), 5, ring.Ident{Name: "a#1.2", Boot: 1 << 63}},
		{"short", "00", 0, ring.Ident{}},
		{"not hexadecimal", "zzzzzzzzzzzzzzzze1#1.1", 0, ring.Ident{}},
		{"no separators", "0000000000000001e1", 0, ring.Ident{}},
		{"no boot", "0000000000000001e1#.1", 0, ring.Ident{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mark, by := parseID(tc.id)
			qt.Assert(t, mark, qt.Equals, tc.mark)
			qt.Assert(t, by, qt.Equals, tc.by)
		})
	}
}
