package ring

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var config = Default()

// view sees every member as just heard of, and changed far back.
func view(members ...Member) View {
	v := View{Since: epoch.Add(-time.Hour)}
	for _, m := range members {
		v.Seen = append(v.Seen, Seen{Member: m, First: epoch.Add(-time.Hour), Last: epoch})
	}
	return v
}

func (v View) with(change func(*View)) View {
	change(&v)
	return v
}

func unseen(d time.Duration, at ...int) func(*View) {
	return func(v *View) {
		for _, i := range at {
			v.Seen[i].Last = epoch.Add(-d)
		}
	}
}

func idents(members ...Member) (out []Ident) {
	for _, m := range members {
		out = append(out, m.Ident)
	}
	return out
}

func TestNext(t *testing.T) {
	all := fleet(7)
	stable := Ring{Revision: 4, Members: all[:6]}
	joint := Ring{Revision: 5, Members: all[1:6], Old: all[:6]}
	reborn := member("e0", 2, "fremantle-hall")
	for _, tc := range []struct {
		name    string
		cur     Ring
		view    View
		ok      bool
		members []Member
		old     []Member
		losses  int
		sealed  time.Duration // from now
	}{
		{name: "first ring", view: view(all[:6]...), ok: true, members: all[:6]},
		{name: "first ring, none seen for long", view: view(all[0]).with(func(v *View) { v.Seen[0].First = epoch })},
		{name: "nothing changed", cur: stable, view: view(all[:6]...)},
		{name: "one joins", cur: stable, view: view(all...), ok: true, members: all, old: all[:6]},
		{name: "one joins too soon after a change", cur: stable, view: view(all...).with(func(v *View) { v.Since = epoch.Add(-time.Second) })},
		{name: "one has only just come", cur: stable, view: view(all...).with(func(v *View) { v.Seen[6].First = epoch.Add(-time.Second) })},
		{name: "one leaves", cur: stable, view: view(all[:6]...).with(func(v *View) { v.Seen[0].Leaving = true }), ok: true, members: all[1:6], old: all[:6]},
		{name: "one flaps", cur: stable, view: view(all[:6]...).with(unseen(9*time.Second, 0))},
		{name: "one dies", cur: stable, view: view(all[:6]...).with(unseen(11*time.Second, 0)), ok: true, members: all[1:6], old: all[:6]},
		{name: "one was never seen", cur: stable, view: view(all[1:6]...), ok: true, members: all[1:6], old: all[:6]},
		{name: "one restarts", cur: stable, view: view(append([]Member{reborn}, all[1:6]...)...), ok: true, members: append([]Member{reborn}, all[1:6]...), old: all[:6]},
		{name: "cut off from most", cur: stable, view: view(all[:6]...).with(unseen(time.Minute, 0, 1, 2))},
		{name: "cut off from all, some not long enough", cur: stable, view: view(all[:6]...).with(unseen(9*time.Second, 2, 3, 4, 5)).with(unseen(11*time.Second, 1))},
		{name: "most are surely dead", cur: stable, view: view(all[:6]...).with(unseen(time.Minute, 0, 1, 2)).with(func(v *View) { v.Gone = idents(all[:3]...) }), ok: true, members: all[3:6], old: all[:6]},
		{name: "another has a newer ring", cur: stable, view: view(all...).with(func(v *View) { v.Seen[3].Ring = 5 })},
		{name: "joint, not all copied", cur: joint, view: view(all[:6]...).with(func(v *View) { v.Synced = idents(all[1:5]...) })},
		{name: "joint, all copied", cur: joint, view: view(all[:6]...).with(func(v *View) { v.Synced = idents(all[:6]...) }), ok: true, members: all[1:6]},
		{name: "joint, the dead one may come back", cur: joint, view: view(all[:6]...).with(unseen(20*time.Second, 0)).with(func(v *View) { v.Synced = idents(all[1:6]...) })},
		{name: "joint, the dead one is given up", cur: joint, view: view(all[:6]...).with(unseen(40*time.Second, 0)).with(func(v *View) { v.Synced = idents(all[1:6]...) }), ok: true, members: all[1:6]},
		{name: "joint, a second one dies", cur: joint, view: view(all[:6]...).with(unseen(20*time.Second, 0, 1)).with(func(v *View) { v.Synced = idents(all[2:6]...) }), ok: true, members: all[2:6], old: all[:6]},
		{name: "joint, two are given up", cur: joint, view: view(all[:6]...).with(unseen(40*time.Second, 0, 1)).with(func(v *View) { v.Synced = idents(all[2:6]...) }), ok: true, members: all[1:6], losses: 1, sealed: config.Remove},
		{name: "joint, one is surely dead and one is given up", cur: joint, view: view(all[:6]...).with(unseen(40*time.Second, 0, 1)).with(func(v *View) { v.Synced, v.Gone = idents(all[2:6]...), idents(all[0]) }), ok: true, members: all[1:6], losses: 1, sealed: config.Remove},
		{name: "joint, two are surely dead", cur: joint, view: view(all[:6]...).with(unseen(20*time.Second, 0, 1)).with(func(v *View) { v.Synced, v.Gone = idents(all[2:6]...), idents(all[:2]...) }), ok: true, members: all[1:6], losses: 1},
		{name: "joint, half unseen, new list changes", cur: joint, view: view(all[:6]...).with(unseen(time.Hour, 0, 1, 2)).with(func(v *View) { v.Synced = idents(all[3:6]...) }), ok: true, members: all[3:6], old: all[:6]},
		{name: "joint, half unseen, none is given up", cur: Ring{Revision: 6, Members: all[3:6], Old: all[:6]}, view: view(all[:6]...).with(unseen(time.Hour, 0, 1, 2)).with(func(v *View) { v.Synced = idents(all[3:6]...) })},
		{name: "joint, cut off from most", cur: joint, view: view(all[:6]...).with(unseen(time.Hour, 0, 1, 2, 3))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			next, ok := config.Next(epoch, tc.cur, tc.view)
			c.Assert(ok, qt.Equals, tc.ok)
			if !ok {
				return
			}
			c.Assert(next.Revision, qt.Equals, tc.cur.Revision+1)
			c.Assert(next.Members, qt.DeepEquals, tc.members)
			c.Assert(next.Old, qt.DeepEquals, tc.old)
			c.Assert(next.Losses, qt.HasLen, tc.losses)
			if tc.losses > 0 {
				c.Assert(next.Losses[0].Sealed, qt.Equals, epoch.Add(tc.sealed))
			}
		})
	}
}

