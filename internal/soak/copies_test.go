package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

// copies are responses that targets send again to the next request with the same ID on the connection.
var copies = []struct {
	name  string
	fault worker.Fault // of a part of the requests, all of which meet the copy
	copy  worker.Copy
	again float64 // share of the responses after which clients send the request again with its ID
}{
	{"503", worker.Fault{Shed: true}, worker.WholeCopy, 0},
	{"503 in two packets", worker.Fault{Shed: true}, worker.SplitCopy, 0},
	{"503 to an ID sent again", worker.Fault{Shed: true}, worker.WholeCopy, 0.5},
	{"429", worker.Fault{Shed: true, ShedStatus: "429 Too Many Requests"}, worker.WholeCopy, 0},
	{"500 to an ID sent again", worker.Fault{Fail: true}, worker.WholeCopy, 0.5},
	{"part of a response to an ID sent again", worker.Fault{}, worker.PartialCopy, 0.5},
}

const (
	// copyTime is how long targets send copies, in a test of one kind.
	copyTime = 1200 * time.Millisecond
	// refusedShare is the share of the requests that are refused, so that they come again.
	refusedShare = 0.3
)

// sharedSite is the profile of a site with few targets, each of which has three records.
func sharedSite() profile {
	p := smallSite()
	p.services[0].targets, p.services[0].records = 1, 2
	p.minServedShare = 0
	return p
}

// Targets send a response again ahead of that to a repeat with the same ID on the same connection.
// Guards against the response to an earlier dispatch that is taken for that to a later one.
func TestCopiesOfResponses(t *testing.T) {
	for _, tt := range copies {
		t.Run(tt.name, func(t *testing.T) {
			p := sharedSite()
			p.againShare = tt.again
			s := newSite(t, *firstSeed, p)
			for i, k := range s.targets {
				k.Fail(copyFault(rand.NewPCG(*firstSeed, uint64(i)), tt.fault, tt.copy))
			}
			clients := s.startClients()
			time.Sleep(copyTime)
			newChecker(s, clients.stop()).checkAttempts(t)
		})
	}
}

// checkAttempts checks the responses to all requests, and how often they ran.
func (c *checker) checkAttempts(t *testing.T) {
	for _, a := range c.attempts {
		c.checkResponse(a)
		c.checkRunsOnce(a)
		c.checkTargetCount(a)
	}
	c.checkDelivery()
	copies := 0
	for _, k := range c.site.targets {
		copies += k.Copies()
	}
	t.Logf("%d requests, %d served, %d runs, %d copies of responses", len(c.attempts), c.served, c.runCount, copies)
	c.finish(c.site.seed)
}

// copyFault injects a fault into a part of the requests, and makes targets send copies.
func copyFault(source rand.Source, f worker.Fault, kind worker.Copy) func(*http.Request) worker.Fault {
	picked := withProbability(source, refusedShare, f)
	return func(r *http.Request) worker.Fault {
		f := picked(r)
		f.Copy = kind
		return f
	}
}

// A new target has the address of one that is gone, whose record is still there, and sends its 421
// again when the request comes back under its own ID. Guards against a 421 for a request that runs.
func TestCopiesOnReusedAddress(t *testing.T) {
	p := smallSite()
	p.services[0].targets, p.minServedShare = 1, 0
	s := newSite(t, *firstSeed, p)
	for _, k := range s.targets {
		k.Fail(func(*http.Request) worker.Fault { return worker.Fault{Copy: worker.WholeCopy} })
	}
	clients := s.startClients()
	const rounds, period = 40, 50 * time.Millisecond
	for n := range rounds {
		s.writeStaleRecord(s.targets[0], n)
		time.Sleep(period)
	}
	newChecker(s, clients.stop()).checkAttempts(t)
}

func staleName(k *target, n int) string { return fmt.Sprintf("%s-stale-%d", k.ID, n) }

// removeStaleRecord removes the n-th record that writeStaleRecord wrote.
func (s *site) removeStaleRecord(k *target, n int) { s.store.Delete("servers", staleName(k, n)) }

// staleRecords is how many records of targets that are gone have the address of a target.
const staleRecords = 10

// writeStaleRecord writes the n-th record of a target that is gone, whose address another one has now,
// and removes an earlier one.
func (s *site) writeStaleRecord(k *target, n int) {
	s.removeStaleRecord(k, n-staleRecords)
	s.store.PutTarget(objects.Target{
		ID: staleName(k, n), Address: k.address(), Service: k.service.name, Place: k.place, Slots: k.service.slots,
	})
}
