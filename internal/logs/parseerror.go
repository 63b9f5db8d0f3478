package logs

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
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

// ParseErrors logs objects and headers that can't be parsed at a limited rate. It is safe for concurrent use.
type ParseErrors struct {
	log     log.Interface
	limiter *rate.Limiter

	mu         sync.Mutex
	lastLogged map[string]time.Time
}

// NewParseErrors returns a ParseErrors that writes to l.
func NewParseErrors(l log.Interface) *ParseErrors {
	return &ParseErrors{log: l, limiter: rate.NewLimiter(parseErrorsPerSecond, parseErrorBurst), lastLogged: make(map[string]time.Time)}
}

// Object logs that an object of the store could not be parsed.
func (l *ParseErrors) Object(now time.Time, kind, name string, err error) {
	name = name[:min(len(name), maxLoggedName)]
	if !l.allow(now, kind+"/"+name) {
		return
	}
	l.log.WithError(Short(err)).WithFields(log.Fields{"kind": kind, "name": name}).Warn("store: object not understood")
}

// Header logs that a response header of a target could not be parsed.
func (l *ParseErrors) Header(now time.Time, target string, err error) {
	if !l.allow(now, "response/"+target) {
		return
	}
	l.log.WithError(err).WithField("target", target).Warn("target: header not understood")
}

// allow reports whether a line about key may be logged now.
func (l *ParseErrors) allow(now time.Time, key string) bool {
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

// maxErrorBytes is how much of an error's text Short keeps, in bytes.
const maxErrorBytes = 300

// Short returns an error with the beginning of the text. Errors may quote what was received at length.
func Short(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes] + "...")
	}
	return err
}
