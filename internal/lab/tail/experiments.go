package tail

import (
	"fmt"
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/pool"
)

// experiment describes one table.
type experiment struct {
	name          string
	description   string
	rows          func(requests int) []row
	hiddenColumns []string // columns without meaning in this experiment
}

func (x experiment) columns() (cols []column) {
	for _, c := range columns {
		if !slices.Contains(x.hiddenColumns, c.name) {
			cols = append(cols, c)
		}
	}
	return cols
}

// showsGapClosed reports whether the rows are compared with the omniscient queue.
func (x experiment) showsGapClosed() bool { return !slices.Contains(x.hiddenColumns, "gap closed %") }

// Names of ways in the tables. The first two are the ends of the gap that
// computeGapClosed measures.
const (
	wayOmniscient = "omniscient queue"
	wayTwoChoices = "two choices x14"
	wayPlumpitch  = "plumpitch"
)

const (
	defaultOwners  = 1     // preferred entries of a resolve response
	probeTimeShare = 0.005 // share of the time of all slots that probes may take
)

var experiments = []experiment{
	{"tail", "Policy by load, no faults.", tailRows, []string{"p99 of writes ms", "writes refused %", "used again ms", "failed %", "worst 100 ms", "goodput %", "lost tries", "last new work ms"}},
	{"owners", "Where a service's requests meet: k entries, used alike or the first preferred.", ownersRows, []string{"p99 of writes ms", "writes refused %", "used again ms", "failed %", "worst 100 ms", "goodput %", "lost tries", "last new work ms"}},
	{"straggler", "One worker 10 times slower, unannounced: all the time, or from a third to two thirds of the run; one that stalls for 300 ms every second.", stragglerRows, []string{"p99 of writes ms", "writes refused %", "failed %", "worst 100 ms", "goodput %", "lost tries", "last new work ms"}},
	{"swing", "Load that swings 10 times within a moment.", swingRows, []string{"p99 of writes ms", "writes refused %", "used again ms", "failed %", "lost tries", "last new work ms"}},
	{"probes", "The cost of measuring.", probesRows, []string{"gap closed %", "p99 of writes ms", "writes refused %", "used again ms", "failed %", "last new work ms"}},
	{"drain", "A target leaves a third into the run, told in one way only; or crashes and comes back cold.", drainRows, []string{"gap closed %", "p99 of writes ms", "writes refused %", "worst 100 ms", "goodput %"}},
	{"retry", "Overload and targets that fail fast.", retryRows, []string{"gap closed %", "used again ms", "worst 100 ms", "last new work ms"}},
}

// baseScenario returns a scenario without policy and faults.
func baseScenario(s Shape, load float64, requests int) scenario {
	return scenario{shape: s, load: load, requests: requests, deadline: time.Second, retries: true, listDelay: 30 * time.Second}
}

// withPlumpitch returns the scenario with the policy, the owners and the probe
// budget that Plumpitch uses.
func (s scenario) withPlumpitch() scenario {
	s.policy, s.owners, s.probeShare = pool.NameFreeSlot, defaultOwners, probeTimeShare
	return s
}

func (s scenario) withPolicy(policy string) scenario {
	s.policy = policy
	return s
}

// baselineRows returns the rows of a group that Plumpitch is compared with. The ways
// that end in x14 use all 14 entries.
func baselineRows(group string, sc scenario) []row {
	return []row{
		{group: group, way: wayOmniscient, sc: sc.withPolicy(policyOmniscient)},
		{group: group, way: "round robin x14", sc: sc.withPolicy(pool.NameRoundRobin)},
		{group: group, way: "random x14", sc: sc.withPolicy(pool.NameRandom)},
		{group: group, way: wayTwoChoices, sc: sc.withPolicy(pool.NameTwoChoices)},
		{group: group, way: "least in flight x14", sc: sc.withPolicy(pool.NameLeastInFlight)},
	}
}

func tailRows(requests int) (rows []row) {
	for _, s := range []Shape{gownCatalogue, paydesk, shiftboard} {
		for _, load := range []float64{0.5, 0.7, 0.85, 0.95} {
			group := fmt.Sprintf("%s %.0f %%", s.Name, 100*load)
			sc := baseScenario(s, load, requests)
			rows = append(rows, baselineRows(group, sc)...)
			rows = append(rows, row{group: group, way: wayPlumpitch, sc: sc.withPlumpitch()})
		}
	}
	return rows
}

