package forward

import (
	"hash/maphash"
	"slices"
)

// maxConnRequests is how many requests with an ID one connection carries. It bounds the memory of
// their IDs.
const maxConnRequests = 1024

// idSeed makes equal hashes of different IDs unpredictable for callers.
var idSeed = maphash.MakeSeed()

// carriedIDs has the hashes of the request IDs that a connection has carried, in 4 bytes each.
// Different IDs may have the same hash, which costs a connection.
type carriedIDs []uint32

// add adds an ID, and reports whether it was added before. Requests with an ID must not be sent
// on the connection if it is full.
func (c *carriedIDs) add(id string) (repeated bool) {
	h := uint32(maphash.String(idSeed, id))
	if slices.Contains(*c, h) {
		return true
	}
	*c = append(*c, h)
	return false
}

// full reports whether the connection must carry no further request with an ID.
func (c carriedIDs) full() bool { return len(c) >= maxConnRequests }

// carry notes the request's ID on a connection, and reports whether it may be written there. No ID
// is one too: the responses to all requests without one look alike.
func (t *transportTrace) carry(c *conn) bool {
	if !t.idOnce {
		return true
	}
	if t.id != "" && c.ids.full() {
		return false
	}
	t.repeatedID = c.ids.add(t.id)
	return !t.repeatedID
}

// giveUp closes a connection on which the request must not be written.
func (t *transportTrace) giveUp(c *conn) {
	t.givenUp = true
	t.body.closed = true
	c.Close()
	t.cancel(errGivenUp)
}
