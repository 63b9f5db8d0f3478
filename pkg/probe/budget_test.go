package probe_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/probe"
)

const (
	ms      = time.Millisecond
	window  = 100 * ms
	settle  = 300 * ms
	runTime = 3 * time.Second
)

var start = time.Unix(1000, 0)

// event is a change at one entry at a point in real time.
type event struct {
	at    time.Duration
	entry int
	share *probe.Share
	step  time.Duration // of the entry's clock
}

func share(rank, of int) *probe.Share { return &probe.Share{Rank: rank, Count: of} }

// demand returns the number of probes that an entry wants at a point in time.
type demand func(at time.Duration) int

func steadyDemand(time.Duration) int { return 1 }

// burstDemand rises to ten times its level for 5 ms.
func burstDemand(at time.Duration) int {
	if at%(200*ms) < 5*ms {
		return 10
	}
	return 1
}

func sparseDemand(at time.Duration) int {
	if at%(50*ms) == 0 {
		return 10
	}
	return 0
}

// Entries want far more probes than the budget allows, just when the load rises or no
// target responds. Shares move between entries that learn of it at different times, and
// clocks step. In no window may the time that targets spend on probes exceed the budget.
func TestBudget(t *testing.T) {
	tests := []struct {
		name    string
		budget  time.Duration // per window, for all entries
		cost    time.Duration
		want    demand
		events  []event
		atLeast int // total number of probes, so that the budget is of use
	}{
		{"one entry, cheap probes", 14 * ms, ms, steadyDemand, []event{{0, 0, share(0, 1), 0}}, 150},
		{"load up ten times in 5 ms", 14 * ms, ms, burstDemand, []event{{0, 0, share(0, 1), 0}}, 150},
		{"asked every 50 ms only", 14 * ms, ms, sparseDemand, []event{{0, 0, share(0, 1), 0}}, 120},
		{"slow probes", 14 * ms, 6 * ms, steadyDemand, []event{{0, 0, share(0, 1), 0}}, 20},
		{"one probe a window", 6 * ms, 6 * ms, steadyDemand, []event{{0, 0, share(0, 1), 0}}, 10},
		{"budget below one probe", 5 * ms, 6 * ms, steadyDemand, []event{{0, 0, share(0, 1), 0}}, 0},
		{"all targets silent, three entries", 14 * ms, ms, steadyDemand, []event{
			{0, 0, share(0, 3), 0}, {0, 1, share(1, 3), 0}, {0, 2, share(2, 3), 0},
		}, 150},
		{"one probe for two entries", 6 * ms, 6 * ms, steadyDemand, []event{
			{0, 0, share(0, 2), 0}, {0, 1, share(1, 2), 0},
		}, 10},
		{"no share", 14 * ms, ms, steadyDemand, nil, 0},
		{"share out of range", 14 * ms, ms, steadyDemand, []event{{0, 0, share(2, 2), 0}, {0, 1, share(-1, 2), 0}, {0, 2, share(0, 0), 0}}, 0},
		{"owner lost, seen at different times", 14 * ms, ms, steadyDemand, []event{
			{0, 0, share(0, 2), 0},
			{0, 1, share(1, 2), 0},
			{1000 * ms, 1, share(0, 1), 0},
			{1290 * ms, 0, &probe.Share{}, 0},
		}, 100},
		{"the only probe moves", 6 * ms, 6 * ms, steadyDemand, []event{
			{0, 0, share(0, 2), 0},
			{0, 1, share(1, 2), 0},
			{1000 * ms, 1, share(0, 2), 0},
			{1290 * ms, 0, share(1, 2), 0},
		}, 8},
		{"shares flap", 14 * ms, ms, steadyDemand, []event{
			{0, 0, share(0, 2), 0},
			{0, 1, share(1, 2), 0},
			{1000 * ms, 0, share(0, 1), 0},
			{1050 * ms, 0, share(0, 2), 0},
			{1100 * ms, 0, share(0, 1), 0},
			{1150 * ms, 0, share(0, 2), 0},
		}, 100},
		{"clock steps ahead an hour", 14 * ms, ms, steadyDemand, []event{
			{0, 0, share(0, 1), 0}, {1010 * ms, 0, nil, time.Hour},
		}, 150},
		{"clock steps ahead by less than a window", 14 * ms, ms, steadyDemand, []event{
			{0, 0, share(0, 1), 0}, {1010 * ms, 0, nil, 99 * ms}, {1500 * ms, 0, nil, 99 * ms},
		}, 150},
		{"the same with slow probes", 18 * ms, 6 * ms, steadyDemand, []event{
			{0, 0, share(0, 1), 0}, {1009 * ms, 0, nil, 99 * ms}, {1503 * ms, 0, nil, 95 * ms},
		}, 20},
		{"clock steps back an hour", 14 * ms, ms, steadyDemand, []event{
			{0, 0, share(0, 1), 0}, {1010 * ms, 0, nil, -time.Hour},
		}, 150},
		{"clock steps back and ahead again", 14 * ms, ms, burstDemand, []event{
			{0, 0, share(0, 1), 0}, {1010 * ms, 0, nil, -time.Hour}, {1012 * ms, 0, nil, time.Hour},
		}, 150},
		{"clock steps while shares change", 14 * ms, ms, steadyDemand, []event{
			{0, 0, share(0, 2), 0},
			{0, 1, share(1, 2), 0},
			{1000 * ms, 1, share(0, 1), 0},
			{1001 * ms, 1, nil, time.Hour},
			{1290 * ms, 0, &probe.Share{}, 0},
		}, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cfg := probe.Config{Window: window, Budget: test.budget, Cost: test.cost, SettleTime: settle}
			sent := sentProbes(cfg, test.want, test.events)
			c.Check(maxProbeTime(sent, test.cost) <= test.budget, qt.IsTrue, qt.Commentf("worst window: %v", maxProbeTime(sent, test.cost)))
			c.Check(len(sent) >= test.atLeast, qt.IsTrue, qt.Commentf("sent %d", len(sent)))
		})
	}
}

