// Package logs writes log lines without ever holding up who logs.
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

// Handler is a log handler that never blocks and is bounded in lines. Lines about
// single requests are many under overload, when the processor is needed most;
// of these only so many a second are written, and the others are counted.
type Handler struct {
	lines   chan *log.Entry
	out     *json.Handler
	served  *rate.Limiter // lines about requests that went well
	failed  *rate.Limiter // and about others
	omitted atomic.Int64
}

const (
	// logBuffer is how many lines may wait for an output that isn't read.
	logBuffer = 1024
	// servedLines and failedLines are how many lines a second are written
	// about requests that went well and about others: a line costs about 20 µs,
	// so that they take less than a hundredth of a core together.
	servedLines = 20
	failedLines = 150
	// burstSeconds is how many seconds' lines may come at once.
	burstSeconds = 2
	// omittedEvery is how often the number of omitted lines is told.
	omittedEvery = time.Second
)

// FieldRequest marks a line as one about a request.
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
			// Nothing is left to tell a failed output to.
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

// Writer returns where the standard library's logger may write to.
func (l *Handler) Writer(from string) io.Writer {
	return writer{&log.Logger{Handler: l, Level: log.InfoLevel}, from}
}

type writer struct {
	log  *log.Logger
	from string
}

// Write implements io.Writer. The lines count as those about requests: a faulty
// target causes one with each answer.
func (w writer) Write(p []byte) (int, error) {
	w.log.WithFields(log.Fields{"from": w.from, FieldRequest: ""}).Info(strings.TrimSpace(string(p)))
	return len(p), nil
}

// Close writes what waits.
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