func ownersRows(requests int) (rows []row) {
	for _, s := range []Shape{gownCatalogue, paydesk} {
		for _, load := range []float64{0.7, 0.85, 0.95} {
			group := fmt.Sprintf("%s %.0f %%", s.Name, 100*load)
			sc := baseScenario(s, load, requests)
			rows = append(rows, row{group: group, way: wayOmniscient, sc: sc.withPolicy(policyOmniscient)},
				row{group: group, way: wayTwoChoices, sc: sc.withPolicy(pool.NameTwoChoices)})
			rows = append(rows, ownerWays(group, sc)...)
		}
	}
	return rows
}

// ownerWays returns the rows with different numbers of preferred entries, k.
func ownerWays(group string, sc scenario) (rows []row) {
	add := func(way string, change func(*scenario)) {
		own := sc.withPlumpitch()
		change(&own)
		rows = append(rows, row{group: group, way: way, sc: own})
	}
	add("k=1", func(*scenario) {})
	add("least in flight k=1", func(s *scenario) { s.policy = pool.NameLeastInFlight })
	add("k=1, 5 % astray", func(s *scenario) { s.strayShare = 0.05 })
	add("k=2 alike", func(s *scenario) { s.owners, s.evenOwners = 2, true })
	add("k=2 alike, no reports", func(s *scenario) { s.owners, s.evenOwners, s.noReports = 2, true, true })
	add("k=2 alike, reports mislead", func(s *scenario) { s.owners, s.evenOwners, s.zeroReports = 2, true, true })
	add("k=3 alike", func(s *scenario) { s.owners, s.evenOwners = 3, true })
	add("k=14", func(s *scenario) { s.owners = 0 })
	return rows
}

func stragglerRows(requests int) (rows []row) {
	s := gownCatalogue
	for _, load := range []float64{0.7, 0.85} {
		sc := baseScenario(s, load, requests)
		length := time.Duration(sc.expectedSeconds() * float64(time.Second))
		cases := []struct {
			name   string
			faults []fault
		}{
			{"slow all the time", []fault{{kind: faultSlow, worker: 3, from: 0, to: 10 * length, factor: 10}}},
			{"slow mid-run", []fault{{kind: faultSlow, worker: 3, from: length / 3, to: 2 * length / 3, factor: 10}}},
			{"stalls", periodicStalls(length)},
		}
		for _, c := range cases {
			group := fmt.Sprintf("%s %.0f %%", c.name, 100*load)
			sc.faults = c.faults
			rows = append(rows, baselineRows(group, sc)...)
			rows = append(rows, row{group: group, way: wayPlumpitch, sc: sc.withPlumpitch()})
		}
	}
	return rows
}

// periodicStalls returns a stall of 300 ms for each second, each at another worker
// than the one before.
func periodicStalls(length time.Duration) (faults []fault) {
	for i, at := 0, time.Second; at < length; i, at = i+1, at+time.Second {
		faults = append(faults, fault{kind: faultStall, worker: i * 5 % 14, from: at, to: at + 300*time.Millisecond})
	}
	return faults
}

func swingRows(requests int) (rows []row) {
	for _, s := range []Shape{gownCatalogue, paydesk} {
		for _, period := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond} {
			group := fmt.Sprintf("%s, 9 to 90 %% each %v", s.Name, period/2)
			sc := baseScenario(s, 0.9, requests)
			sc.swingFactor, sc.swingPeriod = 10, period
			rows = append(rows, baselineRows(group, sc)...)
			rows = append(rows, row{group: group, way: wayPlumpitch, sc: sc.withPlumpitch()})
		}
	}
	return rows
}

func probesRows(requests int) (rows []row) {
	for _, s := range []Shape{gownCatalogue, paydesk, shiftboard} {
		for _, load := range []float64{0.7, 0.85} {
			sc := baseScenario(s, load, requests)
			length := time.Duration(sc.expectedSeconds() * float64(time.Second))
			for _, faulty := range []bool{false, true} {
				group := fmt.Sprintf("%s %.0f %%", s.Name, 100*load)
				if faulty {
					group += ", straggler and crash"
					sc.faults = []fault{
						{kind: faultSlow, worker: 3, from: length / 3, to: 2 * length / 3, factor: 10},
						{kind: faultCrash, worker: 1, from: length / 2, to: length * 2 / 3},
					}
				}
				rows = append(rows, probeWays(group, sc)...)
			}
		}
	}
	return append(rows, lowRateRows(requests)...)
}

