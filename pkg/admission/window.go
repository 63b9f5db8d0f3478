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
// false, and changes nothing, if there is no room for them. The narrowed connections, which are at
// rest, have to go back to the bytes of each connection.
func (b *Budget) Widen(id ID, bytes int64) (narrowed []ID, ok bool) {
	c := b.conns[id]
	if c == nil {
		return nil, false
	}
	if narrowed, ok = b.makeWindowRoom(c, bytes-c.window.bytes); !ok {
		return narrowed, false
	}
	b.windows += bytes - c.window.bytes
	c.window.bytes, c.window.used = bytes, true
	b.wide[id] = c
	return narrowed, true
}

// WidenSend does the same for bytes that are sent and that the caller hasn't read, until EndSend.
func (b *Budget) WidenSend(id ID, bytes int64) (narrowed []ID, ok bool) {
	c := b.conns[id]
	if c == nil {
		return nil, false
	}
	if narrowed, ok = b.makeWindowRoom(c, bytes-c.unsent); !ok {
		return narrowed, false
	}
	b.windows += bytes - c.unsent
	c.unsent = bytes
	return narrowed, true
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

// makeWindowRoom makes room for further bytes of a connection's windows by those of others at rest.
func (b *Budget) makeWindowRoom(c *conn, bytes int64) (narrowed []ID, ok bool) {
	for bytes > b.windowRoom() {
		o := b.idleWindow(c)
		if o == nil {
			return narrowed, bytes <= 0
		}
		b.narrow(o)
		narrowed = append(narrowed, o.id)
	}
	return narrowed, true
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

// windowRoom returns the bytes that further windows may have.
func (b *Budget) windowRoom() int64 {
	return max(b.cfg.Kernel-int64(len(b.conns))*b.cfg.ConnKernel, b.cfg.Windows) - b.windows
}

// idleWindow returns the connection, other than c, that has been at rest with a window for longest; nil
// if there is none.
func (b *Budget) idleWindow(c *conn) (first *conn) {
	for _, o := range b.wide {
		if o != c && !o.window.used && (first == nil || o.window.since.Before(first.window.since)) {
			first = o
		}
	}
	return first
}

// narrow ends the window of a connection.
func (b *Budget) narrow(c *conn) {
	b.windows -= c.window.bytes
	c.window = window{}
	delete(b.wide, c.id)
}

// narrowIdle ends windows at rest that connections have left no room for.
func (b *Budget) narrowIdle(c *conn) (narrowed []ID) {
	for b.windowRoom() < 0 {
		o := b.idleWindow(c)
		if o == nil {
			break
		}
		b.narrow(o)
		narrowed = append(narrowed, o.id)
	}
	return narrowed
}
