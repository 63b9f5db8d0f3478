package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// nesting is the depth of nested records, at which encoding/json gives up.
const nesting = 10_000

// oddRecords are records of kind "servers" that no target may be made of, or a field of which is no
// such value.
var oddRecords = []struct {
	name string
	spec string // with the field of a sound record, if it begins with a quote
}{
	{"nested record", nested()},
	{"nested field", `"note": ` + nested()},
	{"number too large", `"born": 1e400`},
	{"port too large", `"address": "127.0.0.1:99999"`},
	{"negative port", `"address": "127.0.0.1:-1"`},
	{"port that is no number", `"address": "127.0.0.1:http"`},
	{"port zero", `"address": "127.0.0.1:0"`},
}

func nested() string { return strings.Repeat("[", nesting) + strings.Repeat("]", nesting) }

// oddRecord returns the record number i of the list.
func oddRecord(sv service, place string, i int) string {
	r := oddRecords[i]
	if !strings.HasPrefix(r.spec, `"`) {
		return r.spec
	}
	// The odd field comes last, and counts.
	return fmt.Sprintf(
		`{"address": "127.0.0.1:1", "born": 1, "info": {"service": %q, "version": "v1", "zone": %q, "concurrency": 4}, "status": {"state": "ready", "sequence": 1, "warmupLeft": "0ms"}, %s}`,
		sv.name, place, r.spec)
}

// The users' bounds on a gateway that starts and a target that joins, on a calm site.
const (
	maxStartTime = 5 * time.Second
	maxJoinTime  = 4 * time.Second // configApply and 2 s
)

// Some records among the targets' are odd. Guards against gateways that never get ready, or serve no
// further target, because of a record that isn't their neighbour's.
func TestOddRecords(t *testing.T) {
	tests := []struct {
		name    string
		records []int // indices of oddRecords
	}{
		{"nested record", []int{0}},
		{"nested field", []int{1}},
		{"number too large", []int{2}},
		{"ports", []int{3, 4, 5, 6}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, *firstSeed, smallSite())
			clients := s.startClients()
			time.Sleep(time.Second)
			for _, i := range tt.records {
				s.store.PutText("servers", fmt.Sprintf("i-odd-%d", i), oddRecord(s.services[0], s.place(0), i))
			}
			s.checkStart()
			s.checkJoin()
			s.removeOtherRecords()
			newChecker(s, clients.stop()).checkAttempts(t)
		})
	}
}

// checkStart kills all gateways but the first, then all, starts them and checks that they get ready.
func (s *site) checkStart() {
	for _, list := range [][]*gateway{s.gateways[1:], s.gateways} {
		from := time.Now()
		for _, g := range list {
			g.kill()
		}
		for _, g := range list {
			g.start()
		}
		end := time.Now().Add(maxStartTime)
		for _, g := range list {
			for !g.serves() && time.Now().Before(end) {
				time.Sleep(10 * time.Millisecond)
			}
			if !g.serves() {
				s.t.Errorf("seed %d: %s, one of %d started at %s, isn't ready or knows no target after %v", s.seed, g.name, len(list), s.timeOffset(from), maxStartTime)
			}
			g.addDisturbance(from, time.Now())
		}
	}
}

// serves reports whether the gateway is ready and knows as many targets as there are.
func (g *gateway) serves() bool {
	st, ok := g.status()
	if !ok || !g.ready() {
		return false
	}
	n := 0
	for _, sv := range st.Services {
		n += len(sv.Targets)
	}
	return n >= len(g.site.targetsWhere(func(k *target) bool { return !k.recordDeleted }))
}

// checkJoin adds a target and checks that it gets requests.
func (s *site) checkJoin() {
	k := s.addTarget(s.services[0])
	for end := time.Now().Add(maxJoinTime); len(k.Runs()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Errorf("seed %d: %s joined at least %v ago and got no request", s.seed, k.ID, maxJoinTime)
			return
		}
	}
}

// writeOddRecords writes odd records among the targets'. Meanwhile a gateway is killed and started,
// and a target joins.
func writeOddRecords(s *site, rnd *rand.Rand) (string, func()) {
	g := s.acquireGateway(rnd)
	if g == nil {
		return "", nil
	}
	i := rnd.IntN(len(oddRecords))
	id := fmt.Sprintf("i-odd-%d", rnd.Uint32())
	s.store.PutText("servers", id, oddRecord(s.services[0], s.place(0), i))
	name := fmt.Sprintf("%s as %s, while %s is killed and a target joins", oddRecords[i].name, id, g.name)
	from := time.Now()
	g.kill()
	return name, func() {
		started := time.Now()
		g.start()
		k := s.addTarget(s.services[0])
		joined := time.Now()
		for end := joined.Add(maxStartTime); time.Now().Before(end) && !(g.serves() && len(k.Runs()) > 0); {
			time.Sleep(10 * time.Millisecond)
		}
		waited := time.Since(joined)
		ready, runs := g.serves(), len(k.Runs())
		s.store.Delete("servers", id)
		g.addDisturbance(from, time.Now())
		acquiredGateways.Delete(g)
		if _, badSettings := g.state(); badSettings {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.starts = append(s.starts, startBesideOddRecord{g, k, interval{started, time.Now()}, ready, runs, waited})
	}
}

// startBesideOddRecord is a gateway that started, and a target that joined, while an odd record was
// there.
type startBesideOddRecord struct {
	gateway *gateway
	target  *target
	interval
	ready  bool // in time
	runs   int  // at the target, in time
	waited time.Duration
}

// checkStarts checks that gateways that started beside odd records got ready, and that targets that
// joined got requests, where no other fault disturbed the store or links.
func (c *checker) checkStarts() {
	for _, s := range c.site.starts {
		if overlaps(c.site.disturbances, interval{s.from.Add(-settleTime), s.to}) {
			continue
		}
		if !s.ready {
			c.addViolation("%s, started at %s beside an odd record, isn't ready or knows too few targets after %v", s.gateway.name, c.site.timeOffset(s.from), s.waited)
		}
		if s.runs == 0 {
			c.addViolation("%s, which joined at %s beside an odd record, got no request in %v", s.target.ID, c.site.timeOffset(s.from), s.waited)
		}
	}
}
