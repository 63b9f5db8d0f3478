package member

import (
	"cmp"
	"slices"
	"time"
)

// Rumours are kept for rumourLifetime, at most rumourLimit of each kind.
const (
	rumourLifetime = 10 * time.Minute
	rumourLimit    = 256
)

type rumour[V any] struct {
	value     V
	sendsLeft int
}

// rumours holds the rumours of one kind. Each is sent in a bounded number of messages
// and removed after rumourLifetime.
type rumours[K comparable, V any] struct {
	key       func(V) K
	timestamp func(V) time.Time
	newer     func(v, old V) bool
	items     []*rumour[V]
}

type leavingNoticeKey struct {
	target string
	boot   uint64
}

func newLeavingNotices() *rumours[leavingNoticeKey, LeavingNotice] {
	return &rumours[leavingNoticeKey, LeavingNotice]{
		key:       func(s LeavingNotice) leavingNoticeKey { return leavingNoticeKey{s.Target, s.Boot} },
		timestamp: func(s LeavingNotice) time.Time { return s.Time },
		newer:     func(_, _ LeavingNotice) bool { return false },
	}
}

type crashReportKey struct {
	fingerprint uint64
	reporter    string
}

func newCrashReports() *rumours[crashReportKey, CrashReport] {
	return &rumours[crashReportKey, CrashReport]{
		key:       func(c CrashReport) crashReportKey { return crashReportKey{c.Fingerprint, c.Reporter} },
		timestamp: func(c CrashReport) time.Time { return c.Time },
		newer: func(c, old CrashReport) bool {
			return c.Sequence > old.Sequence || c.Sequence == old.Sequence && c.Crashes > old.Crashes
		},
	}
}

// add adds a rumour and reports whether it is new.
func (rs *rumours[K, V]) add(now time.Time, v V, sends int) bool {
	if now.Sub(rs.timestamp(v)) > rumourLifetime {
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
	rs.items = append(rs.items, &rumour[V]{value: v, sendsLeft: sends})
	return true
}

// takeUnsent returns up to most rumours that still have to be sent, those sent least
// often first.
func (rs *rumours[K, V]) takeUnsent(now time.Time, most int) []V {
	rs.items = slices.DeleteFunc(rs.items, func(r *rumour[V]) bool { return now.Sub(rs.timestamp(r.value)) > rumourLifetime })
	var unsent []*rumour[V]
	for _, r := range rs.items {
		if r.sendsLeft > 0 {
			unsent = append(unsent, r)
		}
	}
	slices.SortStableFunc(unsent, func(a, b *rumour[V]) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	var values []V
	for _, r := range unsent[:min(len(unsent), most)] {
		r.sendsLeft--
		values = append(values, r.value)
	}
	return values
}

func (t *Table) takeRumours(now time.Time) Rumours {
	most := maxRumours
	if t.cfg.MaxEntryBytes > 0 {
		most = maxPacketRumours
	}
	return Rumours{LeavingNotices: t.leavingNotices.takeUnsent(now, most), CrashReports: t.crashReports.takeUnsent(now, most)}
}

// startRumours spreads rumours that begin at this entry.
func (t *Table) startRumours(now time.Time, r Rumours) { t.addRumours(now, r) }

// receiveRumours relays a peer's rumours that are new to this entry.
func (t *Table) receiveRumours(now time.Time, r Rumours) {
	added := t.addRumours(now, r)
	if !added.empty() {
		t.emit(RumoursReceived{Rumours: added})
	}
}

// addRumours queues the new ones of the rumours for sending and returns them.
func (t *Table) addRumours(now time.Time, r Rumours) (added Rumours) {
	sends := rumourSendFactor * t.sendCount()
	for _, s := range r.LeavingNotices {
		if t.leavingNotices.add(now, s, sends) {
			added.LeavingNotices = append(added.LeavingNotices, s)
		}
	}
	for _, c := range r.CrashReports {
		if t.crashReports.add(now, c, sends) {
			added.CrashReports = append(added.CrashReports, c)
		}
	}
	t.pushPending = t.pushPending || !added.empty()
	return added
}

// rumourSendFactor multiplies the sends of a rumour compared with a change of the view,
// since no digest finds the entries that a rumour didn't reach.
const rumourSendFactor = 2
