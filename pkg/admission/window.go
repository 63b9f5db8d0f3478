package admission

import "time"

// window is how many bytes the kernel may hold for a connection beyond those of each connection, as
// they arrive unread.
type window struct {
	bytes int64
	used  bool      // there may be unread bytes
	since time.Time // of the end of its use
}

// Widen lets bytes arrive unread on a connection, beyond those that each connection has. It returns
// false, and changes nothing, if there is no room for them; Resting tells which window may end.
func (b *Budget) Widen(id ID, bytes int64) bool {
	c := b.conns[id]
	if c == nil || !b.windowFits(bytes-c.window.bytes) {
		return false
	}
	b.windows += bytes - c.window.bytes
	c.window.bytes, c.window.used = bytes, true
	b.wide[id] = c
	return true
}

// WidenSend does the same for bytes that are sent and that the caller hasn't read, until EndSend.
func (b *Budget) WidenSend(id ID, bytes int64) bool {
	c := b.conns[id]
	if c == nil || !b.windowFits(bytes-c.unsent) {
		return false
	}
	b.windows += bytes - c.unsent
	c.unsent = bytes
	return true
}

// EndSend notes that what the caller hasn't read of a connection is within the bytes of each one.
func (b *Budget) EndSend(id ID) {
	if c := b.conns[id]; c != nil {
		b.endSend(c)
	}
}

func (b *Budget) endSend(c *conn) {
	b.windows -= c.unsent
	c.unsent = 0
}

// Rest notes that all that has arrived on a connection is read. The connection keeps its window until
// others need the room: a caller whose window shrinks loses what it has sent meanwhile.
func (b *Budget) Rest(now time.Time, id ID) {
	if c := b.conns[id]; c != nil {
		c.window.used, c.window.since = false, now
	}
}

// Resume notes that more has arrived, and reports whether the connection has a window still.
func (b *Budget) Resume(id ID) bool {
	c := b.conns[id]
	if c == nil || c.window.bytes == 0 {
		return false
	}
	c.window.used = true
	return true
}

// Resting returns the connection that has been at rest with a window for longest; 0 if there is none.
func (b *Budget) Resting() (id ID) {
	var first *conn
	for _, c := range b.wide {
		if !c.window.used && (first == nil || c.window.since.Before(first.window.since)) {
			first = c
		}
	}
	if first == nil {
		return 0
	}
	return first.id
}

// Narrow ends the window of a connection, which has no more unread bytes than each connection may have.
func (b *Budget) Narrow(id ID) {
	if c := b.conns[id]; c != nil {
		b.narrow(c)
	}
}

func (b *Budget) narrow(c *conn) {
	b.windows -= c.window.bytes
	c.window = window{}
	delete(b.wide, c.id)
}

// WindowsFit reports whether there is room for all windows beside the connections.
func (b *Budget) WindowsFit() bool { return b.windowFits(0) }

func (b *Budget) windowFits(bytes int64) bool {
	room := max(b.cfg.Kernel-int64(len(b.conns))*b.cfg.ConnKernel, b.cfg.Windows)
	return bytes < 0 || b.windows+bytes <= room
}
