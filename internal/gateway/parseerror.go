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
	// maxLoggedName bounds the name of an object in a line, in bytes.
	maxLoggedName = 200
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
func (l *parseErrorLog) logObject(now time.Time, kind, name string, err error) {
	name = name[:min(len(name), maxLoggedName)]
	if !l.allow(now, kind+"/"+name) {
		return
	}
	l.log.WithError(shortCause(err)).WithFields(log.Fields{"kind": kind, "name": name}).Warn("store: object not understood")
}

// logHeader logs that a response header of a target could not be parsed.
func (l *parseErrorLog) logHeader(now time.Time, target string, err error) {
	if !l.allow(now, "response/"+target) {
		return
	}
	l.log.WithError(err).WithField("target", target).Warn("target: header not understood")
}

// allow reports whether a line about key may be logged now.
func (l *parseErrorLog) allow(now time.Time, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.lastLogged[key]; ok && now.Sub(last) < parseErrorInterval || !l.limiter.AllowN(now, 1) {
		return false
	}
	if len(l.lastLogged) >= maxParseErrors {
		clear(l.lastLogged)
	}
	l.lastLogged[key] = now
	return true
}
