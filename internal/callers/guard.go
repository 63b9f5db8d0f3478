package callers

import (
	"bytes"
	"io"
	"time"
)

// Guard decides what connections may hold and do. It must be safe for concurrent use.
type Guard interface {
	// Connect admits a connection from an address, without its port, or returns nil. The actions may be
	// called until the end of the lease.
	Connect(address string, a Actions) Lease
}

// Actions are what a guard may do to a connection.
type Actions struct {
	Evict func() // closes it at once
	// Narrow bounds its receive buffer again, see Lease.Widen, and reports whether no more bytes than
	// that are unread.
	Narrow func(receiveBuffer int) bool
	// NarrowSend bounds its send buffer again, see Lease.SendBuffer, unless the caller has yet to read
	// more bytes than that. It reports whether it did.
	NarrowSend func(sendBuffer int) bool
}

// Lease is what a connection may hold and do.
type Lease interface {
	// Read charges the processor time for bytes that have been read, with a number of lines if they are
	// chunks. It returns for how long the connection has to wait before it goes on.
	Read(bytes, lines int) time.Duration
	// ReadHead does the same for a part of a head with a number of lines, and charges what the part
	// takes. It reports whether the part may be held.
	ReadHead(bytes, lines int) (wait time.Duration, ok bool)
	// Hold charges a part of a head that had been read before. It reports whether it may be held.
	Hold(bytes, lines int) bool
	// Free ends the charge of a part of a head.
	Free(bytes, lines int)
	// Request charges the processor time for a request. It returns for how long the connection has to
	// wait before it goes on.
	Request() time.Duration
	// Begin notes that a request is passed to the handler; complete means that its body has
	// arrived. It reports whether the connection hasn't been evicted.
	Begin(complete bool) bool
	Complete() bool // the body has arrived
	// End notes the end of a request with a head, and whether its caller was served.
	End(complete, served bool, bytes, lines int)
	// Write and Written note the begin and the end of a write.
	Write()
	Written(bytes int)
	// Widen reports whether the receive buffer may have so many bytes. It stays until it is narrowed.
	Widen(receiveBuffer int) bool
	// Rest notes that all that has arrived is read, so that the buffer may be narrowed. Resume notes
	// that more has arrived, and reports whether it hasn't been.
	Rest()
	Resume() bool
	// SendBuffer returns the size of the send buffer for a large response; 0 if there is no room for a
	// larger one. Sent notes that all has been written; the buffer stays until it is narrowed.
	SendBuffer() int
	Sent()
	Close()
}

// unguarded admits everything.
type unguarded struct{}

func (unguarded) Connect(string, Actions) Lease           { return unguarded{} }
func (unguarded) Read(int, int) time.Duration             { return 0 }
func (unguarded) ReadHead(int, int) (time.Duration, bool) { return 0, true }
func (unguarded) Hold(int, int) bool                      { return true }
func (unguarded) Free(int, int)                           {}
func (unguarded) Request() time.Duration                  { return 0 }
func (unguarded) Begin(bool) bool                         { return true }
func (unguarded) Complete() bool                          { return true }
func (unguarded) End(bool, bool, int, int)                {}
func (unguarded) Write()                                  {}
func (unguarded) Written(int)                             {}
func (unguarded) Widen(int) bool                          { return true }
func (unguarded) Rest()                                   {}
func (unguarded) Resume() bool                            { return true }
func (unguarded) SendBuffer() int                         { return 0 }
func (unguarded) Sent()                                   {}
func (unguarded) Close()                                  {}

// headSize is what a head takes: bytes, and lines with those of the request and of the end.
type headSize struct{ bytes, lines int }

// Times between two looks for the caller's close in a pause. They double.
const (
	minLeavePeriod = 25 * time.Millisecond
	maxLeavePeriod = 400 * time.Millisecond
)

// pause waits for a time. It ends early and returns false if the connection ends or the caller
// closes its side, also behind unread bytes: what it holds is then of no use.
func (c *conn) pause(d time.Duration) bool {
	for period := minLeavePeriod; d > 0; period = min(2*period, maxLeavePeriod) {
		step := min(d, period)
		t := time.NewTimer(step)
		select {
		case <-t.C:
		case <-c.ctx.Done():
			t.Stop()
			return false
		}
		if d -= step; c.hungUp() {
			c.leave()
			return false
		}
	}
	return true
}

// charge charges bytes that have just been read, and waits as long as the guard wants. It returns an
// error if they are part of a head and may not be held, and io.EOF if the caller leaves meanwhile.
func (c *conn) charge(p []byte) error {
	lines := 0
	if c.in.limited || c.in.chunked {
		lines = bytes.Count(p, lineBreak)
	}
	if !c.in.limited {
		return c.delay(c.lease.Read(len(p), lines))
	}
	wait, ok := c.lease.ReadHead(len(p), lines)
	if !ok {
		return errNoMemory
	}
	c.head.bytes += len(p)
	c.head.lines += lines
	return c.delay(wait)
}

// delay pauses, and returns io.EOF if the connection is of no use any more.
func (c *conn) delay(d time.Duration) error {
	if !c.pause(d) {
		return io.EOF
	}
	return nil
}

var lineBreak = []byte{'\n'}

// settleHead replaces the charge for the bytes read with that for the head, which may have been read
// ahead or be followed by other bytes.
func (c *conn) settleHead(size headSize) bool {
	if size == c.head {
		return true
	}
	if !c.lease.Hold(max(size.bytes-c.head.bytes, 0), max(size.lines-c.head.lines, 0)) {
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
