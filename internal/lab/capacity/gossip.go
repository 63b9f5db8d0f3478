package capacity

import (
	"fmt"
	"io"
	"time"

	"plumpitch.example/plumpitch/internal/lab/fleet"
	"plumpitch.example/plumpitch/pkg/member"
)

// timeLimit bounds the virtual time to wait for a condition.
const timeLimit = 3 * time.Minute

// topology returns the numbers of failure domains and regions for a number of
// entries. Up to 14 entries they are those of the present deployment, with more
// entries those of the deployment to design for.
func topology(entries int) (places, regions int) {
	if entries <= 14 {
		return 3, 1
	}
	return 15, 4
}

// settledFleet starts a fleet, waits until all entries have the same view and
// runs it for another 30 s.
func settledFleet(m *messageSizes, entries int, seed uint64) *fleet.Fleet {
	places, regions := topology(entries)
	f := fleet.New(fleet.Config{
		Entries: entries, Places: places, Regions: regions,
		Seed: seed, HTTPOverhead: m.httpOverhead, SettingsBytes: m.settingsBytes,
	})
	f.BootAll()
	f.RunUntil(timeLimit, f.Converged)
	f.Run(30 * time.Second)
	return f
}

// traffic is the cost per entry since resetTraffic.
type traffic struct {
	meanBytes    float64       // mean of bytes in and out
	maxBytes     float64       // highest bytes in and out of any entry
	handlingTime time.Duration // mean time in decisions and codecs
	messages     float64       // mean of messages sent
}

func resetTraffic(f *fleet.Fleet) {
	for _, n := range f.Nodes {
		n.Traffic = fleet.Traffic{}
	}
}

// trafficPerEntry sums up the traffic since resetTraffic.
func trafficPerEntry(f *fleet.Fleet) (t traffic) {
	k := float64(len(f.Nodes))
	for _, n := range f.Nodes {
		b := float64(n.Traffic.BytesIn + n.Traffic.BytesOut)
		t.meanBytes += b / k
		t.maxBytes = max(t.maxBytes, b)
		t.messages += float64(n.Traffic.Messages) / k
		t.handlingTime += n.Traffic.HandlingTime
	}
	t.handlingTime /= time.Duration(len(f.Nodes))
	return t
}

// runQuiet measures the cost of membership without events.
func runQuiet(cfg Config, m *messageSizes, w io.Writer) error {
	count := &series{name: "messages sent, 1/s", digits: 2}
	mean := &series{name: "bytes in and out, B/s"}
	worst := &series{name: "the same, worst entry, B/s"}
	busy := &series{name: "decisions and codec, us/s", digits: 1}
	for _, n := range cfg.Entries {
		f := settledFleet(m, n, 1)
		resetTraffic(f)
		f.Run(cfg.QuietTime)
		t, secs := trafficPerEntry(f), cfg.QuietTime.Seconds()
		count.add(n, t.messages/secs)
		mean.add(n, t.meanBytes/secs)
		worst.add(n, t.maxBytes/secs)
		busy.add(n, float64(t.handlingTime.Microseconds())/secs)
	}
	fmt.Fprintf(w, "virtual time, %v of quiet, real codec, %d B of HTTP for each message; per entry\n\n", cfg.QuietTime, m.httpOverhead)
	writeTable(w, "entries", count, mean, worst, busy)
	return nil
}

// allSee returns a condition that holds when every entry sees each of the nodes
// in the state.
func allSee(f *fleet.Fleet, state member.State, of ...*fleet.Node) func() bool {
	return func() bool {
		return f.AllViews(func(_ *fleet.Node, v member.View) bool {
			for _, n := range of {
				e, ok := v.Find(n.Entry.ID.Name)
				if !ok || e.State != state {
					return false
				}
			}
			return true
		})
	}
}

// runNotice measures the time until every entry has received a change.
func runNotice(cfg Config, m *messageSizes, w io.Writer) error {
	one := &series{name: "an entry lost, s", digits: 2}
	place := &series{name: "a place lost, s", digits: 2}
	leave := &series{name: "an entry leaving, s", digits: 2}
	edit := &series{name: "an edit, s", digits: 2}
	restart := &series{name: "a restart, s", digits: 2}
	for _, n := range cfg.Entries {
		var times [5][]float64
		for seed := range uint64(cfg.Seeds) {
			for i, s := range propagationTimes(settledFleet(m, n, seed)) {
				times[i] = append(times[i], s)
			}
		}
		for i, s := range []*series{edit, leave, restart, one, place} {
			s.add(n, times[i]...)
		}
	}
	fmt.Fprintf(w, "virtual time, %d seeds; until the last entry knows; a lost entry gives no refusals\n\n", cfg.Seeds)
	writeTable(w, "entries", edit, leave, restart, one, place)
	return nil
}

