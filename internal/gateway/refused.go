package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"
	limiter "golang.org/x/time/rate"
)

// Rate limits of the log lines about store objects and response headers that can't be
// parsed. Such an object is parsed again with each list and each write by its owner, more
// than once a second, and a header with each response.
const (
	// parseErrorInterval is the time between two lines about the same object or target.
	refusedEvery = time.Minute
	// parseErrorsPerSecond and parseErrorBurst limit the lines about all of them.
	refusedLines = 1
	refusedBurst = 50
	// maxParseErrors bounds the objects and targets that are remembered.
	refusedKept = 1024
)

// parseErrorLog logs parse errors at a limited rate. It is safe for concurrent use.
type refusals struct {
	log   log.Interface
	lines *limiter.Limiter

	mu   sync.Mutex
	told map[string]time.Time
}

func newRefusals(l log.Interface) *refusals {
	return &refusals{log: l, lines: limiter.NewLimiter(refusedLines, refusedBurst), told: make(map[string]time.Time)}
}

// logObject logs that an object of the store could not be parsed.
func (r *refusals) note(now time.Time, kind, name string, err error) {
	if !r.due(now, kind+"/"+name) {
		return
	}
	r.log.WithError(err).WithFields(log.Fields{"kind": kind, "name": name}).Warn("store: object not understood")
}

// logHeader logs that a response header of a target could not be parsed.
func (r *refusals) response(now time.Time, target string, err error) {
	if !r.due(now, "response/"+target) {
		return
	}
	r.log.WithError(err).WithField("target", target).Warn("target: header not understood")
}

// allow reports whether a line about key may be logged now.
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
