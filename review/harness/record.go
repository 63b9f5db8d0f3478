package harness

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the list of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}

// Print prints a line of the result and records it.
func (r *Record) Print(format string, args ...any) {
	fmt.Printf(format, args...)
	r.Add("result: %s", strings.TrimSpace(fmt.Sprintf(format, args...)))
}
