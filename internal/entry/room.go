package entry

import (
	"math"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"plumpitch.example/plumpitch/internal/guard"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/memory"
)

// newGuard returns the guard of the entry's listeners.
func (e *Entry) newGuard() *guard.Guard {
	f := e.cfg.File
	cfg := guard.Config{
		Memory: int64(f.Memory) * 1e6, Files: int64(f.Files), Cores: float64(runtime.GOMAXPROCS(0)), Scope: e.metrics.Scope, Log: e.log,
	}
	if cfg.Memory > 0 {
		guard.LimitHeap(cfg.Memory)
	} else {
		cfg.Memory = vmMemory()
	}
	if cfg.Files == 0 {
		cfg.Files = fileLimit()
	}
	return guard.New(cfg)
}

// vmMemory returns the bytes of memory of the VM; 0 if they are unknown.
func vmMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// fileLimit returns how many descriptors the process may use; 0 if that is unknown.
func fileLimit() int64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int64(min(limit.Cur, math.MaxInt32))
}

// holdBody waits for room for n bytes of the body, until the deadline.
func (q *request) holdBody(n int64) (err error) {
	host, _, _ := net.SplitHostPort(q.incoming.RemoteAddr)
	q.upload.held, err = q.guard.Open(time.Now(), memory.Body{Caller: host, Length: n, Max: n, Deadline: q.deadline}, q.upload.interrupt)
	if err == nil {
		err = q.upload.held.Extend(n, func(now time.Time) bool { return !now.Before(q.deadline) || q.incoming.Context().Err() != nil })
	}
	if err != nil {
		return finalError{noMemory(err)}
	}
	return nil
}

// noMemory returns the final response to a request for whose body there is no room.
func noMemory(err error) call.Final {
	f := call.Final{Outcome: call.NotRun, Reason: call.ReasonOverload, Detail: "no room for the request body"}
	if refusal := (*guard.Refusal)(nil); errors.As(err, &refusal) {
		f.RetryAfter = refusal.RetryAfter
	}
	return f
}

// free ends the use of the room for the body.
func (b *callerBody) free() {
	if b.held != nil {
		b.held.Close()
	}
}
