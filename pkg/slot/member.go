package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// flight is a request at a target.
type flight struct {
	member *member
	sent   time.Time
	beside int     // requests there when it was sent
	pace   float64 // when it was sent
	class  string
	usual  time.Duration // of its class, when it was sent
}

// member is a target with what is known of it.
type member struct {
	Target
	inFlight int // requests of this entry

	pace     float64 // as last told
	foreign  int     // requests of other entries, as last told
	told     time.Time
	loads    bool    // it tells its load
	mute     bool    // it answers questions without telling its load
	slowness float64 // how much longer it takes than it says, 1 is as said
	judged   time.Time

	asking  bool      // a question is under way
	askedAt time.Time // when it was asked
	askers  []*seeker // requests that wait for its answer

	fails  float64 // recent failures, less what went well since
	out    bool    // it gets trial requests only
	rest   time.Time
	pause  time.Duration
	sheds  int // in a row
	closed time.Time
	moved  bool // another target answered at its address

	left   time.Time // when it reported that it leaves
	paused time.Time // it wants nothing from this entry until then
	limit  limit
	cold   time.Time // it has just started and is cold until then
	ration quota.Ration
}

func newMember(t Target) *member {
	return &member{Target: t, pace: 1, slowness: 1, cold: t.Warm, ration: quota.NewRation(t.ID, quota.ColdSpan), limit: newLimit(t.ID)}
}

// estimate is the pace that is to be expected now: the last word, which goes
// by halves towards the mean of all as it ages. A target that has said nothing
// is taken for the mean: were it taken for one as fast as usual, it would be
// preferred to those that were asked and said that they are.
func (m *member) estimate(now time.Time, mean float64, c *Config) float64 {
	if !m.loads {
		return mean
	}
	fresh := aged(now.Sub(m.told), c.Hold)
	return m.pace*fresh + mean*(1-fresh)
}

// aged is the weight of a word of that age, half of it after half.
func aged(age, half time.Duration) float64 {
	return float64(half) / float64(half+max(age, 0))
}

// others is how many requests of other entries it holds. That word ages too.
func (m *member) others(now time.Time, c *Config) int {
	if m.foreign == 0 || now.Sub(m.told) > 2*c.Hold {
		return 0
	}
	return m.foreign
}

func (m *member) busy(now time.Time, c *Config) int {
	return m.inFlight + m.others(now, c)
}

// slower is how much longer than it says the target takes. A target that is
// never sent anything would never be seen to have recovered, so this ages.
func (m *member) slower(now time.Time) float64 {
	if m.slowness == 1 {
		return 1
	}
	const half = time.Second
	return 1 + (m.slowness-1)*aged(now.Sub(m.judged), half)
}

// expected is how long an answer takes that is asked for now.
func (m *member) expected(now time.Time, usual time.Duration, pace, knee float64, c *Config) time.Duration {
	d := float64(usual) * pace * m.slower(now)
	if m.crowded(m.busy(now, c)) {
		d *= knee
	}
	if m.isCold(now) {
		d *= coldFactor
	}
	return time.Duration(d)
}

// fullShare is the share of its slots from which on work at a target takes
// longer.
const fullShare = 0.8

// crowded reports whether work takes longer beside that many other requests.
func (m *member) crowded(beside int) bool {
	return beside > 0 && float64(beside+1) > fullShare*float64(m.Slots)
}

// coldFactor is how much longer work takes on a target that has just started.
const coldFactor = 2

// tell takes the target's word on its load.
func (m *member) tell(now time.Time, l Load) {
	m.loads = true
	m.pace = l.Pace
	m.foreign = max(l.Running+l.Waiting-m.inFlight, 0)
	m.told = now
}

// record takes the target's record. What a request has shown of its address
// counts until the record changes. A target that leaves doesn't come back without a new
// start: a record that says so is an older one.
func (m *member) record(t Target) {
	t.Leaving = t.Leaving || m.Leaving
	if !Same(m.Target, t) {
		m.moved = false
	}
	if t.Warm.After(m.Warm) {
		m.cold = later(m.cold, t.Warm)
	}
	m.Target = t
}

// leaves reports whether the target is to get no new work, or is no longer there. What it
// has said in a response holds against its record: the store may be away, or the record
// older.
func (m *member) leaves() bool {
	return m.Leaving || !m.left.IsZero() || m.Evacuated || m.moved
}

// open reports whether the target may get a request at all now.
func (m *member) open(now time.Time) bool {
	if m.leaves() || now.Before(m.closed) {
		return false
	}
	if m.out {
		return !now.Before(m.rest) && m.inFlight == 0
	}
	return true
}

// Weights of what speaks against a target, and the sum at which it is taken
// out: two failures in a row, or four refusals. A target that fails half of its
// requests comes to that within a few of them.
const (
	failWeight  = 1.0
	shedWeight  = 0.5
	failsOut    = 2.0
	servedKeeps = 0.5 // part of the sum that an answer leaves
	shedPause   = 20 * time.Millisecond
	shedShift   = 4 // doublings of shedPause at the most
)

func (m *member) blame(now time.Time, weight float64, c *Config) {
	m.fails += weight
	if m.out {
		m.pause = min(2*m.pause, c.PauseMax)
		m.rest = now.Add(m.pause)
	}
}

func (m *member) praise() {
	m.fails *= servedKeeps
	m.sheds = 0
	m.out = false
}

func (m *member) eject(now time.Time, c *Config) {
	m.out = true
	m.pause = c.PauseMin
	m.rest = now.Add(m.pause)
}

// measure compares how long an answer took with what was expected.
func (m *member) measure(now time.Time, took, expected time.Duration) {
	const weight = 0.3
	ratio := min(max(float64(took)/float64(max(expected, time.Millisecond)), 0.3), 10)
	m.slowness = max(m.slower(now)*(1-weight)+ratio*weight, 0.7)
	m.judged = now
}
