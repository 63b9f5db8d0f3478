// Package logs writes JSON log lines without blocking the callers, and reads collected
// log lines.
package logs

import (
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"golang.org/x/time/rate"
)

// Handler is a log handler that never blocks its caller. Lines about single requests are
// rate-limited, since under overload they would use CPU time that requests need. Lines
// that exceed the rate or don't fit into the buffer are dropped and counted.
type Handler struct {
	lines   chan *log.Entry
	out     *json.Handler
	served  *rate.Limiter // limits lines about requests that succeeded
	failed  *rate.Limiter // limits lines about other requests
	omitted atomic.Int64
}

const (
	// bufferedLines is how many lines may wait for an output that isn't read.
	logBuffer = 1024
	// succeededLinesPerSecond and failedLinesPerSecond limit the lines about
	// requests that succeeded and about other requests. A line costs about 20 µs,
	// so both together take less than 1 percent of a core.
	servedLines = 20
	failedLines = 150
	// burstSeconds is the size of a burst of lines, in seconds at the limited rate.
	burstSeconds = 2
	// omittedPeriod is how often the number of omitted lines is logged.
	omittedEvery = time.Second
)

// FieldRequest is the field with the id of the request that a line is about.
const FieldRequest = "request"

// New returns a handler that writes JSON lines to w.
func New(w io.Writer) *Handler {
	l := &Handler{
		lines: make(chan *log.Entry, logBuffer), out: json.New(w),
		served: rate.NewLimiter(servedLines, burstSeconds*servedLines),
		failed: rate.NewLimiter(failedLines, burstSeconds*failedLines),
	}
	go l.write()
	return l
}

// HandleLog implements log.Handler.
func (l *Handler) HandleLog(e *log.Entry) error {
	if _, ok := e.Fields[FieldRequest]; ok && !l.limit(e.Level).Allow() {
		l.omitted.Add(1)
		return nil
	}
	select {
	case l.lines <- e:
	default:
		l.omitted.Add(1)
	}
	return nil
}

func (l *Handler) limit(level log.Level) *rate.Limiter {
	if level < log.WarnLevel {
		return l.served
	}
	return l.failed
}

func (l *Handler) write() {
	tick := time.NewTicker(omittedEvery)
	defer tick.Stop()
	for {
		select {
		case e := <-l.lines:
			// There is no other output to report a write error to.
			_ = l.out.HandleLog(e)
		case <-tick.C:
			l.tellOmitted()
		}
	}
}

func (l *Handler) tellOmitted() {
	n := l.omitted.Swap(0)
	if n == 0 {
		return
	}
	e := log.NewEntry(&log.Logger{Handler: l.out, Level: log.InfoLevel}).WithField("lines", n)
	e.Level, e.Message, e.Timestamp = log.WarnLevel, "log lines omitted", time.Now()
	_ = l.out.HandleLog(e)
}

// Writer returns a writer for the standard library's logger. Each line gets the field
// "from".
func (l *Handler) Writer(from string) io.Writer {
	return writer{&log.Logger{Handler: l, Level: log.InfoLevel}, from}
}

type writer struct {
	log  *log.Logger
	from string
}

// Write implements io.Writer. The lines are rate-limited like lines about requests, since
// a faulty target can cause one with each response.
func (w writer) Write(p []byte) (int, error) {
	w.log.WithFields(log.Fields{"from": w.from, FieldRequest: ""}).Info(strings.TrimSpace(string(p)))
	return len(p), nil
}

// Close writes the buffered lines.
func (l *Handler) Close() {
	for range logBuffer {
		select {
		case e := <-l.lines:
			_ = l.out.HandleLog(e)
		default:
			return
		}
	}
}
