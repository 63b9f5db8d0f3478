package callers

import (
	"bytes"
	"time"
)

// Guard decides what connections may hold and do. It must be safe for concurrent use.
type Guard interface {
	// Connect admits a connection from an address, without its port, or returns nil. evict closes
	// the connection at once; it may be called until the end of the lease.
	Connect(address string, evict func()) Lease
}

// Lease is what a connection may hold and do.
type Lease interface {
	// Work charges the processor time for reading or writing bytes, for header lines, and for
	// requests. It returns for how long the connection has to wait before it goes on.
	Work(bytes, lines, requests int) time.Duration
	// Hold charges a part of a head: its bytes and header lines. It reports whether they may be held.
	Hold(bytes, lines int) bool
	Free(bytes, lines int)
	// Begin notes that a request is passed to the handler; complete means that its body has
	// arrived. It reports whether the connection hasn't been evicted.
	Begin(complete bool) bool
	Complete() bool // the body has arrived
	End(complete, served bool)
	// Write and Written note the begin and the end of a write.
	Write()
	Written(bytes int)
	Close()
}

// unguarded admits everything.
type unguarded struct{}

func (unguarded) Connect(string, func()) Lease     { return unguarded{} }
func (unguarded) Work(int, int, int) time.Duration { return 0 }
func (unguarded) Hold(int, int) bool               { return true }
func (unguarded) Free(int, int)                    {}
func (unguarded) Begin(bool) bool                  { return true }
func (unguarded) Complete() bool                   { return true }
func (unguarded) End(bool, bool)                   {}
func (unguarded) Write()                           {}
func (unguarded) Written(int)                      {}
func (unguarded) Close()                           {}

// headSize is what a head takes: bytes, and header lines.
type headSize struct{ bytes, lines int }

// pause waits for a time, or until the connection ends.
func (c *conn) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// charge charges bytes that have just been read, and waits as long as the guard wants. It returns an
// error if they are part of a head and may not be held.
func (c *conn) charge(p []byte) error {
	lines := 0
	if c.in.limited {
		lines = bytes.Count(p, lineBreak)
		if !c.lease.Hold(len(p), lines) {
			return errNoMemory
		}
		c.head.bytes += len(p)
		c.head.lines += lines
	}
	c.pause(c.lease.Work(len(p), lines, 0))
	return nil
}

var lineBreak = []byte{'\n'}

// settleHead replaces the charge for the bytes read with that for the head, which may have been read
// ahead or be followed by other bytes.
func (c *conn) settleHead(size headSize) bool {
	more := headSize{max(size.bytes-c.head.bytes, 0), max(size.lines-c.head.lines, 0)}
	if !c.lease.Hold(more.bytes, more.lines) {
		return false
	}
	c.lease.Free(max(c.head.bytes-size.bytes, 0), max(c.head.lines-size.lines, 0))
	c.head = size
	return true
}

// freeHead ends the charge for a head that has no request.
func (c *conn) freeHead() {
	c.lease.Free(c.head.bytes, c.head.lines)
	c.head = headSize{}
}
