package gateway

import (
	"math"
	"time"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
)

// Times of a start. An entry that knows nothing yet asks the store only when the
// others can't tell: all machines start together, and on a quiet day two calls
// of each were a sixth of all.
const (
	// enrollTime is how long an entry waits for its enrolment, two calls of 4 ms.
	// One that was lost is made again after longer than that.
	enrollTime = 150 * time.Millisecond
	// seedsReadTime is how long an entry that has met others waits for what the
	// seeds have read, and beginRank how much longer for each that reads before it.
	seedsReadTime = time.Second
	beginRank     = 300 * time.Millisecond
	// beginStep is how much later the next one begins. A read, a greeting, its
	// answer and a pull take less.
	beginStep = 20 * time.Millisecond
	// beginWait is the least wait behind those that read at once: on a busy machine
	// their word comes later than this entry's own enrolment lets expect. 27 of 72
	// starts of eight beside other work took more calls than two each and eight.
	beginWait = 200 * time.Millisecond
	// beginTimes is that wait as a multiple of the enrolment's time: what is awaited,
	// the reads of the first ones, their word and a pull, are as many calls again.
	beginTimes = 6
	// beginStepMax bounds the step where the enrolment took long.
	beginStepMax = 100 * time.Millisecond
	// fewestReaders and mostReaders bound how many read at once, of those on record
	// one in readersOf. One alone would be asked by all others for what it knows,
	// which takes a third of a core 40 ms among 14.
	fewestReaders = 2
	mostReaders   = 8
	readersOf     = 4
	// beginSteps bounds the wait behind entries that may have died since.
	beginSteps = 10
	// startSpan is within which time entries count as started together: machines
	// do within 0.5 s. With 5 s, all waited 0.35 s for entries that had been killed
	// 3 s before and had been on record since. One whose clock is off is not waited
	// for, which costs two calls.
	startSpan = time.Second
)

// begins tells whether an entry that knows nothing yet reads now. The first ones
// to enrol do so at once and tell the others, so that these wait in the order
// of their enrolment. By a fixed order of their names, the first one might start
// last, and each that enrolled before it would read. A step is as long as this
// entry's own enrolment took, which is two calls: on a busy machine, entries
// would else read before the first one can have told them (53 of 72 starts).
//
// Where the settings name seeds, these read at once and the others turn to them.
func (c *control) begins(now time.Time, rank int) bool {
	if c.gateway.seed() {
		return true
	}
	if c.enrolled.IsZero() && len(c.live()) > 1 {
		return now.Sub(c.started) >= seedsReadTime+time.Duration(rank)*beginRank
	}
	if c.enrolled.IsZero() && len(c.gateway.otherSeeds()) > 0 {
		return false
	}
	if c.enrolled.IsZero() {
		return now.Sub(c.started) >= enrollTime
	}
	if c.pulling != "" && now.Sub(c.pullAt) < pullPatience {
		return false // what another entry has is on its way
	}
	step := min(max(c.enrolling, beginStep), beginStepMax)
	readers := min(max(len(c.live())/readersOf, fewestReaders), mostReaders)
	steps := min(max(c.ahead+1-readers, 0), beginSteps)
	if steps == 0 {
		return true
	}
	return now.Sub(c.enrolled) >= max(time.Duration(steps)*step, beginWait, beginTimes*c.enrolling)
}

// ahead counts the entries that have started together with self and enrolled
// before it.
func ahead(self owner.Entry, items []roster.Item[owner.Entry]) (n int) {
	own := roster.Revision(math.MaxUint64)
	for _, it := range items {
		if it.Name == self.Name {
			own = it.Revision
		}
	}
	for _, it := range items {
		together := time.Duration(max(it.Value.Boot, self.Boot)-min(it.Value.Boot, self.Boot)) < startSpan
		if it.Revision < own && together {
			n++
		}
	}
	return n
}
