package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// strays are what targets send that belongs to no request, where the response to a request is
// expected.
var strays = []struct {
	name  string
	bytes func(id string) string // id is that of the request just read
}{
	{"refuses without an ID", func(string) string { return worker.StrayRefusal() }},
	{"refuses with two IDs", func(id string) string { return worker.StrayRefusal(id, "another") }},
	{"refuses another request", func(string) string { return worker.StrayRefusal("another") }},
	{"redirects without an ID", func(string) string { return worker.StrayMisdirected() }},
	{"succeeds without an ID", func(string) string { return worker.StraySuccess() }},
	{"succeeds with two IDs", func(id string) string { return worker.StraySuccess(id, "another") }},
	{"fails without an ID", func(string) string { return worker.StrayFailure() }},
	{"sends no response", func(string) string { return "no response\r\n\r\n" }},
	{"begins a refusal", func(string) string { return worker.StrayBeginning() }},
	{"begins a success", func(string) string { return worker.StraySuccessBeginning() }},
	{"reports to nobody", func(string) string { return worker.StrayReport() }},
	{"answers a health check", func(string) string { return worker.StrayHealth("i-0") }},
}

// endless are bytes without end that targets send in place of a response.
var endless = []struct {
	name  string
	fault worker.Fault
}{
	{"sends a status line without end", worker.Fault{Endless: worker.EndlessStatusLine}},
	{"sends a header without end", worker.Fault{Endless: worker.EndlessHeader}},
	{"sends interim responses without end", worker.Fault{Endless: worker.EndlessInterim}},
	{"sends a body without end", worker.Fault{Endless: worker.EndlessBody}},
	{"refuses without end", worker.Fault{Shed: true, Endless: worker.EndlessRefusal}},
	{"refuses and breaks off", worker.Fault{Shed: true, Cut: true}},
	{"refuses and stays silent", worker.Fault{Shed: true, NoResponse: true}},
}

const (
	// strayShare is the share of the requests that meet stray bytes, and strayTime for how long.
	strayShare = 0.1
	strayTime  = 2 * time.Second
	// maxGatewayMemory is the memory of a gateway, of the users' pages, in bytes.
	maxGatewayMemory = 284 << 20
)

// TestSoakOfStrays guards against requests that are refused, or sent again, for bytes that belong to no request,
// and against gateways whose memory bytes without end fill.
func TestSoakOfStrays(t *testing.T) {
	for _, tt := range strays {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, *firstSeed, smallSite())
			for i, k := range s.targets {
				k.Fail(strayFault(rand.NewPCG(*firstSeed, uint64(i)), strayShare, tt.bytes))
			}
			clients := s.startClients()
			time.Sleep(strayTime)
			c := newChecker(s, clients.stop())
			for _, a := range c.attempts {
				c.checkResponse(a)
				c.checkRunsOnce(a)
			}
			c.checkMemory()
			t.Logf("%d requests, %d served, %d runs", len(c.attempts), c.served, c.runCount)
			for _, v := range c.violations {
				t.Error(v)
			}
			if t.Failed() {
				s.report()
			}
		})
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			p := smallSite()
			p.faults = append(slices.Clone(p.faults), fault{30, sendStrays}, fault{8, sendEndless})
			p.boundsMemory = true
			runSeed(t, seed, p, *faultTime)
		})
	}
}

// strayFault sends bytes that belong to no request ahead of a share of the responses, to health
// checks too.
func strayFault(source rand.Source, share float64, bytes func(id string) string) func(*http.Request) worker.Fault {
	picked := withProbability(source, share, worker.Fault{Shed: true})
	return func(r *http.Request) worker.Fault {
		if !picked(r).Shed {
			return worker.Fault{}
		}
		return worker.Fault{Stray: bytes(r.Header.Get("Plumpitch-Request-Id"))}
	}
}

// sendStrays makes all sound targets send bytes that belong to no request.
func sendStrays(s *site, rnd *rand.Rand) (string, func()) {
	list := s.targetsWhere(func(k *target) bool { return k.leavingSince.IsZero() && k.leavingRecordedAt.IsZero() && !k.crashed })
	kind, share := strays[rnd.IntN(len(strays))], 0.02+0.2*rnd.Float64()
	for _, k := range list {
		k.Fail(strayFault(rand.NewPCG(rnd.Uint64(), 5), share, kind.bytes))
	}
	return fmt.Sprintf("each target %s, %.2f of requests and checks", kind.name, share), func() {
		for _, k := range list {
			k.Fail(nil)
		}
	}
}

// sendEndless makes a target send bytes without end, or refusals without their body.
func sendEndless(s *site, rnd *rand.Rand) (string, func()) {
	k := s.pickTarget(rnd)
	if k == nil {
		return "", nil
	}
	kind, share := endless[rnd.IntN(len(endless))], 0.1+0.9*rnd.Float64()
	k.Fail(withProbability(rand.NewPCG(rnd.Uint64(), 6), share, kind.fault))
	return fmt.Sprintf("%s %s, %.2f of requests and checks", k.ID, kind.name, share), func() { k.Fail(nil) }
}

// checkMemory checks that no running gateway has used more memory than it has on the users' machines.
func (c *checker) checkMemory() {
	for _, g := range c.site.gateways {
		if peak := g.peakMemory(); peak > maxGatewayMemory {
			c.addViolation("%s used %d MB of memory, it has %d", g.name, peak>>20, maxGatewayMemory>>20)
		} else {
			c.peaks.memory = max(c.peaks.memory, peak>>20)
		}
	}
}

// peakMemory returns the most memory that the running process has used, in bytes; 0 if that can't be read.
func (g *gateway) peakMemory() (peak int64) {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &peak); err == nil {
			return peak << 10
		}
	}
	return 0
}