// A booking ran; then both entries that knew of it died. Its caller sends it
// again. No replica can know the key, so a claim would be accepted and the
// booking would run twice. Such keys are refused until they would have been
// forgotten anyway, but for keys made after the loss.
func TestKnowable(t *testing.T) {
	all := fleet(6)
	set := Replicas(all, "deposit-ledger", "k")
	sealed := Loss{At: epoch, Sealed: epoch, Members: all, Missing: idents(set[:2]...)}
	open, one := sealed, sealed
	open.Sealed = time.Time{}
	one.Missing = idents(set[0])
	day := config.Retention + 2*config.Skew
	late := epoch.Add(3 * config.Skew)
	for _, tc := range []struct {
		name string
		loss Loss
		key  string
		now  time.Time
		want bool
	}{
		{"two of three lost", sealed, "k", epoch.Add(time.Hour), false},
		{"one of three lost", one, "k", epoch.Add(time.Hour), true},
		{"retention has passed", sealed, "k", epoch.Add(day), true},
		{"retention has passed, may be only cut off", open, "k", epoch.Add(day), false},
		{"every key is covered", Loss{At: epoch, Sealed: epoch}, "other", epoch, false},
		{"made after the loss", Loss{At: epoch, Sealed: epoch}, uuidAt(late), late, true},
		{"made within the skew", Loss{At: epoch, Sealed: epoch}, uuidAt(epoch.Add(config.Skew)), late, false},
		{"made after, may be only cut off", Loss{At: epoch}, uuidAt(late), late, false},
		{"random key", Loss{At: epoch, Sealed: epoch}, "0f8fad5b-d9cb-469f-a165-70867728950e", late, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := Ring{Revision: 1, Members: all, Losses: []Loss{tc.loss}}
			qt.Assert(t, config.Knowable(tc.now, r, "deposit-ledger", tc.key), qt.Equals, tc.want)
		})
	}
}

