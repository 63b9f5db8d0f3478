package member

import (
	"cmp"
	"slices"
	"time"
)

// Rumours are kept for rumourAge, at most rumourLimit of a kind.
const (
	rumourAge   = 10 * time.Minute
	rumourLimit = 256
)

type rumour[V any] struct {
	value V
	sends int
}

// rumours spreads short-lived notices: each is carried by a bounded number of
// messages and forgotten after a while.
type rumours[K comparable, V any] struct {
	key   func(V) K
	at    func(V) time.Time
	newer func(v, old V) bool
	items []*rumour[V]
}

type stoppingKey struct {
	target string
	boot   uint64
}

func newStopping() *rumours[stoppingKey, Stopping] {
	return &rumours[stoppingKey, Stopping]{
		key:   func(s Stopping) stoppingKey { return stoppingKey{s.Target, s.Boot} },
		at:    func(s Stopping) time.Time { return s.At },
		newer: func(_, _ Stopping) bool { return false },
	}
}

type crasherKey struct {
	print uint64
	by    string
}

func newCrashers() *rumours[crasherKey, Crasher] {
	return &rumours[crasherKey, Crasher]{
		key: func(c Crasher) crasherKey { return crasherKey{c.Print, c.By} },
		at:  func(c Crasher) time.Time { return c.At },
		newer: func(c, old Crasher) bool {
			return c.Sequence > old.Sequence || c.Sequence == old.Sequence && c.Crashes > old.Crashes
		},
	}
}

// learn tells whether v is news.
func (rs *rumours[K, V]) learn(now time.Time, v V, sends int) bool {
	if now.Sub(rs.at(v)) > rumourAge {
		return false
	}
	i := slices.IndexFunc(rs.items, func(r *rumour[V]) bool { return rs.key(r.value) == rs.key(v) })
	if i >= 0 && !rs.newer(v, rs.items[i].value) {
		return false
	}
	if i >= 0 {
		rs.items = slices.Delete(rs.items, i, i+1)
	}
	if len(rs.items) == rumourLimit {
		rs.items = slices.Delete(rs.items, 0, 1)
	}
	rs.items = append(rs.items, &rumour[V]{value: v, sends: sends})
	return true
}

// take gives at most so many rumours, those that had the fewest messages so far.
func (rs *rumours[K, V]) take(now time.Time, most int) []V {
	rs.items = slices.DeleteFunc(rs.items, func(r *rumour[V]) bool { return now.Sub(rs.at(r.value)) > rumourAge })
	var hot []*rumour[V]
	for _, r := range rs.items {
		if r.sends > 0 {
			hot = append(hot, r)
		}
	}
	slices.SortStableFunc(hot, func(a, b *rumour[V]) int { return cmp.Compare(b.sends, a.sends) })
	var values []V
	for _, r := range hot[:min(len(hot), most)] {
		r.sends--
		values = append(values, r.value)
	}
	return values
}

func (t *Table) takeRumours(now time.Time) Rumours {
	most := maxRumours
	if t.cfg.Room > 0 {
		most = packetRumours
	}
	return Rumours{Stopping: t.stopping.take(now, most), Crashers: t.crashers.take(now, most)}
}

// tell starts rumours here.
func (t *Table) tell(now time.Time, r Rumours) { t.spreadRumours(now, r) }

// hear takes rumours of a peer and passes on what is new.
func (t *Table) hear(now time.Time, r Rumours) {
	news := t.spreadRumours(now, r)
	if !news.empty() {
		t.act(Learned{Rumours: news})
	}
}

func (t *Table) spreadRumours(now time.Time, r Rumours) (news Rumours) {
	sends := rumourSpread * t.spread()
	for _, s := range r.Stopping {
		if t.stopping.learn(now, s, sends) {
			news.Stopping = append(news.Stopping, s)
		}
	}
	for _, c := range r.Crashers {
		if t.crashers.learn(now, c, sends) {
			news.Crashers = append(news.Crashers, c)
		}
	}
	t.news = t.news || !news.empty()
	return news
}

// rumourSpread makes rumours last longer than changes of the view: no digest
// finds those that missed one.
const rumourSpread = 2
