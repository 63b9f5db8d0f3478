package memory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sender is a client of the simulation, which sends one body after the other.
type sender struct {
	caller   string
	bytes    int64
	rate     float64 // bytes per second
	stall    int64   // after so many bytes it sends next to nothing; 0 for never
	chunked  bool
	deadline time.Duration
}

// upload is a body under way.
type upload struct {
	sender
	id      ID
	opened  time.Time
	granted int64   // bytes that may be held
	sent    float64 // bytes received
	reading bool
	asked   bool
	left    time.Time // end of the dispatch; zero while bytes are missing
}

// world plays senders against a Budget in virtual time.
type world struct {
	c       *qt.C
	budget  *Budget
	now     time.Time
	uploads []*upload
	// served is the number of complete bodies, refused of refused ones, late of those that missed
	// their deadline, by caller.
	served, refused, late map[string]int
}

// Times of the simulation.
const (
	simStep      = 5 * time.Millisecond
	simDispatch  = 70 * time.Millisecond // a body is held so long after it is complete
	simRetry     = 100 * time.Millisecond
	simChunk     = 64 << 10
	simLimit     = 128 << 20
	simCharge    = 128 << 10
	simConns     = 16 << 20
	simLateAfter = 6 * time.Second
	simStalled   = 1 << 10 // bytes per second of a sender that stalls
)

func newSimWorld(c *qt.C) *world {
	return &world{
		c: c, now: time.Unix(1_000_000, 0), served: make(map[string]int), refused: make(map[string]int), late: make(map[string]int),
		budget: New(Config{Limit: simLimit, Start: simChunk, WaitCharge: simCharge, Conns: simConns}),
	}
}

// play runs senders for a time. All of them start at once.
func (w *world) play(senders []sender, d time.Duration) {
	slots := make([]*upload, len(senders))
	pause := make([]time.Time, len(senders))
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simStep) {
		for i, s := range senders {
			if slots[i] == nil && !w.now.Before(pause[i]) {
				slots[i] = w.open(s)
			}
			if u := slots[i]; u == nil || w.advance(u) {
				if u != nil {
					slots[i], pause[i] = nil, w.now.Add(simRetry)
				}
			}
		}
		w.apply(w.budget.Plan(w.now), slots)
		u := w.budget.Usage()
		w.c.Assert(u.Held+max(u.Conns-simConns, 0)+u.Waiting*simCharge <= simLimit, qt.IsTrue, qt.Commentf("%+v", u))
	}
}

func (w *world) open(s sender) *upload {
	length := s.bytes
	if s.chunked {
		length = -1
	}
	d := w.budget.Open(w.now, Body{Caller: s.caller, Length: length, Max: 64 << 20, Deadline: w.now.Add(s.deadline)})
	w.c.Assert(d.Verdict, qt.Equals, Grant)
	return &upload{sender: s, id: d.ID, opened: w.now}
}

// advance receives bytes and reports whether the upload has ended.
func (w *world) advance(u *upload) (ended bool) {
	if !u.left.IsZero() {
		if w.now.Before(u.left) {
			return false
		}
		w.budget.Close(w.now, u.id)
		w.served[u.caller]++
		return true
	}
	if w.now.Sub(u.opened) > u.deadline {
		w.budget.Close(w.now, u.id)
		w.late[u.caller]++
		return true
	}
	if u.reading {
		u.sent = min(u.sent+u.paceNow()*simStep.Seconds(), float64(u.granted))
	}
	if u.reading && u.sent < float64(u.granted) || u.waits() {
		return false
	}
	if u.granted == u.bytes {
		w.budget.Complete(u.id)
		u.left = w.now.Add(simDispatch)
		return false
	}
	u.asked = true
	return w.decide(u, w.budget.Extend(w.now, u.id, u.part()))
}

// paceNow returns the rate of the sender in bytes per second.
func (u *upload) paceNow() float64 {
	if u.stall > 0 && u.sent >= float64(u.stall) {
		return simStalled
	}
	return u.rate
}

