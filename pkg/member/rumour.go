package member

import (
	"cmp"
	"slices"
	"time"
)

// Rumours are kept for rumourLifetime, at most rumourLimit of each kind.
const (
	rumourAge   = 10 * time.Minute
	rumourLimit = 256
)

type rumour[V any] struct {
	value V
	sends int
}

// rumours holds the rumours of one kind. Each is sent in a bounded number of messages
// and removed after rumourLifetime.
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

// add adds a rumour and reports whether it is new.
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

// takeUnsent returns up to most rumours that still have to be sent, those sent least
// often first.
func (rs *rumours[K, V]) take(now time.Time, most int) []V {
	rs.items = slices.DeleteFunc(rs.items, func(r *rumour[V]) bool { return now.Sub(rs.at(r.value)) > rumourAge })
	var unsent []*rumour[V]
	for _, r := range rs.items {
		if r.sends > 0 {
			unsent = append(unsent, r)
		}
	}
	slices.SortStableFunc(unsent, func(a, b *rumour[V]) int { return cmp.Compare(b.sends, a.sends) })
	var values []V
	for _, r := range unsent[:min(len(unsent), most)] {
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

// startRumours spreads rumours that begin at this entry.
func (t *Table) tell(now time.Time, r Rumours) { t.spreadRumours(now, r) }

// receiveRumours relays a peer's rumours that are new to this entry.
func (t *Table) hear(now time.Time, r Rumours) {
	added := t.spreadRumours(now, r)
	if !added.empty() {
		t.act(Learned{Rumours: added})
	}
}

// addRumours queues the new ones of the rumours for sending and returns them.
func (t *Table) spreadRumours(now time.Time, r Rumours) (added Rumours) {
	sends := rumourSpread * t.spread()
	for _, s := range r.Stopping {
		if t.stopping.learn(now, s, sends) {
			added.Stopping = append(added.Stopping, s)
		}
	}
	for _, c := range r.Crashers {
		if t.crashers.learn(now, c, sends) {
			added.Crashers = append(added.Crashers, c)
		}
	}
	t.news = t.news || !added.empty()
	return added
}

// rumourSendFactor multiplies the sends of a rumour compared with a change of the view,
// since no digest finds the entries that a rumour didn't reach.
const rumourSpread = 2
