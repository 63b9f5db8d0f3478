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
	lines     chan *log.Entry
	out       *json.Handler
	succeeded *rate.Limiter // limits lines about requests that succeeded
	failed    *rate.Limiter // limits lines about other requests
	omitted   atomic.Int64
}

const (
	// bufferedLines is how many lines may wait for an output that isn't read.
	bufferedLines = 1024
	// succeededLinesPerSecond and failedLinesPerSecond limit the lines about
	// requests that succeeded and about other requests. A line costs about 20 µs,
	// so both together take less than 1 percent of a core.
	succeededLinesPerSecond = 20
	failedLinesPerSecond    = 150
	// burstSeconds is the size of a burst of lines, in seconds at the limited rate.
	burstSeconds = 2
	// omittedPeriod is how often the number of omitted lines is logged.
	omittedPeriod = time.Second
)

// FieldRequest is the field with the id of the request that a line is about.
const FieldRequest = "request"

// New returns a handler that writes JSON lines to w.
func New(w io.Writer) *Handler {
	h := &Handler{
		lines: make(chan *log.Entry, bufferedLines), out: json.New(w),
		succeeded: rate.NewLimiter(succeededLinesPerSecond, burstSeconds*succeededLinesPerSecond),
		failed:    rate.NewLimiter(failedLinesPerSecond, burstSeconds*failedLinesPerSecond),
	}
	go h.write()
	return h
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	if _, ok := e.Fields[FieldRequest]; ok && !h.limiter(e.Level).Allow() {
		h.omitted.Add(1)
		return nil
	}
	select {
	case h.lines <- e:
	default:
		h.omitted.Add(1)
	}
	return nil
}

func (h *Handler) limiter(level log.Level) *rate.Limiter {
	if level < log.WarnLevel {
		return h.succeeded
	}
	return h.failed
}

func (h *Handler) write() {
	tick := time.NewTicker(omittedPeriod)
	defer tick.Stop()
	for {
		select {
		case e := <-h.lines:
			// There is no other output to report a write error to.
			_ = h.out.HandleLog(e)
		case <-tick.C:
			h.logOmitted()
		}
	}
}

func (h *Handler) logOmitted() {
	n := h.omitted.Swap(0)
	if n == 0 {
		return
	}
	e := log.NewEntry(&log.Logger{Handler: h.out, Level: log.InfoLevel})
	e.Fields, e.Level, e.Message, e.Timestamp = log.Fields{"lines": n}, log.WarnLevel, "log lines omitted", time.Now()
	_ = h.out.HandleLog(e)
}

// Writer returns a writer for the standard library's logger. Each line gets the field
// "from".
func (h *Handler) Writer(from string) io.Writer {
	return writer{&log.Logger{Handler: h, Level: log.InfoLevel}, from}
}

type writer struct {
	log  *log.Logger
	from string
}

// quoted separates a message of net/http from the bytes of a target that it quotes.
const quoted = " starting with "

// Write implements io.Writer. The lines are rate-limited like lines about requests, since
// a faulty target can cause one with each response. They quote no response, which may be for
// any caller.
func (w writer) Write(p []byte) (int, error) {
	text, _, _ := strings.Cut(string(p), quoted)
	w.log.WithFields(log.Fields{"from": w.from, FieldRequest: ""}).Info(strings.TrimSpace(text))
	return len(p), nil
}

// Close writes the buffered lines.
func (h *Handler) Close() {
	for range bufferedLines {
		select {
		case e := <-h.lines:
			_ = h.out.HandleLog(e)
		default:
			return
		}
	}
}
