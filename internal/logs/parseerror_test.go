package logs

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
)

// Records that can't be decoded are read again with each list. Each is logged at most once a minute,
// and all of them together at a limited rate.
func TestLogRateOfUnreadableRecords(t *testing.T) {
	h := memory.New()
	r := NewParseErrors(&log.Logger{Handler: h})
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.Object(now, "servers", "other", errors.New("bad"))
	}
	qt.Assert(t, h.Entries, qt.HasLen, 1)
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		r.Object(now, "servers", fmt.Sprint(i), errors.New("bad"))
	}
	qt.Assert(t, len(h.Entries) <= 1+parseErrorBurst+10*parseErrorsPerSecond+1, qt.IsTrue, qt.Commentf("%d lines", len(h.Entries)))
}
