package logs

import (
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	qt "github.com/frankban/quicktest"
)

// Nobody reads the output. Whoever logs must go on all the same, and what was
// left out is counted.
func TestBlockedOutput(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	h := New(w)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	began := time.Now()
	for range 3 * logBuffer {
		l.Info("line")
	}
	qt.Assert(t, time.Since(began) < 2*time.Second, qt.IsTrue)
	qt.Assert(t, h.omitted.Load() >= logBuffer, qt.IsTrue)
}

// Lines about requests are bounded, and never push out others.
func TestRequestLines(t *testing.T) {
	h := New(io.Discard)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 10 * requestBurst {
		l.WithField(FieldRequest, "q").Info("answered")
	}
	qt.Assert(t, h.omitted.Load() > 8*requestBurst, qt.IsTrue)
	before := h.omitted.Load()
	l.WithField(FieldRequest, "q").Warn("kept")
	l.Info("kept")
	qt.Assert(t, h.omitted.Load(), qt.Equals, before)
}
