package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

const (
	maxUpload = 8 << 20 // bytes of the largest body
	// uploadTestTime is how long clients send bodies, in a test of one kind.
	uploadTestTime = 2 * time.Second
	// partOfBody is the largest part of a response that a target sends before it resets the connection.
	partOfBody = 60 << 10
)

// uploadSite is the profile of a site whose clients send bodies of 1 to 8 MiB.
func uploadSite() profile {
	p := smallSite()
	p.maxBodyBytes, p.minServedShare = maxUpload, 0
	p.services[0].direct = true
	for i := range p.kinds {
		p.kinds[i].uploadBytes = maxUpload
	}
	return p
}

// Targets respond without a length while they get a large body, and reset the connection. Guards
// against a part of a response that is taken for the whole because the writer is told of the reset.
func TestResetDuringUpload(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 10 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			s := newSite(t, *firstSeed, uploadSite())
			for i, k := range s.targets {
				k.Fail(earlyReset(rand.NewPCG(*firstSeed, uint64(i)), 1, after))
			}
			clients := s.startClients()
			time.Sleep(uploadTestTime)
			newChecker(s, clients.stop()).checkAttempts(t)
		})
	}
}

// earlyReset makes a target reset the connections of a share of its requests, whose responses are
// parts of any length.
func earlyReset(source rand.Source, share float64, after time.Duration) func(*http.Request) worker.Fault {
	var mu sync.Mutex
	rnd := rand.New(source)
	return func(r *http.Request) worker.Fault {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path == "/health" || rnd.Float64() >= share {
			return worker.Fault{}
		}
		return worker.Fault{EarlyReset: after, Length: 1 + rnd.IntN(partOfBody)}
	}
}

// heads are heads of responses that say less, or something else, than HTTP's rules let them.
var heads = []struct {
	name string
	head worker.Head
}{
	{"blank in Transfer-Encoding", worker.SpacedChunked},
	{"blank in Content-Length", worker.SpacedLength},
	{"status 600", worker.Status600},
	{"status 999", worker.Status999},
}

// Targets respond with heads that are invalid. Guards against a response that is passed on though its
// body isn't framed as its head says, or its status is none.
func TestInvalidHeads(t *testing.T) {
	for _, tt := range heads {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, *firstSeed, smallSite())
			for i, k := range s.targets {
				k.Fail(withProbability(rand.NewPCG(*firstSeed, uint64(i)), strayShare, worker.Fault{Head: tt.head}))
			}
			clients := s.startClients()
			time.Sleep(copyTime)
			newChecker(s, clients.stop()).checkAttempts(t)
		})
	}
}

// resetUploads makes the targets that get large bodies reset connections.
func resetUploads(s *site, rnd *rand.Rand) (string, func()) {
	list := s.targetsWhere(func(k *target) bool {
		return slices.ContainsFunc(s.kinds, func(r requestKind) bool { return r.service == k.service.name && r.uploadBytes > 0 })
	})
	after, share := time.Duration(1+rnd.IntN(10))*time.Millisecond, 0.2+0.8*rnd.Float64()
	for _, k := range list {
		k.Fail(earlyReset(rand.NewPCG(rnd.Uint64(), 7), share, after))
	}
	return fmt.Sprintf("targets of uploads reset connections after %v, %.2f of requests", after, share), func() {
		for _, k := range list {
			k.Fail(nil)
		}
	}
}