// propagationTimes returns the seconds until every entry has received an edit, a
// leaving entry, a restart, a lost entry and a lost failure domain, in this order.
func propagationTimes(f *fleet.Fleet) (times [5]float64) {
	nodes := f.Nodes
	f.Handle(nodes[1], member.SetRevisions{Revisions: member.Revisions{Settings: 7}})
	times[0] = f.RunUntil(timeLimit, func() bool {
		return f.AllViews(func(n *fleet.Node, _ member.View) bool { return n.Revisions.Settings == 7 })
	}).Seconds()
	f.Handle(nodes[2], member.Leave{})
	times[1] = f.RunUntil(timeLimit, allSee(f, member.Leaving, nodes[2])).Seconds()
	f.Lose(nodes[3])
	f.Boot(nodes[3])
	times[2] = f.RunUntil(timeLimit, func() bool {
		return f.AllViews(func(_ *fleet.Node, v member.View) bool {
			e, _ := v.Find(nodes[3].Entry.ID.Name)
			return e.ID == nodes[3].Entry.ID && e.State == member.Alive
		})
	}).Seconds()
	f.Run(20 * time.Second)
	f.Lose(nodes[4])
	times[3] = f.RunUntil(timeLimit, allSee(f, member.Dead, nodes[4])).Seconds()
	f.Run(20 * time.Second)
	var lost []*fleet.Node
	for _, n := range nodes {
		if n.Entry.Place == "place-00" {
			f.Lose(n)
			lost = append(lost, n)
		}
	}
	times[4] = f.RunUntil(timeLimit, allSee(f, member.Dead, lost...)).Seconds()
	return times
}

// runEvents measures how many bytes each entry sends and receives because of one
// event: those in the eventWindow after it, minus those in a window without events.
// For the restart of all entries it prints the whole rate, without this subtraction.
func runEvents(cfg Config, m *messageSizes, w io.Writer) error {
	edit := &series{name: "an edit, B"}
	restart := &series{name: "a restart, B"}
	loss := &series{name: "an entry lost, B"}
	synced := &series{name: "all mark their claim records copied, B"}
	mass := &series{name: "all restarted: mean of 30 s, B/s"}
	worst := &series{name: "all restarted: worst entry, B/s"}
	for _, n := range cfg.Entries {
		f := settledFleet(m, n, 3)
		quiet := extraBytes(f, 0, func() {})
		edit.add(n, extraBytes(f, quiet, func() { f.Handle(f.Nodes[1], member.SetRevisions{Revisions: member.Revisions{Settings: 9}}) }))
		restart.add(n, extraBytes(f, quiet, func() { f.Lose(f.Nodes[3]); f.Boot(f.Nodes[3]) }))
		loss.add(n, extraBytes(f, quiet, func() { f.Lose(f.Nodes[4]) }))
		synced.add(n, extraBytes(f, quiet, func() { announceReady(f) }))
		resetTraffic(f)
		for _, n := range f.Nodes {
			f.Lose(n)
			f.Boot(n)
		}
		f.Run(eventWindow)
		mass.add(n, trafficPerEntry(f).meanBytes/eventWindow.Seconds())
		worst.add(n, trafficPerEntry(f).maxBytes/eventWindow.Seconds())
	}
	fmt.Fprintf(w, "virtual time; B in and out per entry beyond quiet over %v; an edit's answer holds %d B\n\n", eventWindow, m.settingsBytes)
	writeTable(w, "entries", edit, restart, loss, synced, mass, worst)
	return nil
}

// announceReady makes the entries announce, one after the other within a second,
// that callers may be sent to them.
func announceReady(f *fleet.Fleet) {
	for _, n := range f.Nodes {
		f.Handle(n, member.Ready{})
		f.Run(time.Second / time.Duration(len(f.Nodes)))
	}
}

// eventWindow is the time after an event in which its cost is counted.
const eventWindow = 30 * time.Second

// extraBytes returns the mean bytes per entry in the window after an event, minus
// quiet, the mean in a window without events.
func extraBytes(f *fleet.Fleet, quiet float64, event func()) float64 {
	resetTraffic(f)
	event()
	f.Run(eventWindow)
	return trafficPerEntry(f).meanBytes - quiet
}

// runPartition partitions one region from the others for cfg.PartitionTime, edits
// the settings, and ends the partition an eventWindow later. It measures the time
// until all entries have the edit and agree, and the traffic until then, but over an
// eventWindow at least.
func runPartition(cfg Config, m *messageSizes, w io.Writer) error {
	merged := &series{name: "agreement after the return, s", digits: 1}
	edit := &series{name: "newest settings after the return, s", digits: 1}
	mean := &series{name: "30 s after the return, B/s"}
	worst := &series{name: "the same, worst entry, B/s"}
	for _, n := range cfg.Entries {
		if _, regions := topology(n); regions < 2 {
			continue
		}
		f := settledFleet(m, n, 5)
		partitioned := func(n *fleet.Node) bool { return n.Entry.Region == "region-0" }
		f.Partition(func(a, b *fleet.Node) bool { return partitioned(a) != partitioned(b) })
		f.Run(cfg.PartitionTime)
		f.Handle(f.Nodes[1], member.SetRevisions{Revisions: member.Revisions{Settings: 11}})
		f.Run(eventWindow)
		resetTraffic(f)
		f.Partition(nil)
		start := f.Now()
		took := f.RunUntil(timeLimit, func() bool {
			return f.AllViews(func(n *fleet.Node, _ member.View) bool { return n.Revisions.Settings == 11 })
		})
		edit.add(n, took.Seconds())
		f.RunUntil(timeLimit, f.Converged)
		merged.add(n, f.Now().Sub(start).Seconds())
		f.Run(max(eventWindow-f.Now().Sub(start), 0))
		secs := f.Now().Sub(start).Seconds()
		mean.add(n, trafficPerEntry(f).meanBytes/secs)
		worst.add(n, trafficPerEntry(f).maxBytes/secs)
	}
	fmt.Fprintf(w, "virtual time; one of four regions apart for %v\n\n", cfg.PartitionTime)
	writeTable(w, "entries", edit, merged, mean, worst)
	return nil
}