func TestPremature(t *testing.T) {
	c := qt.New(t)
	c.Assert(config.Premature(epoch, uuidAt(epoch.Add(2*config.Skew))), qt.IsTrue)
	c.Assert(config.Premature(epoch, uuidAt(epoch.Add(config.Skew/2))), qt.IsFalse)
	c.Assert(config.Premature(epoch, "k"), qt.IsFalse)
}

func TestLossMarks(t *testing.T) {
	all := fleet(6)
	loss := Loss{At: epoch, Members: all, Missing: idents(all[:2]...)}
	given := loss
	given.Sealed = epoch
	sealed := loss
	sealed.Sealed = epoch.Add(-config.Retention - 2*config.Skew)
	for _, tc := range []struct {
		name   string
		loss   Loss
		view   View
		ok     bool
		left   int
		sealed bool
	}{
		{"still cut off", loss, view(all[2:]...), false, 1, false},
		{"both dead", loss, view(all[2:]...).with(func(v *View) { v.Gone = idents(all[:2]...) }), true, 1, true},
		{"one came back and copied", loss, view(all[2:]...).with(func(v *View) { v.Synced = idents(all[0]) }), true, 0, false},
		{"given up, one came back and copied", given, view(all[2:]...).with(func(v *View) { v.Synced = idents(all[0]) }), true, 0, true},
		{"given up, both are found dead", given, view(all[2:]...).with(func(v *View) { v.Gone = idents(all[:2]...) }), false, 1, true},
		{"over", sealed, view(all[2:]...), true, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			next, ok := config.Next(epoch, Ring{Revision: 8, Members: all[2:], Losses: []Loss{tc.loss}}, tc.view)
			c.Assert(ok, qt.Equals, tc.ok)
			if !ok {
				return
			}
			c.Assert(next.Losses, qt.HasLen, tc.left)
			if tc.left > 0 {
				c.Assert(!next.Losses[0].Sealed.IsZero(), qt.Equals, tc.sealed)
			}
		})
	}
}

// Two entries were given up; one comes back and copies under a joint ring, whose
// new list then changes. The copies are at replicas of the former new list only,
// so the loss must stay until copies reach a list that lasts.
func TestLossOutlivesAListThatIsDropped(t *testing.T) {
	all := fleet(6)
	loss := Loss{At: epoch, Members: all, Missing: idents(all[4:]...)}
	for _, tc := range []struct {
		name   string
		synced []Ident
		losses int
	}{
		{"new list changes", idents(all[4]), 1},
		{"old list goes", idents(all[0], all[1], all[2], all[3], all[4]), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			cur := Ring{Revision: 8, Members: all[1:], Old: all[:4], Losses: []Loss{loss}}
			v := view(all...).with(unseen(20*time.Second, 3)).with(func(v *View) { v.Synced = tc.synced })
			next, ok := config.Next(epoch, cur, v)
			c.Assert(ok, qt.IsTrue)
			c.Assert(next.Losses, qt.HasLen, tc.losses)
		})
	}
}

func TestLossesAreBounded(t *testing.T) {
	c := qt.New(t)
	var losses []Loss
	for i := range maxLosses + 1 {
		losses = append(losses, Loss{At: epoch.Add(time.Duration(i)), Sealed: epoch.Add(time.Duration(i)), Members: fleet(6), Missing: idents(fleet(i + 2)...)})
	}
	losses = bounded(losses)
	c.Assert(losses, qt.HasLen, maxLosses)
	c.Assert(losses[0].Covers("s", "any"), qt.IsTrue)
	c.Assert(losses[0].Sealed, qt.Equals, epoch.Add(1))
}

func uuidAt(at time.Time) string {
	ms := uint64(at.UnixMilli())
	const hex = "0123456789abcdef"
	digits := make([]byte, 12)
	for i := range digits {
		digits[i] = hex[ms>>(44-4*i)&15]
	}
	return string(digits[:8]) + "-" + string(digits[8:]) + "-7000-8000-000000000001"
}