// lowRateRows returns rows with so few requests that a target gets none for
// seconds, and with one target that is down half of the time.
func lowRateRows(requests int) []row {
	sc := baseScenario(paydesk, 0.002, requests/10)
	length := time.Duration(sc.expectedSeconds() * float64(time.Second))
	for at := time.Duration(0); at < length; at += 20 * time.Second {
		sc.faults = append(sc.faults, fault{kind: faultCrash, worker: 1, from: at, to: at + 10*time.Second})
	}
	return probeWays("paydesk 0.2 %, one target gone each other 10 s", sc)
}

// probeWays returns the rows with a probe budget, without probes and with a fixed
// probe interval.
func probeWays(group string, sc scenario) []row {
	own, none, fixed := sc.withPlumpitch(), sc.withPlumpitch(), sc.withPolicy(pool.NameTwoChoices)
	none.probeShare = 0
	fixed.probeInterval = time.Second
	return []row{
		{group: group, way: wayPlumpitch, sc: own},
		{group: group, way: "plumpitch, budget zero", sc: none},
		{group: group, way: "two choices x14, each target each second", sc: fixed},
	}
}

func drainRows(requests int) (rows []row) {
	for _, load := range []float64{0.7} {
		sc := baseScenario(gownCatalogue, load, requests)
		length := time.Duration(sc.expectedSeconds() * float64(time.Second))
		cases := []struct {
			name string
			kind faultKind
			lag  time.Duration
		}{
			{"own word", faultDrainReported, 30 * time.Second},
			{"refusals only", faultDrainShed, 30 * time.Second},
			{"list only, 1 s late", faultDrainListed, time.Second},
			{"crash", faultCrash, 30 * time.Second},
			{"restart, cold", faultRestart, 30 * time.Second},
			{"fails fast", faultFailFast, 30 * time.Second},
		}
		for _, c := range cases {
			sc.faults = []fault{{kind: c.kind, worker: 3, from: length / 3, to: 2 * length / 3}}
			sc.listDelay = c.lag
			if c.kind <= faultDrainListed && c.kind >= faultDrainReported {
				sc.faults[0].to = 10 * length
			}
			group := fmt.Sprintf("%s %.0f %%", c.name, 100*load)
			rows = append(rows, row{group: group, way: wayTwoChoices, sc: sc.withPolicy(pool.NameTwoChoices)},
				row{group: group, way: "least in flight x14", sc: sc.withPolicy(pool.NameLeastInFlight)},
				row{group: group, way: wayPlumpitch, sc: sc.withPlumpitch()})
		}
	}
	return rows
}

func retryRows(requests int) (rows []row) {
	for _, load := range []float64{0.95, 1, 2} {
		group := fmt.Sprintf("gown-catalogue %.0f %%, a tenth writes", 100*load)
		sc := baseScenario(gownCatalogue, load, requests)
		sc.writeShare = 0.1
		rows = append(rows, row{group: group, way: wayTwoChoices, sc: sc.withPolicy(pool.NameTwoChoices)},
			row{group: group, way: "least in flight x14", sc: sc.withPolicy(pool.NameLeastInFlight)},
			row{group: group, way: wayPlumpitch, sc: sc.withPlumpitch()})
	}
	sc := baseScenario(gownCatalogue, 0.7, requests)
	for i := range gownCatalogue.Workers {
		sc.faults = append(sc.faults, fault{kind: faultFailFast, worker: i, from: time.Second, to: time.Hour})
	}
	rows = append(rows, row{group: "all fail", way: wayPlumpitch, sc: sc.withPlumpitch()})
	sc.faults = nil
	for i := range gownCatalogue.Workers {
		sc.faults = append(sc.faults, fault{kind: faultCrash, worker: i, from: time.Second, to: time.Hour})
	}
	return append(rows, row{group: "all dead", way: wayPlumpitch, sc: sc.withPlumpitch()})
}