// part returns the bytes to ask for.
func (u *upload) part() int64 { return min(NextPart(u.granted), u.bytes-u.granted) }

// waits reports whether the upload has asked for room and has no decision yet.
func (u *upload) waits() bool { return u.asked && !u.reading }

func (w *world) decide(u *upload, d Decision) (ended bool) {
	switch d.Verdict {
	case Grant:
		u.granted += u.part()
		u.reading = true
	case Wait:
		u.reading = false
	case Refuse:
		w.refused[u.caller+" "+d.Cause.String()]++
		return true
	}
	return false
}

func (w *world) apply(decisions []Decision, slots []*upload) {
	for _, d := range decisions {
		for i, u := range slots {
			if u != nil && u.id == d.ID && w.decide(u, d) {
				slots[i] = nil
			}
		}
	}
}

func senders(n int, s sender) (list []sender) {
	for i := range n {
		one := s
		one.caller = fmt.Sprintf("%s-%d", s.caller, i%4)
		list = append(list, one)
	}
	return list
}

func sum(counts map[string]int, prefix string) (n int) {
	for name, k := range counts {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			n += k
		}
	}
	return n
}

const kb = 1 << 10

// Guards against a gateway whose memory is decided by what callers send, and against bounds that
// serve less than the room allows, or refuse small bodies beside others: senders that are slow,
// huge, many or of unknown length.
func TestLoads(t *testing.T) {
	fast := sender{caller: "fast", bytes: 2750 * kb, rate: 1.9e6, deadline: simLateAfter}
	stalled := sender{caller: "stalled", bytes: 4 << 20, rate: 1.9e6, stall: 512 * kb, deadline: simLateAfter}
	hog := sender{caller: "hog", bytes: 2750 * kb, rate: 1.9e6, deadline: simLateAfter}
	slow := sender{caller: "slow", bytes: 2750 * kb, rate: 1 * kb, deadline: simLateAfter}
	tests := []struct {
		name    string
		senders []sender
		least   int // fast bodies to be served in 15 s, 0.8 of what the room allows
	}{
		// A body takes 1.64 s with its pause: 9 rounds, of at most 36 bodies at a time.
		{"there is room", senders(32, fast), 32 * 8},
		{"twice the room", senders(108, fast), 36 * 9 * 8 / 10},
		{"unknown lengths", senders(108, chunked(fast)), 36 * 9 * 5 / 10},
		{"beside slow senders", append(senders(32, fast), senders(1000, slow)...), 32 * 8},
		{"beside slow senders of unknown length", append(senders(32, fast), senders(1000, chunked(slow))...), 32 * 8},
		// The stalled bodies keep room for what they hold, 100 at a time, until they are evicted.
		{"beside senders that stall", append(senders(32, fast), senders(100, stalled)...), 32 * 8 / 2},
		// Each fast body may wait for one of the flood that has room before it.
		{"beside one caller that floods", append(slices.Repeat([]sender{hog}, 200), senders(16, fast)...), 16 * 9 / 2},
		// A body takes 8 s, and one has room.
		{"huge", senders(16, sender{caller: "fast", bytes: 64 << 20, rate: 8.4e6, deadline: 20 * time.Second}), 1},
		// A body takes 3 s, and 130 have room beside those that wait.
		{"many of middle size", senders(400, sender{caller: "fast", bytes: 600 * kb, rate: 2e5, deadline: simLateAfter}), 130 * 4 * 8 / 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newSimWorld(qt.New(t))
			small := sender{caller: "small", bytes: 100, rate: 1e6, deadline: simLateAfter}
			w.play(append(tt.senders, senders(12, small)...), 15*time.Second)
			served := sum(w.served, "fast")
			t.Logf("served %d of at least %d; refused %v, late %v", served, tt.least, w.refused, w.late)
			w.c.Assert(sum(w.refused, "small")+sum(w.late, "small"), qt.Equals, 0)
			w.c.Assert(served >= tt.least, qt.IsTrue, qt.Commentf("served %d of at least %d", served, tt.least))
		})
	}
}

func chunked(s sender) sender {
	s.chunked = true
	return s
}
