package soak

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

var (
	endFlag       = flag.String("end", "", "run TestPoisonByTargetEnd only for this way in which targets end")
	soundBefore   = flag.Bool("sound", false, "with -end or -full: targets answer the request of TestPoisonByTargetEnd before it begins to crash them")
	poisonCallers = flag.Int("callers", 40, "number of addresses from which a request that crashes targets comes")
)

// targetEnd is how a target ends, as its peers see it.
type targetEnd uint8

const (
	endRefusing  targetEnd = iota // resets open connections and refuses new ones
	endClosing                    // closes open connections without a reset, and refuses new ones
	endAccepting                  // its port still accepts connections, and closes them
	endResetting                  // its port still accepts connections, and resets them
	endMute                       // its port still accepts connections, and sends nothing
	endDark                       // open and new connections carry nothing
	endLingering                  // resets open connections, and answers health checks for a moment
	endReborn                     // another target replaces it at once at its address
	endRestarted                  // it restarts at once at its address, under its ID
)

var targetEnds = []struct {
	name string
	end  targetEnd
}{
	{"refusing", endRefusing},
	{"closing", endClosing},
	{"accepting", endAccepting},
	{"resetting", endResetting},
	{"mute", endMute},
	{"dark", endDark},
	{"lingering", endLingering},
	{"reborn", endReborn},
	{"restarted", endRestarted},
}

// unprovenEnds are the ways that don't show at the target's address that it has ended.
var unprovenEnds = []targetEnd{endAccepting, endResetting, endMute, endDark, endLingering, endRestarted}

const (
	poisonInterval = 300 * time.Millisecond
	// endSettleTime is how long after the last crash the site serves its clients again.
	endSettleTime = 3 * time.Second
	// minEndShare bounds the share of the requests that are served then.
	minEndShare = 0.9
)

// isPoison reports whether requests for a path crash the targets that run them.
func isPoison(path string) bool { return strings.Contains(path, poison) }

// crashes reports whether a request for a path crashes a target that starts to run it at a time.
func (s *site) crashes(path string, at time.Time) bool {
	return isPoison(path) && at.UnixNano() >= s.soundUntil.Load()
}

// callersFrom returns a client for each of n loopback addresses.
func (s *site) callersFrom(n int) (clients []*http.Client) {
	for i := range n {
		local := &net.TCPAddr{IP: net.IPv4(127, 0, byte(1+i/200), byte(1+i%200))}
		c := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{LocalAddr: local}).DialContext, DisableKeepAlives: true}}
		s.t.Cleanup(c.CloseIdleConnections)
		clients = append(clients, c)
	}
	return clients
}

// sendFromMany sends a request for a path for the duration d, through one gateway after the other.
func (s *site) sendFromMany(k requestKind, path string, interval, d time.Duration) {
	callers := s.callersFrom(*poisonCallers)
	for i, until := 0, time.Now().Add(d); time.Now().Before(until); i++ {
		go s.load.send(callers[i%len(callers)], s.gateways[i%len(s.gateways)], k, path)
		time.Sleep(interval)
	}
}

// A request crashes each target that runs it and comes from many callers, while targets end in a
// way that doesn't refuse connections. Guards against crashes that are not noticed.
func TestPoisonByTargetEnd(t *testing.T) {
	if !*fullSize && *endFlag == "" {
		for _, sound := range []bool{false, true} {
			t.Run(fmt.Sprint("sound before ", sound), func(t *testing.T) { runPoisonByEnd(t, 0, sound, unprovenEnds) })
		}
		return
	}
	for _, tt := range targetEnds {
		if *endFlag != "" && *endFlag != tt.name {
			continue
		}
		for k, kind := range largeSite().kinds[:2] {
			t.Run(tt.name+"/"+kind.name, func(t *testing.T) { runPoisonByEnd(t, k, *soundBefore, []targetEnd{tt.end}) })
		}
	}
}

// runPoisonByEnd sends a request of a kind that crashes targets, which end in these ways in turn. With
// sound, they answer it before.
func runPoisonByEnd(t *testing.T, kind int, sound bool, ends []targetEnd) {
	p := largeSite()
	p.ends = ends
	s := newSite(t, *firstSeed, p)
	path := s.kinds[kind].prefix + poison
	if sound {
		s.soundUntil.Store(time.Now().Add(warmupTime).UnixNano())
	}
	s.startClients()
	if sound {
		s.sendFromMany(s.kinds[kind], path, poisonInterval, warmupTime)
	} else {
		time.Sleep(warmupTime)
	}
	s.sendFromMany(s.kinds[kind], path, poisonInterval, poisonTime)
	time.Sleep(endSettleTime)
	recovered := time.Now()
	time.Sleep(observationTime)
	c := newChecker(s, s.load.stop())
	c.checkPoison()
	c.checkServedSince(recovered)
	for _, sv := range s.services {
		c.checkRetryBudget(sv)
	}
	for _, a := range c.attempts {
		c.checkTargetCount(a)
	}
	c.logCrashes()
	c.finish(*firstSeed)
}

// lossTime is how long targets lose connections in TestPopularRequestsByTargetLoss.
const lossTime = 4 * time.Second

