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
	parseErrorInterval = time.Minute
	// parseErrorsPerSecond and parseErrorBurst limit the lines about all of them.
	parseErrorsPerSecond = 1
	parseErrorBurst      = 50
	// maxParseErrors bounds the objects and targets that are remembered.
	maxParseErrors = 1024
)

// parseErrorLog logs parse errors at a limited rate. It is safe for concurrent use.
type parseErrorLog struct {
	log     log.Interface
	limiter *limiter.Limiter

	mu         sync.Mutex
	lastLogged map[string]time.Time
}

func newParseErrorLog(l log.Interface) *parseErrorLog {
	return &parseErrorLog{log: l, limiter: limiter.NewLimiter(parseErrorsPerSecond, parseErrorBurst), lastLogged: make(map[string]time.Time)}
}

// logObject logs that an object of the store could not be parsed.
func (r *parseErrorLog) logObject(now time.Time, kind, name string, err error) {
	if !r.allow(now, kind+"/"+name) {
		return
	}
	r.log.WithError(err).WithFields(log.Fields{"kind": kind, "name": name}).Warn("store: object not understood")
}

// logHeader logs that a response header of a target could not be parsed.
func (r *parseErrorLog) logHeader(now time.Time, target string, err error) {
	if !r.allow(now, "response/"+target) {
		return
	}
	r.log.WithError(err).WithField("target", target).Warn("target: header not understood")
}

// allow reports whether a line about key may be logged now.
func (r *parseErrorLog) allow(now time.Time, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.lastLogged[key]; ok && now.Sub(last) < parseErrorInterval || !r.limiter.AllowN(now, 1) {
		return false
	}
	if len(r.lastLogged) >= maxParseErrors {
		clear(r.lastLogged)
	}
	r.lastLogged[key] = now
	return true
}
