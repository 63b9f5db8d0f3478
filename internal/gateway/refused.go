package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"
	limiter "golang.org/x/time/rate"
)

// Bounds of the lines about objects of the store and headers of targets that can't
// be read. Such an object is read again with each list and each write of its owner,
// more than once a second, and a header with each response.
const (
	// refusedEvery is how often there is a line about one object or target.
	refusedEvery = time.Minute
	// refusedLines and refusedBurst bound the lines a second about all.
	refusedLines = 1
	refusedBurst = 50
	// refusedKept bounds the objects and targets that are remembered.
	refusedKept = 1024
)

// refusals logs what can't be read. It is safe for concurrent use.
type refusals struct {
	log   log.Interface
	lines *limiter.Limiter

	mu   sync.Mutex
	told map[string]time.Time
}

func newRefusals(l log.Interface) *refusals {
	return &refusals{log: l, lines: limiter.NewLimiter(refusedLines, refusedBurst), told: make(map[string]time.Time)}
}

// note takes an object of the store that names nothing because of err.
func (r *refusals) note(now time.Time, kind, name string, err error) {
	if !r.due(now, kind+"/"+name) {
		return
	}
	r.log.WithError(err).WithFields(log.Fields{"kind": kind, "name": name}).Warn("store: object not understood")
}

// response takes a response of a target of which a header can't be read.
func (r *refusals) response(now time.Time, target string, err error) {
	if !r.due(now, "response/"+target) {
		return
	}
	r.log.WithError(err).WithField("target", target).Warn("target: header not understood")
}

func (r *refusals) due(now time.Time, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.told[key]; ok && now.Sub(last) < refusedEvery || !r.lines.AllowN(now, 1) {
		return false
	}
	if len(r.told) >= refusedKept {
		clear(r.told)
	}
	r.told[key] = now
	return true
}