// sentProbes returns the real times at which three entries sent probes.
func sentProbes(cfg probe.Config, want demand, events []event) (sent []time.Duration) {
	entries := make([]*probe.Budget, 3)
	steps := make([]time.Duration, len(entries))
	for i := range entries {
		entries[i] = probe.New(cfg)
	}
	for at := time.Duration(0); at < runTime; at += ms {
		for _, u := range events {
			if u.at != at {
				continue
			}
			steps[u.entry] += u.step
			if u.share != nil {
				entries[u.entry].SetShare(start.Add(at+steps[u.entry]), *u.share)
			}
		}
		for i, b := range entries {
			for range want(at) {
				if b.Take(start.Add(at + steps[i])) {
					sent = append(sent, at)
				}
			}
		}
	}
	slices.Sort(sent)
	return sent
}

// maxProbeTime returns the most target time in any window; each probe takes its whole cost.
func maxProbeTime(sent []time.Duration, cost time.Duration) (most time.Duration) {
	for _, first := range sent {
		for _, from := range []time.Duration{first, first + cost - window} {
			most = max(most, probeTimeIn(sent, cost, from))
		}
	}
	return most
}

func probeTimeIn(sent []time.Duration, cost, from time.Duration) (sum time.Duration) {
	for _, at := range sent {
		sum += max(min(at+cost, from+window)-max(at, from), 0)
	}
	return sum
}

func TestRemaining(t *testing.T) {
	c := qt.New(t)
	b := probe.New(probe.Config{Window: window, Budget: 2 * ms, Cost: ms})
	c.Assert(b.Remaining(start), qt.Equals, 0)
	c.Assert(b.Active(), qt.IsFalse)
	b.SetShare(start, probe.Share{Count: 1})
	c.Assert(b.Active(), qt.IsTrue)
	for i := range 5 {
		b.Remaining(start.Add(time.Duration(i) * 50 * ms))
	}
	c.Assert(b.Remaining(start.Add(250*ms)), qt.Equals, 2)
	c.Assert(b.Take(start.Add(250*ms)), qt.IsTrue)
	c.Assert(b.Remaining(start.Add(250*ms)), qt.Equals, 1)
}