// All requests of a kind are the same, and all targets or all but one of each service lose their
// connections for a while and live on. Guards against popular requests that stay held.
func TestPopularRequestsByTargetLoss(t *testing.T) {
	losses := []struct {
		name string
		loss worker.Ending
	}{
		{"dark", worker.Dark},
		{"accepting", worker.Accepting},
		{"resetting", worker.Resetting},
		{"mute", worker.Mute},
	}
	if !*fullSize {
		losses = losses[:1]
	}
	for _, tt := range losses {
		for _, spared := range []int{0, 1} {
			t.Run(fmt.Sprint(tt.name, ", ", spared, " spared"), func(t *testing.T) { runPopularByLoss(t, tt.loss, spared) })
		}
	}
}

// runPopularByLoss makes all targets but so many of each service lose connections for lossTime.
func runPopularByLoss(t *testing.T, loss worker.Ending, spared int) {
	p := largeSite()
	p.pathCount = 1
	s := newSite(t, *firstSeed, p)
	s.startClients()
	time.Sleep(warmupTime)
	var lost []*target
	for _, sv := range s.services {
		lost = append(lost, s.runningTargets(sv.name)[spared:]...)
	}
	for _, k := range lost {
		k.End(loss)
	}
	time.Sleep(lossTime)
	for _, k := range lost {
		k.Resume()
	}
	time.Sleep(endSettleTime)
	recovered := time.Now()
	time.Sleep(observationTime)
	c := newChecker(s, s.load.stop())
	c.checkServedSince(recovered)
	c.finish(*firstSeed)
}

// checkServedSince checks that requests that crash nothing are served after a time.
func (c *checker) checkServedSince(from time.Time) {
	sent, served := 0, 0
	for _, a := range c.attempts {
		if a.sentAt.Before(from) || isPoison(a.path) {
			continue
		}
		sent++
		if a.status == http.StatusOK {
			served++
		}
	}
	c.site.t.Logf("%d of %d served at the end", served, sent)
	if float64(served) < minEndShare*float64(sent) {
		c.addViolation("%d of %d requests were served at the end", served, sent)
	}
}

// logCrashes logs when targets crashed, from the first one on.
func (c *checker) logCrashes() {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	text := ""
	for _, at := range c.site.crashTimes {
		text += fmt.Sprintf(" %.2f", at.Sub(c.site.crashTimes[0]).Seconds())
	}
	c.site.t.Logf("%d targets crashed, seconds after the first:%s", len(c.site.crashTimes), text)
}

const (
	// replacementDelay is the time from a crash until another target replaces the crashed one.
	replacementDelay = time.Second
	// recordDeletionDelay is the time from a crash until the target's record is deleted.
	recordDeletionDelay = 4500 * time.Millisecond
)

// crashTarget ends a target without a notice to the store, as a crash does.
func (s *site) crashTarget(k *target) {
	s.mu.Lock()
	before := k.crashed
	k.crashed = true
	s.mu.Unlock()
	if before {
		return
	}
	s.logf("%s crashes", k.ID)
	s.mu.Lock()
	end := s.nextEnd(len(s.crashTimes))
	s.crashTimes = append(s.crashTimes, time.Now())
	s.mu.Unlock()
	if end == endReborn || end == endRestarted {
		s.replaceAtOnce(k, end)
		return
	}
	k.crash(s, end)
	s.schedule(replacementDelay, func() { s.addTarget(k.service) })
	s.schedule(recordDeletionDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		k.recordDeleted = true
		s.store.Delete("servers", k.ID)
	})
}

// nextEnd returns how the n-th target that crashes ends.
func (p profile) nextEnd(n int) targetEnd {
	if len(p.ends) == 0 {
		return endRefusing
	}
	return p.ends[n%len(p.ends)]
}

// crash ends the process of a target.
func (k *target) crash(s *site, end targetEnd) {
	switch end {
	case endRefusing:
		k.Close()
		k.proxy.close()
	case endClosing:
		k.proxy.listener.Close()
		k.proxy.setMode(modeClose, 0)
		k.Close()
	case endAccepting:
		k.End(worker.Accepting)
		k.proxy.setMode(modeClose, 0)
	case endResetting:
		k.End(worker.Resetting)
		k.proxy.setMode(modeReset, 0)
	case endMute:
		k.proxy.resetConns()
		k.End(worker.Mute)
	case endDark:
		k.End(worker.Dark)
	case endLingering:
		k.proxy.resetConns()
		k.End(worker.Lingering)
		s.schedule(worker.LingerTime, k.proxy.close)
	}
}

// replaceAtOnce starts another target at the address of one that has crashed, or the same one
// again.
func (s *site) replaceAtOnce(k *target, end targetEnd) {
	s.mu.Lock()
	id, started := k.ID, time.Now().UnixMilli()
	if end == endReborn {
		id = fmt.Sprintf("i-%d", s.startedTargets)
		s.startedTargets++
	}
	w, err := worker.Start(id)
	s.q.Check(err, qt.IsNil)
	next := &target{Worker: w, service: k.service, place: k.place, proxy: k.proxy, startedMillis: started}
	s.register(next)
	if end == endReborn {
		s.store.Delete("servers", k.ID)
	}
	k.recordDeleted = true
	s.mu.Unlock()
	k.proxy.setBackend(w.Address())
	k.proxy.resetConns()
	k.Close()
}
